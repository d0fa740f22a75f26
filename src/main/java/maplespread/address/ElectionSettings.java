package maplespread.address;

import java.util.List;

/**
 * The settings of an election.
 *
 * @param name this instance's name
 * @param electors whose majority decides; the same list at all instances
 * @param candidates who may own the address, the most preferred first; the same list at all instances
 * @param leaseMs of a vote, counted by each elector from its grant, in milliseconds
 * @param drift by what share a clock may run fast or slow at most
 * @param renewMs between renewals, in milliseconds
 * @param staggerMs what each less preferred candidate waits longer, in milliseconds
 * @param stableMs how long a preferred candidate has been up before it asks for the address, in milliseconds
 * @param backoffMs what an owner that has lost the address waits, doubled each time, in milliseconds
 * @param maxBackoffMs the longest such wait, in milliseconds
 */
public record ElectionSettings(
        String name,
        List<String> electors,
        List<String> candidates,
        long leaseMs,
        double drift,
        long renewMs,
        long staggerMs,
        long stableMs,
        long backoffMs,
        long maxBackoffMs) {
    private static final double DRIFT_LIMIT = 0.5;
    private static final long LOCAL_LEASE_MS = 400;
    private static final double LOCAL_DRIFT = 0.01;
    private static final long LOCAL_RENEW_MS = 100;
    private static final long LOCAL_STAGGER_MS = 30;
    private static final long LOCAL_STABLE_MS = 5000;
    private static final long LOCAL_BACKOFF_MS = 200;
    private static final long LOCAL_MAX_BACKOFF_MS = 10_000;

    /**
     * Checks and copies.
     *
     * @throws IllegalArgumentException if nobody votes or may own the address, or the times contradict each other
     */
    public ElectionSettings {
        electors = List.copyOf(electors);
        candidates = List.copyOf(candidates);
        if (electors.isEmpty() || candidates.isEmpty()) {
            throw new IllegalArgumentException("an elector and a candidate are needed");
        }
        boolean driftValid = drift >= 0 && drift < DRIFT_LIMIT;
        if (!driftValid || leaseMs <= 0 || renewMs <= 0 || renewMs >= leaseMs) {
            throw new IllegalArgumentException("drift must lie in 0..0.5, renewMs between 0 and leaseMs");
        }
    }

    /** Settings for a local network: a lease of 400 ms, renewed each 100. */
    public static ElectionSettings of(String name, List<String> electors, List<String> candidates) {
        return new ElectionSettings(
                name,
                electors,
                candidates,
                LOCAL_LEASE_MS,
                LOCAL_DRIFT,
                LOCAL_RENEW_MS,
                LOCAL_STAGGER_MS,
                LOCAL_STABLE_MS,
                LOCAL_BACKOFF_MS,
                LOCAL_MAX_BACKOFF_MS);
    }

    int majority() {
        return electors.size() / 2 + 1;
    }

    /**
     * How long an owner may count on a grant from its request on: with this clock slow and the elector's fast by the
     * drift, it still ends first.
     */
    long ownLeaseMs() {
        return (long) Math.floor(leaseMs * (1 - drift) / (1 + drift));
    }

    /** How long an elector that knows nothing is silent: any grant that it may have made is over by then. */
    long quarantineMs() {
        return (long) Math.ceil(leaseMs * (1 + drift) / (1 - drift)) + 1;
    }
}

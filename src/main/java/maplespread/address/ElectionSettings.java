package maplespread.address;

import java.util.List;

/**
 * The settings of an election.
 *
 * @param name this instance's name
 * @param electors the instances whose majority decides; the same list at all instances
 * @param candidates the instances that may own the address, the most preferred first; the same list at all instances
 * @param leaseMs duration of a vote, counted by each elector from its grant, in milliseconds
 * @param drift greatest share by which a clock may run fast or slow
 * @param renewMs interval between renewals, in milliseconds
 * @param staggerMs additional delay of each less preferred candidate, in milliseconds
 * @param stableMs how long a preferred candidate has been up before it asks for the address, in milliseconds
 * @param backoffMs first backoff of an owner that has lost the address, doubled each time, in milliseconds
 * @param maxBackoffMs the longest backoff, in milliseconds
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
     * Validates the settings and copies the lists.
     *
     * @throws IllegalArgumentException if nobody votes or may own the address, or the times contradict each other
     */
    public ElectionSettings {
        electors = List.copyOf(electors);
        candidates = List.copyOf(candidates);
        if (electors.isEmpty() || candidates.isEmpty()) {
            throw new IllegalArgumentException("at least one elector and one candidate are required");
        }
        boolean driftValid = drift >= 0 && drift < DRIFT_LIMIT;
        if (!driftValid || leaseMs <= 0 || renewMs <= 0 || renewMs >= leaseMs) {
            throw new IllegalArgumentException("drift must be in [0, 0.5), and renewMs between 0 and leaseMs");
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
     * The duration of the owner's lease from its request. With this clock slow and the elector's clock fast by the
     * drift, the owner's lease still ends before the vote.
     */
    long ownLeaseMs() {
        return (long) Math.floor(leaseMs * (1 - drift) / (1 + drift));
    }

    /** How long an elector that has started grants no vote: any earlier grant of it has expired by then. */
    long quarantineMs() {
        return (long) Math.ceil(leaseMs * (1 + drift) / (1 - drift)) + 1;
    }
}

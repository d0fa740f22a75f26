package maplespread.address;

import java.util.List;

/**
 * {@code electors}: whose majority decides, the same list at all; {@code candidates}: who may own the
 * address, in the order of preference. Times are milliseconds: {@code leaseMs}, counted by each elector
 * from its grant; {@code drift}: by what share a clock may run fast or slow at most; {@code renewMs}
 * between renewals; {@code staggerMs}: what a less preferred candidate waits longer; {@code stableMs}: how
 * long a preferred one has been up before it asks for the address; {@code restMs}: what one that has lost
 * it waits, doubled each time up to {@code mostRestMs}.
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
    public ElectionSettings {
        electors = List.copyOf(electors);
        candidates = List.copyOf(candidates);
        if (electors.isEmpty() || candidates.isEmpty()) {
            throw new IllegalArgumentException("an elector and a candidate are needed");
        }
        if (!(drift >= 0 && drift < 0.5) || leaseMs <= 0 || renewMs <= 0 || renewMs >= leaseMs) {
            throw new IllegalArgumentException("drift must lie in 0..0.5, renewMs between 0 and leaseMs");
        }
    }

    /** With a lease of 400 ms, renewed each 100. */
    public static ElectionSettings of(String name, List<String> electors, List<String> candidates) {
        return new ElectionSettings(name, electors, candidates, 400, 0.01, 100, 30, 5000, 200, 10_000);
    }

    int majority() {
        return electors.size() / 2 + 1;
    }

    /**
     * How long an owner may count on a grant from its request on: with this clock slow and the elector's
     * fast by the drift, it still ends first.
     */
    long ownLeaseMs() {
        return (long) Math.floor(leaseMs * (1 - drift) / (1 + drift));
    }

    /** How long an elector that knows nothing is silent: any grant that it may have made is over by then. */
    long quarantineMs() {
        return (long) Math.ceil(leaseMs * (1 + drift) / (1 - drift)) + 1;
    }
}

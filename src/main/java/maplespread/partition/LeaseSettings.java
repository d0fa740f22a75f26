package maplespread.partition;

/**
 * The times that leases and fencing go by.
 *
 * @param electors how many there are; not used where electors change, as {@code recordGrant} is given the majority test
 * @param leaseMs how long a member acts on a majority's grant, by its own clock from when it asked
 * @param drift by what share a clock may run fast or slow at most
 */
public record LeaseSettings(int electors, long leaseMs, double drift) {
    private static final double MAX_DRIFT = 0.5;

    /** Throws an IllegalArgumentException for what no fleet can have. */
    public LeaseSettings {
        if (electors < 1 || leaseMs <= 0 || !(drift >= 0 && drift < MAX_DRIFT)) {
            throw new IllegalArgumentException("electors and leaseMs must be above 0, drift in 0..0.5");
        }
    }

    /** After so many milliseconds by this clock a time of {@code durationMs} is over by any. */
    public long withDriftMs(long durationMs) {
        return (long) Math.ceil(durationMs * (1 + drift) / (1 - drift)) + 1;
    }

    /**
     * The hold time, from when an epoch is known: then all earlier leases, and the requests sent under them, are over.
     *
     * @param maxRunMs the longest that such a request can run
     */
    public long holdMs(long maxRunMs) {
        return withDriftMs(leaseMs) + withDriftMs(maxRunMs);
    }
}

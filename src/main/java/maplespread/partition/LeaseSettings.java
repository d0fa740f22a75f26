package maplespread.partition;

/**
 * Settings of leases and fencing.
 *
 * @param electors the number of electors; unused where electors change, as {@code recordGrant} is given the majority
 *     test
 * @param leaseMs how long a member acts on a majority's grant, in milliseconds of its own clock since it asked
 * @param drift the largest share by which a clock may run fast or slow
 */
public record LeaseSettings(int electors, long leaseMs, double drift) {
    private static final double MAX_DRIFT = 0.5;

    /** Throws an IllegalArgumentException for values that no cluster can have. */
    public LeaseSettings {
        if (electors < 1 || leaseMs <= 0 || !(drift >= 0 && drift < MAX_DRIFT)) {
            throw new IllegalArgumentException("electors and leaseMs must be above 0, drift in 0..0.5");
        }
    }

    /** The time in milliseconds of this clock after which {@code durationMs} has passed on any clock. */
    public long withDriftMs(long durationMs) {
        return (long) Math.ceil(durationMs * (1 + drift) / (1 - drift)) + 1;
    }

    /**
     * The hold time in milliseconds: this long after an epoch is learned, all earlier leases and the requests sent
     * under them are over.
     *
     * @param maxRunMs the longest time that such a request can run
     */
    public long holdMs(long maxRunMs) {
        return withDriftMs(leaseMs) + withDriftMs(maxRunMs);
    }
}

package maplespread.partition;

/**
 * {@code electors}: how many there are; {@code leaseMs}: how long a member acts on a majority's word, counted
 * by its own clock from when it asked; {@code drift}: by what share a clock may run fast or slow at most.
 */
public record LeaseSettings(int electors, long leaseMs, double drift) {
    public LeaseSettings {
        if (electors < 1 || leaseMs <= 0 || !(drift >= 0 && drift < 0.5)) {
            throw new IllegalArgumentException("electors and leaseMs must be above 0, drift in 0..0.5");
        }
    }

    /** After so long by this clock a time of {@code ms} is over by any. */
    public long withDriftMs(long ms) {
        return (long) Math.ceil(ms * (1 + drift) / (1 - drift)) + 1;
    }

    /** From when an epoch is known: all leases of before, and the jobs sent under them, are over. */
    public long holdMs(long runsMs) {
        return withDriftMs(leaseMs) + withDriftMs(runsMs);
    }
}

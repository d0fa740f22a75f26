package maplespread.release;

/**
 * How much may be out at once, leave and accidents together. A figure of out: under 1 a share of the members
 * it is about, rounded down, else a count. {@code leastCapacity}: share of the workers' full capacity that
 * stays. {@code worse...}: what is worse than before the release by more than that halts it; refusals and
 * errors as a difference of shares, waits as a part of the wait before.
 */
public record Limits(double dispatchersOut, double workersOut, double workersOutZone, double workersOutKind,
        double leastCapacity, long quietMs, long backMs, double worseRefused, double worseErrors,
        double worseWait) {
    /** For a figure of out that is not to bind. */
    public static final double ANY = 1e9;
    public static final Limits DEFAULT = new Limits(1, 1, ANY, ANY, 0.7, 2_000, 120_000, 0.05, 0.02, 0.5);

    /** The tighter of the two, figure by figure. */
    public Limits tighter(Limits o) {
        throw new UnsupportedOperationException();
    }
}

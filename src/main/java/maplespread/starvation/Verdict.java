package maplespread.starvation;

/**
 * What is told to the operators. {@code tenant}: {@link #ALL} where it is of all of them; {@code place}:
 * {@link #ALL} where it is of every place; {@code sinceMs}: when it was first seen, on the clock that was
 * passed in; {@code heard} of {@code processes} told of their waits.
 */
public record Verdict(
        Kind kind, int tenant, int cls, int place, long sinceMs, Statistics figures, int heard, int processes) {
    /** Of all tenants, classes or places. */
    public static final int ALL = -1;

    /** In the operators' terms; FINE is only ever the end of another one. */
    public enum Kind {
        STARVED("give its jobs way: raise its allowance or weight, or see what its workers, its key or this "
                + "dispatcher have that others have not"),
        CROWDED("slow for all tenants: add workers there, move work elsewhere, or see whether they are cold"),
        BEYOND_SHARE("it asks more than its allowancePerS: have it ask less, or raise the allowance"),
        LONG_JOBS("its own jobs are long: more of them at once, or a class with a longer deadline"),
        NOT_KNOWN("too little was heard to judge: see which dispatchers are silent, or wait"),
        FINE("nothing");

        private final String remedy;

        Kind(String remedy) {
            this.remedy = remedy;
        }

        /** What an operator can do. */
        public String remedy() {
            return remedy;
        }
    }

    /**
     * The figures behind it. {@code moreMs}: how much longer than the others beside it a job waits on the
     * mean, its own work taken off, cut at the deadline; {@code effect}: the same over the deadline; {@code
     * elsewhereMs}: its own wait in other places, NaN where it has none; {@code chance}: how likely it is by
     * chance, before the correction; {@code excess}: share of what it asks that is beyond its allowance.
     */
    public record Statistics(
            int jobs,
            int held,
            int others,
            int othersHeld,
            double ownMs,
            double othersMs,
            double moreMs,
            double effect,
            double elsewhereMs,
            double chance,
            double excess) {
        static final Statistics NONE = new Statistics(0, 0, 0, 0, 0, 0, 0, 0, Double.NaN, 1, 0);
    }

    /** Whether not all dispatchers' waits are in it. */
    public boolean partial() {
        return heard < processes;
    }
}

package maplespread.starvation;

import com.google.gson.annotations.SerializedName;

/**
 * What operators are told. {@code tenant}, {@code requestClass}, {@code place}: {@link #ALL} where it is of all
 * of them; {@code sinceMs}: when it was first seen, on the clock that was passed in; {@code reportingProcesses}
 * of {@code processes} dispatchers have told of their waits. The admin answer has the serialized names.
 */
public record Verdict(
        Kind kind,
        int tenant,
        @SerializedName("cls") int requestClass,
        int place,
        long sinceMs,
        @SerializedName("figures") Statistics statistics,
        @SerializedName("heard") int reportingProcesses,
        int processes) {
    /** Of all tenants, classes or places. */
    public static final int ALL = -1;

    /** What a verdict says. Log lines and the admin answer show the constants' names. */
    public enum Kind {
        /** It waits longer than the others within its share. */
        STARVED("give its jobs way: raise its allowance or weight, or see what its workers, its key or this "
                + "dispatcher have that others have not"),
        /** A place is slow for all tenants. */
        CROWDED("slow for all tenants: add workers there, move work elsewhere, or see whether they are cold"),
        /** It waits longer because it asks more than its share. */
        BEYOND_SHARE("it asks more than its allowancePerS: have it ask less, or raise the allowance"),
        /** It waits longer because its requests are longer. */
        LONG_JOBS("its own jobs are long: more of them at once, or a class with a longer deadline"),
        /** Too few requests or dispatchers were seen. */
        NOT_KNOWN("too little was heard to judge: see which dispatchers are silent, or wait"),
        /** Only ever the end of another verdict. */
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
     * The statistics behind a verdict. {@code requests}, {@code censored}: of the subject, and those of them that
     * were not seen to be served; {@code others}, {@code othersCensored}: of those that it was compared with;
     * {@code ownMs}, {@code othersMs}: mean waits, their own work taken off, cut at the deadline; {@code
     * excessWaitMs}: how much longer its own is; {@code effect}: the same over the deadline; {@code elsewhereMs}:
     * its own wait in other places, NaN where it has none; {@code pValue}: how likely it is by chance, before the
     * correction for many comparisons; {@code overuse}: share of its requests beyond its allowance.
     */
    public record Statistics(
            @SerializedName("jobs") int requests,
            @SerializedName("held") int censored,
            int others,
            @SerializedName("othersHeld") int othersCensored,
            double ownMs,
            double othersMs,
            @SerializedName("moreMs") double excessWaitMs,
            double effect,
            double elsewhereMs,
            @SerializedName("chance") double pValue,
            @SerializedName("excess") double overuse) {
        static final Statistics NONE = new Statistics(0, 0, 0, 0, 0, 0, 0, 0, Double.NaN, 1, 0);
    }

    /** Whether not all dispatchers' waits are in it. */
    public boolean partial() {
        return reportingProcesses < processes;
    }
}

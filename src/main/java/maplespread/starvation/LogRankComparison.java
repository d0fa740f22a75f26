package maplespread.starvation;

import org.apache.commons.statistics.distribution.GammaDistribution;

/**
 * One group's waits against the others', stratum by stratum, where some waits are only known to be at least
 * so long. Two questions. Can it be chance: the log-rank test, by how many of the group's jobs should have
 * been served by each moment if it waited as all do, and how many were. Does it matter: the difference of
 * the mean waits, cut at the deadline (restricted means of Kaplan and Meier's curves), as a share of it.
 *
 * <p>The number that should have been served is a sum over the group's own jobs of the risk that all together
 * ran until then, so a comparison costs as much as the group has jobs. The number that was is a count, and
 * its tail is Poisson's, not the normal one: of few jobs the two are orders of magnitude apart just where
 * many comparisons have to be corrected for.
 */
public final class LogRankComparison {
    /** A stratum's waits with what is made once for all groups in it. */
    static final class Stratum {
        final int total, censored;
        final double deadlineMs, meanMs; // the deadline; the restricted mean
        private final double[] hazard = new double[CellCode.BIN_LOWER_MS.length]; // Nelson and Aalen's, by bin's end
        private final double[] within = new double[CellCode.BIN_LOWER_MS.length]; // for one served in the bin

        Stratum(WaitHistogram all, double tauMs) {
            this.deadlineMs = tauMs;
            total = all.total();
            censored = all.held();
            meanMs = mean(all, all.total(), tauMs);
            double at = total;
            double sum = 0;
            int bin = 0;
            for (int i = 0; i < all.size(); i++) {
                for (; bin < all.bin(i); bin++) {
                    hazard[bin] = sum;
                }
                if (!all.held(i)) {
                    double more = 0; // served one after the other, in any order
                    for (int k = 0; k < all.count(i); k++) {
                        more += 1 / (at - k);
                    }
                    within[bin] = sum + 1 - (at - all.count(i)) / all.count(i) * more;
                    sum += more;
                }
                at -= all.count(i);
            }
            for (; bin < hazard.length; bin++) {
                hazard[bin] = sum;
            }
        }
    }

    /** What was found, added up over strata. */
    static final class Sum {
        int total, censored, others, othersCensored;
        double observed, expected;
        double ownWaitSum, othersWaitSum, deadlineSum; // each times the jobs
        private double removalCarry; // jobs not taken out yet, below one

        /** Adds another so many times; below 0: takes it out. */
        void add(Sum o, int times) {
            total += times * o.total;
            censored += times * o.censored;
            others += times * o.others;
            othersCensored += times * o.othersCensored;
            observed += times * o.observed;
            expected += times * o.expected;
            ownWaitSum += times * o.ownWaitSum;
            othersWaitSum += times * o.othersWaitSum;
            deadlineSum += times * o.deadlineSum;
        }

        /** By how much it waits longer, ms; below 0: shorter. */
        double excessWaitMs() {
            return total == 0 ? 0 : (ownWaitSum - othersWaitSum) / total;
        }

        double ownMs() {
            return total == 0 ? 0 : ownWaitSum / total;
        }

        double othersMs() {
            return total == 0 ? 0 : othersWaitSum / total;
        }

        /** The same as a share of the deadline. */
        double effect() {
            return deadlineSum == 0 ? 0 : (ownWaitSum - othersWaitSum) / deadlineSum;
        }

        /** In standard deviations; above 0: waits longer. */
        double zScore() {
            return expected <= 0 ? 0 : (expected - observed) / Math.sqrt(expected);
        }

        /** How likely it is by chance to wait so much longer, where all spread wider by a factor. */
        double pValue(double wider) {
            return expected <= observed
                    ? 1
                    : GammaDistribution.of(observed / wider + 1, 1).survivalProbability(expected / wider);
        }
    }

    private LogRankComparison() {}

    /**
     * Adds to the sum what a group's jobs in a stratum tell against the others. {@code kept}: what share of
     * them counts; the rest, the worst, are taken out as what it asked beyond its share.
     */
    static void add(Sum sum, Stratum all, WaitHistogram own, double kept) {
        int others = all.total - own.total();
        if (others <= 0) {
            return; // nobody beside it
        }
        sum.removalCarry += own.total() * (1 - kept);
        int out = Math.min(own.total(), (int) sum.removalCarry);
        sum.removalCarry -= out;
        int n = own.total() - out;
        int[] counts = new int[own.size()];
        out = worst(own, counts, true, out); // held the longest, then served the latest
        worst(own, counts, false, out);
        double beside = (all.total * all.meanMs - own.total() * mean(own, own.total(), all.deadlineMs)) / others;
        for (int i = 0; i < counts.length; i++) {
            sum.expected += counts[i] * (own.held(i) ? all.hazard : all.within)[own.bin(i)];
            sum.observed += own.held(i) ? 0 : counts[i];
            sum.censored += own.held(i) ? counts[i] : 0;
        }
        sum.total += n;
        sum.others += others;
        sum.othersCensored += all.censored - own.held();
        sum.ownWaitSum += n == 0 ? 0 : n * mean(own, counts, n, all.deadlineMs);
        sum.othersWaitSum += n * beside;
        sum.deadlineSum += n * all.deadlineMs;
    }

    /** Fills in the counts that stay after so many were taken out from above; how many are still to go. */
    private static int worst(WaitHistogram own, int[] counts, boolean held, int out) {
        for (int i = own.size() - 1; i >= 0; i--) {
            if (own.held(i) == held) {
                int x = Math.min(out, own.count(i));
                counts[i] = own.count(i) - x;
                out -= x;
            }
        }
        return out;
    }

    private static double mean(WaitHistogram s, int n, double tauMs) {
        int[] counts = new int[s.size()];
        java.util.Arrays.setAll(counts, s::count);
        return mean(s, counts, n, tauMs);
    }

    /** The mean wait of these, cut at the deadline; those held wait on as the others do. */
    static double mean(WaitHistogram s, int[] counts, int n, double tauMs) {
        double at = n;
        double alive = 1;
        double area = 0;
        double from = 0;
        for (int i = 0; i < counts.length && at > 0; i++) {
            double ms = Math.min(CellCode.BIN_LOWER_MS[s.bin(i)], tauMs);
            area += alive * (ms - from);
            from = ms;
            alive *= s.held(i) ? 1 : 1 - counts[i] / at;
            at -= counts[i];
        }
        return area + alive * (tauMs - from);
    }
}

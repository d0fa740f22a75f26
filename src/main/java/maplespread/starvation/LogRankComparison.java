package maplespread.starvation;

import java.util.Arrays;
import org.apache.commons.math3.special.Gamma;

/**
 * Compares one group's waits with the others', stratum by stratum, where some waits are censored: only known to
 * be at least so long. Whether the difference can be chance is told by the log-rank test: how many of the
 * group's requests should have been served by each moment if it waited as all do, and how many were. Whether it
 * matters is told by the difference of the mean waits, cut at the deadline (restricted means of Kaplan and
 * Meier's curves), as a share of it.
 *
 * <p>The number that should have been served is a sum over the group's own requests of the hazard that all
 * together met until then, so a comparison costs as much as the group has requests. The number that was served
 * is a count with Poisson's tail: of few requests the normal tail is orders of magnitude off just where many
 * comparisons have to be corrected for.
 */
public final class LogRankComparison {
    /** The waits of all groups in a stratum, with what is computed once for all of them. */
    static final class Stratum {
        final int total;
        final int censored;
        final double deadlineMs;
        /** The mean wait, cut at the deadline. */
        final double meanMs;
        /** The cumulative hazard (Nelson and Aalen) at the end of each bin. */
        private final double[] hazard = new double[CellCode.BIN_LOWER_MS.length];
        /** The same, on the mean for one that is served in the bin. */
        private final double[] hazardWhenServed = new double[CellCode.BIN_LOWER_MS.length];

        Stratum(WaitHistogram all, double deadlineMs) {
            this.deadlineMs = deadlineMs;
            total = all.total();
            censored = all.censoredTotal();
            meanMs = restrictedMeanMs(all, deadlineMs);
            computeHazard(all);
        }

        private void computeHazard(WaitHistogram all) {
            double atRisk = total;
            double sum = 0;
            int bin = 0;
            for (int i = 0; i < all.size(); i++) {
                for (; bin < all.bin(i); bin++) {
                    hazard[bin] = sum;
                }
                if (!all.censored(i)) {
                    double increase = 0; // served one after the other, in any order
                    for (int k = 0; k < all.count(i); k++) {
                        increase += 1 / (atRisk - k);
                    }
                    hazardWhenServed[bin] = sum + 1 - (atRisk - all.count(i)) / all.count(i) * increase;
                    sum += increase;
                }
                atRisk -= all.count(i);
            }
            for (; bin < hazard.length; bin++) {
                hazard[bin] = sum;
            }
        }
    }

    /** What was found, added up over strata. */
    static final class Sum {
        int total;
        int censored;
        int others;
        int othersCensored;
        double observed;
        double expected;
        /** Mean waits and deadlines, each times the requests. */
        double ownWaitSum;

        double othersWaitSum;
        double deadlineSum;
        /** Requests that are still to be left out, below one. */
        private double removalCarry;

        /** Adds another sum so many times; below 0: takes it out. */
        void add(Sum other, int times) {
            total += times * other.total;
            censored += times * other.censored;
            others += times * other.others;
            othersCensored += times * other.othersCensored;
            observed += times * other.observed;
            expected += times * other.expected;
            ownWaitSum += times * other.ownWaitSum;
            othersWaitSum += times * other.othersWaitSum;
            deadlineSum += times * other.deadlineSum;
        }

        /** By how much the group waits longer, ms; below 0: shorter. */
        double excessWaitMs() {
            return total == 0 ? 0 : (ownWaitSum - othersWaitSum) / total;
        }

        double ownMs() {
            return total == 0 ? 0 : ownWaitSum / total;
        }

        double othersMs() {
            return total == 0 ? 0 : othersWaitSum / total;
        }

        /** By how much the group waits longer, as a share of the deadline. */
        double effect() {
            return deadlineSum == 0 ? 0 : (ownWaitSum - othersWaitSum) / deadlineSum;
        }

        /** In standard deviations; above 0: the group waits longer. */
        double zScore() {
            return expected <= 0 ? 0 : (expected - observed) / Math.sqrt(expected);
        }

        /**
         * How likely it is by chance to wait so much longer, where the variance is larger by a factor. The library computes
         * it without the machine's own functions, so that it is the same to the last bit everywhere.
         */
        double pValue(double varianceInflation) {
            return expected <= observed
                    ? 1
                    : Gamma.regularizedGammaQ(observed / varianceInflation + 1, expected / varianceInflation);
        }
    }

    private LogRankComparison() {}

    /**
     * Adds a comparison of a group's requests in a stratum with the others'. {@code retainedShare}: what share of the
     * group's requests counts; the rest, those that waited longest, are left out as beyond its share.
     */
    static void add(Sum sum, Stratum stratum, WaitHistogram own, double retainedShare) {
        int others = stratum.total - own.total();
        if (others <= 0) {
            return;
        }
        sum.removalCarry += own.total() * (1 - retainedShare);
        int removed = Math.min(own.total(), (int) sum.removalCarry);
        sum.removalCarry -= removed;
        int total = own.total() - removed;
        int[] counts = new int[own.size()];
        // First those censored the latest, then those served the latest.
        int remaining = removeLongest(own, counts, true, removed);
        removeLongest(own, counts, false, remaining);
        double othersMeanMs =
                (stratum.total * stratum.meanMs - own.total() * restrictedMeanMs(own, stratum.deadlineMs)) / others;
        for (int i = 0; i < counts.length; i++) {
            double[] hazard = own.censored(i) ? stratum.hazard : stratum.hazardWhenServed;
            sum.expected += counts[i] * hazard[own.bin(i)];
            sum.observed += own.censored(i) ? 0 : counts[i];
            sum.censored += own.censored(i) ? counts[i] : 0;
        }
        sum.total += total;
        sum.others += others;
        sum.othersCensored += stratum.censored - own.censoredTotal();
        sum.ownWaitSum += total == 0 ? 0 : total * restrictedMeanMs(own, counts, total, stratum.deadlineMs);
        sum.othersWaitSum += total * othersMeanMs;
        sum.deadlineSum += total * stratum.deadlineMs;
    }

    /** Fills in the counts that are left of one kind; returns how many requests are still to be removed. */
    private static int removeLongest(WaitHistogram own, int[] counts, boolean censored, int toRemove) {
        int left = toRemove;
        for (int i = own.size() - 1; i >= 0; i--) {
            if (own.censored(i) == censored) {
                int removed = Math.min(left, own.count(i));
                counts[i] = own.count(i) - removed;
                left -= removed;
            }
        }
        return left;
    }

    private static double restrictedMeanMs(WaitHistogram histogram, double deadlineMs) {
        int[] counts = new int[histogram.size()];
        Arrays.setAll(counts, histogram::count);
        return restrictedMeanMs(histogram, counts, histogram.total(), deadlineMs);
    }

    /** The mean wait of so many requests, cut at the deadline; those censored wait on as the others do. */
    private static double restrictedMeanMs(WaitHistogram histogram, int[] counts, int total, double deadlineMs) {
        double atRisk = total;
        double waiting = 1;
        double areaMs = 0;
        double fromMs = 0;
        for (int i = 0; i < counts.length && atRisk > 0; i++) {
            double untilMs = Math.min(CellCode.BIN_LOWER_MS[histogram.bin(i)], deadlineMs);
            areaMs += waiting * (untilMs - fromMs);
            fromMs = untilMs;
            waiting *= histogram.censored(i) ? 1 : 1 - counts[i] / atRisk;
            atRisk -= counts[i];
        }
        return areaMs + waiting * (deadlineMs - fromMs);
    }
}

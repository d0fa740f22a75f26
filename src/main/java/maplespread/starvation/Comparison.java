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
public final class Comparison {
    /** A stratum's waits with what is made once for all groups in it. */
    static final class Table {
        final int n, held;
        final double tauMs, meanMs; // the deadline; the restricted mean
        private final double[] hazard = new double[Code.BINS.length]; // Nelson and Aalen's, by bin's end
        private final double[] within = new double[Code.BINS.length]; // for one served in the bin

        Table(Sample all, double tauMs) {
            this.tauMs = tauMs;
            n = all.n();
            held = all.held();
            meanMs = mean(all, all.n(), tauMs);
            double at = n;
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
        int n, held, others, othersHeld;
        double observed, expected;
        double own, beside, deadlines; // each times the jobs
        private double toCut; // jobs not taken out yet, below one

        /** Adds another so many times; below 0: takes it out. */
        void add(Sum o, int times) {
            n += times * o.n;
            held += times * o.held;
            others += times * o.others;
            othersHeld += times * o.othersHeld;
            observed += times * o.observed;
            expected += times * o.expected;
            own += times * o.own;
            beside += times * o.beside;
            deadlines += times * o.deadlines;
        }

        /** By how much it waits longer, ms; below 0: shorter. */
        double moreMs() {
            return n == 0 ? 0 : (own - beside) / n;
        }

        double ownMs() {
            return n == 0 ? 0 : own / n;
        }

        double othersMs() {
            return n == 0 ? 0 : beside / n;
        }

        /** The same as a share of the deadline. */
        double effect() {
            return deadlines == 0 ? 0 : (own - beside) / deadlines;
        }

        /** In standard deviations; above 0: waits longer. */
        double z() {
            return expected <= 0 ? 0 : (expected - observed) / Math.sqrt(expected);
        }

        /** How likely it is by chance to wait so much longer, where all spread wider by a factor. */
        double chance(double wider) {
            return expected <= observed
                    ? 1
                    : GammaDistribution.of(observed / wider + 1, 1).survivalProbability(expected / wider);
        }
    }

    private Comparison() {}

    /**
     * Adds to the sum what a group's jobs in a stratum tell against the others. {@code kept}: what share of
     * them counts; the rest, the worst, are taken out as what it asked beyond its share.
     */
    static void add(Sum sum, Table all, Sample own, double kept) {
        int others = all.n - own.n();
        if (others <= 0) {
            return; // nobody beside it
        }
        sum.toCut += own.n() * (1 - kept);
        int out = Math.min(own.n(), (int) sum.toCut);
        sum.toCut -= out;
        int n = own.n() - out;
        int[] counts = new int[own.size()];
        out = worst(own, counts, true, out); // held the longest, then served the latest
        worst(own, counts, false, out);
        double beside = (all.n * all.meanMs - own.n() * mean(own, own.n(), all.tauMs)) / others;
        for (int i = 0; i < counts.length; i++) {
            sum.expected += counts[i] * (own.held(i) ? all.hazard : all.within)[own.bin(i)];
            sum.observed += own.held(i) ? 0 : counts[i];
            sum.held += own.held(i) ? counts[i] : 0;
        }
        sum.n += n;
        sum.others += others;
        sum.othersHeld += all.held - own.held();
        sum.own += n == 0 ? 0 : n * mean(own, counts, n, all.tauMs);
        sum.beside += n * beside;
        sum.deadlines += n * all.tauMs;
    }

    /** Fills in the counts that stay after so many were taken out from above; how many are still to go. */
    private static int worst(Sample own, int[] counts, boolean held, int out) {
        for (int i = own.size() - 1; i >= 0; i--) {
            if (own.held(i) == held) {
                int x = Math.min(out, own.count(i));
                counts[i] = own.count(i) - x;
                out -= x;
            }
        }
        return out;
    }

    private static double mean(Sample s, int n, double tauMs) {
        int[] counts = new int[s.size()];
        java.util.Arrays.setAll(counts, s::count);
        return mean(s, counts, n, tauMs);
    }

    /** The mean wait of these, cut at the deadline; those held wait on as the others do. */
    static double mean(Sample s, int[] counts, int n, double tauMs) {
        double at = n;
        double alive = 1;
        double area = 0;
        double from = 0;
        for (int i = 0; i < counts.length && at > 0; i++) {
            double ms = Math.min(Code.BINS[s.bin(i)], tauMs);
            area += alive * (ms - from);
            from = ms;
            alive *= s.held(i) ? 1 : 1 - counts[i] / at;
            at -= counts[i];
        }
        return area + alive * (tauMs - from);
    }
}

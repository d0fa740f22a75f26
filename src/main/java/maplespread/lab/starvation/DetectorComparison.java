package maplespread.lab.starvation;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import maplespread.lab.Report;
import maplespread.policy.ReproducibleMath;

/**
 * Ways to tell that a few jobs wait longer than many where some waits are only known in part, each at the
 * same rate of false alarms between groups that are alike: what share of the harms each one finds, and how
 * often it is wrong of a tenant whose clients leave early.
 */
public final class DetectorComparison {
    private static final double DEADLINE = 2000;
    private static final int OWN = 20, OTHERS = 400;
    private static final double FALSE = 0.001;

    private enum Way {
        LOG_RANK,
        GEHAN,
        RESTRICTED_MEAN,
        QUANTILE_OF_SERVED,
        QUANTILE_OF_ALL
    }

    private enum Harm {
        NONE,
        REFUSED_FIFTH,
        TWICE_AS_SLOW,
        HALF_WAIT_FOR_A_KEY,
        TENTH_VERY_SLOW,
        LEAVE_EARLY
    }

    /** A job: its wait, whether it is known whole, whether it is the tenant's. */
    private record Job(double ms, boolean served, boolean own) {}

    private DetectorComparison() {}

    public static void run(int rounds, Report report) {
        double[][] alike = found(Harm.NONE, 10 * rounds, 1);
        for (Way way : Way.values()) {
            double[] sorted = alike[way.ordinal()].clone();
            Arrays.sort(sorted);
            double limit = sorted[(int) (sorted.length * (1 - FALSE))];
            Object[] row = new Object[2 * (Harm.values().length - 1)];
            for (Harm harm : Harm.values()) {
                if (harm != Harm.NONE) {
                    double[] all = found(harm, rounds, 2)[way.ordinal()];
                    row[2 * harm.ordinal() - 2] = harm.name().toLowerCase(Locale.ROOT);
                    row[2 * harm.ordinal() - 1] =
                            Arrays.stream(all).filter(v -> v > limit).count() / (double) rounds;
                }
            }
            report.row("way " + way.name().toLowerCase(Locale.ROOT), row);
        }
    }

    private static double[][] found(Harm harm, int rounds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double[][] all = new double[Way.values().length][rounds];
        for (int r = 0; r < rounds; r++) {
            Job[] jobs = new Job[OWN + OTHERS];
            Arrays.setAll(jobs, i -> job(random, i < OWN ? harm : Harm.NONE, i < OWN));
            Arrays.sort(jobs, (a, b) -> Double.compare(a.ms, b.ms));
            ranks(jobs, all, r);
            double[] own = curve(jobs, true);
            double[] others = curve(jobs, false);
            all[Way.RESTRICTED_MEAN.ordinal()][r] = (own[0] - others[0]) / Math.sqrt(own[1] + others[1]);
            all[Way.QUANTILE_OF_ALL.ordinal()][r] = own[2] - others[2];
            all[Way.QUANTILE_OF_SERVED.ordinal()][r] = served(jobs, true) - served(jobs, false);
        }
        return all;
    }

    private static Job job(SplittableRandom random, Harm harm, boolean own) {
        double wait = -60 * ReproducibleMath.log(1 - random.nextDouble());
        boolean refused = random.nextDouble() < (harm == Harm.REFUSED_FIFTH ? 0.2 : 0.005);
        switch (harm) {
            case TWICE_AS_SLOW -> wait *= 2;
            case HALF_WAIT_FOR_A_KEY -> wait += random.nextBoolean() ? 500 : 0;
            case TENTH_VERY_SLOW -> wait += random.nextInt(10) == 0 ? 1500 : 0;
            default -> {}
        }
        double leaves = harm == Harm.LEAVE_EARLY ? -60 * ReproducibleMath.log(1 - random.nextDouble()) : DEADLINE;
        return refused
                ? new Job(DEADLINE, false, own)
                : leaves < wait ? new Job(leaves, false, own) : new Job(Math.min(DEADLINE, wait), wait < DEADLINE, own);
    }

    /** Log-rank, and Gehan's, which weighs each moment by those still at risk. */
    private static void ranks(Job[] jobs, double[][] all, int r) {
        double own = OWN;
        double u = 0, v = 0, gu = 0, gv = 0;
        for (int i = 0; i < jobs.length; i++) {
            double at = jobs.length - i;
            double share = own / at;
            if (jobs[i].served) {
                double more = share - (jobs[i].own ? 1 : 0);
                u += more;
                v += share * (1 - share);
                gu += at * more;
                gv += at * at * share * (1 - share);
            }
            own -= jobs[i].own ? 1 : 0;
        }
        all[Way.LOG_RANK.ordinal()][r] = v == 0 ? 0 : u / Math.sqrt(v);
        all[Way.GEHAN.ordinal()][r] = gv == 0 ? 0 : gu / Math.sqrt(gv);
    }

    /** Of Kaplan and Meier's curve: its mean cut at the deadline, that mean's variance, its nine-tenths. */
    private static double[] curve(Job[] jobs, boolean own) {
        Job[] mine = Arrays.stream(jobs).filter(j -> j.own == own).toArray(Job[]::new);
        double[] area = new double[mine.length + 1]; // from each job's end on
        double[] alive = new double[mine.length + 1];
        alive[0] = 1;
        double nine = DEADLINE;
        for (int i = 0; i < mine.length; i++) {
            alive[i + 1] = alive[i] * (mine[i].served ? 1 - 1.0 / (mine.length - i) : 1);
            nine = alive[i + 1] <= 0.1 ? Math.min(nine, mine[i].ms) : nine;
        }
        for (int i = mine.length - 1; i >= 0; i--) {
            double until = i + 1 < mine.length ? mine[i + 1].ms : DEADLINE;
            area[i] = (i + 1 < mine.length ? area[i + 1] : 0) + alive[i + 1] * (until - mine[i].ms);
        }
        double variance = 0;
        for (int i = 0; i < mine.length - 1; i++) {
            double at = mine.length - i;
            variance += mine[i].served ? area[i] * area[i] / (at * (at - 1)) : 0;
        }
        return new double[] {mine[0].ms + area[0], Math.max(1e-9, variance), nine};
    }

    /** Nine-tenths of those that were served, the others left out. */
    private static double served(Job[] jobs, boolean own) {
        double[] waits = Arrays.stream(jobs)
                .filter(j -> j.own == own && j.served)
                .mapToDouble(Job::ms)
                .toArray();
        return waits.length == 0 ? 0 : waits[(int) (waits.length * 0.9)];
    }
}

package maplespread.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import maplespread.lab.rig.OrderingChecker;
import maplespread.lab.rig.PartitionPlay;
import maplespread.lab.rig.PartitionPlay.Pace;
import maplespread.lab.rig.PartitionPlay.Strike;

/**
 * Ordered partitions over real processes: what order costs beside the same load without it, how long what an
 * owner had is unserved once it is killed, frozen or cut off, and whether order holds among faults and tables
 * that change. All of it is judged by the rig's workers and clients. Aims are issue 27's.
 */
public final class PartitionMeasure {
    private static final long RUNS_MS = 300; // the longest job, where nothing is held up
    private static final long STORM_RUNS_MS = 1000; // and where ways are
    private static final double COST_MS = 2;
    private static final double UNSERVED_P50_MS = 1000;
    private static final double UNSERVED_MS = 3000;

    private PartitionMeasure() {}

    public static void run(boolean quick, Report report) throws IOException, InterruptedException {
        PartitionPlay.Plan plan = plan(quick, false);
        String what = plan.dispatchers() + " dispatchers, " + plan.workers() + " workers, ";
        try (PartitionPlay play = new PartitionPlay(plan, RUNS_MS)) {
            play.awaitReady();
            pace(play, quick, what, report);
            report.aim(what + "rules broken without faults", play.end().wrongs(), 0);
        }
        PartitionPlay play = new PartitionPlay(plan(quick, true), RUNS_MS);
        OrderingChecker.Verdict seen;
        try (play) {
            play.awaitReady();
            play.begin("k");
            unserved(play, plan.dispatchers(), quick ? 1 : 4, what, report);
            play.storm(quick ? 20 : 120, quick ? 400 : 700, STORM_RUNS_MS);
            seen = play.end();
        }
        report.row(
                what + "faults and tables",
                "faults",
                play.thrown().size(),
                "tables",
                play.changes(),
                "attempts at workers",
                seen.ran(),
                "overlaps",
                seen.overlaps(),
                "inversions",
                seen.inversions(),
                "twice",
                seen.twice(),
                "unanswered",
                seen.unanswered(),
                "in doubt",
                seen.doubts(),
                "repeated",
                seen.again(),
                "wrongs",
                play.wrongs().size());
        report.aim(what + "overlaps of a key", seen.overlaps(), 0);
        report.aim(what + "inversions of a key", seen.inversions(), 0);
        report.aim(what + "run twice that must not be", seen.twice(), 0);
        report.aim(what + "without an answer in time", seen.unanswered(), 0);
        report.aim(what + "rules broken", play.wrongs().size(), 0);
        play.wrongs().stream().limit(5).forEach(w -> report.row("  " + w));
        if (!play.wrongs().isEmpty()) {
            report.row("  logs in " + play.folder());
        }
    }

    private static PartitionPlay.Plan plan(boolean quick, boolean faults) {
        double work = faults ? 12 : 2; // ms; the hot key is out most of the time
        return quick
                ? new PartitionPlay.Plan(5, 12, 500, 40, 150, work, 41, faults)
                : new PartitionPlay.Plan(20, 50, 10_000, 150, 200, work, 41, faults);
    }

    /** In turns, so that both have the machine as it is; the first of each only warms the processes up. */
    private static void pace(PartitionPlay play, boolean quick, String what, Report report)
            throws IOException, InterruptedException {
        List<Pace> with = new ArrayList<>();
        List<Pace> without = new ArrayList<>();
        for (int round = 0; round <= (quick ? 2 : 4); round++) {
            without.add(play.pace(false, quick ? 1500 : 8_000, round));
            with.add(play.pace(true, quick ? 1500 : 8_000, round));
        }
        Pace no = middle(without.subList(1, without.size()));
        Pace yes = middle(with.subList(1, with.size()));
        for (Pace p : List.of(no, yes)) {
            report.row(
                    what + (p == no ? "without order" : "ordered"),
                    "jobs/s",
                    p.perS(),
                    "p50 ms",
                    p.p50(),
                    "p99 ms",
                    p.p99(),
                    "hot key p50 ms",
                    p.hotP50(),
                    "p99 ms of it",
                    p.hotP99());
        }
        report.aim(what + "cost of order at p99, ms", yes.p99() - no.p99(), COST_MS);
    }

    private static Pace middle(List<Pace> of) {
        return new Pace(
                mid(of, Pace::perS),
                mid(of, Pace::p50),
                mid(of, Pace::p99),
                mid(of, Pace::hotP50),
                mid(of, Pace::hotP99));
    }

    private static double mid(List<Pace> of, java.util.function.ToDoubleFunction<Pace> what) {
        return of.stream()
                .mapToDouble(what)
                .sorted()
                .skip((of.size() - 1) / 2)
                .findFirst()
                .orElse(Double.NaN);
    }

    private static void unserved(PartitionPlay play, int dispatchers, int times, String what, Report report)
            throws IOException, InterruptedException {
        int victim = 0;
        for (Strike how : Strike.values()) {
            double[] all = {};
            for (int i = 0; i < times; i++) {
                double[] more = play.strike(how, victim++ % dispatchers);
                int had = all.length;
                all = Arrays.copyOf(all, had + more.length);
                System.arraycopy(more, 0, all, had, more.length);
            }
            double p50 = PartitionPlay.part(all, 0.5);
            double worst = PartitionPlay.part(all, 1);
            String name = what + "owner "
                    + how.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
            report.row(name, "slots", all.length, "unserved p50 ms", p50, "worst ms", worst);
            report.aim(name + ", ms unserved at p50", p50, UNSERVED_P50_MS);
            report.aim(name + ", ms unserved at worst", worst, UNSERVED_MS);
        }
    }
}

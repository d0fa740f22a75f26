package maplespread.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;
import maplespread.lab.rig.ReleasePlay;

/**
 * A release of all dispatchers and workers over real processes under load, among faults, while whoever
 * drives it is killed at every step; and the same fleet without agreement, moved in three parts by those
 * who each keep to the limits alone. All counts are the rig's own. Aims are issue 27's.
 */
public final class ReleaseMeasure {
    private static final long DRAIN_MS = 500; // so late a leave from before it may begin
    private static final long CALL_MS = 1900; // of one call; one in two must be heard
    private static final long HALT_MS = 2000; // by then all have heard of it
    private static final double LEAST = 0.4; // of the workers' capacity

    private ReleaseMeasure() {}

    /** {@code seed}: of the faults. */
    public static void run(boolean quick, long seed, Report report) throws IOException, InterruptedException {
        if (quick) {
            play(new ReleasePlay.Plan(5, 12, seed, 2, 4, 4, 4, 1000, 60, true), 8_000, false, report);
            play(new ReleasePlay.Plan(5, 12, seed, 2, 4, 4, 4, 1000, 60, false), 4_000, false, report);
            halts(new ReleasePlay.Plan(5, 2, seed, 2, 1, 1, 2, 1000, 20, true), 4, report);
        } else {
            play(new ReleasePlay.Plan(20, 50, seed, 3, 10, 6, 6, 5000, 300, true), 120_000, false, report);
            play(new ReleasePlay.Plan(20, 50, seed, 3, 10, 6, 6, 5000, 300, false), 60_000, false, report);
            play(new ReleasePlay.Plan(8, 16, seed, 2, 4, 3, 4, 1000, 100, true), 30_000, true, report);
            halts(new ReleasePlay.Plan(5, 2, seed, 2, 1, 1, 2, 1000, 20, true), 30, report);
        }
    }

    /** So many halts at any instant, over links that drop one packet in ten. */
    static void halts(ReleasePlay.Plan plan, int times, Report report) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(plan.seed());
        List<ReleasePlay.Halted> all = new ArrayList<>();
        ReleasePlay play = new ReleasePlay(plan);
        try (play) {
            play.drop(0.1);
            for (int i = 0; i < times; i++) {
                all.add(play.haltOne(i, random.nextLong(1500)));
            }
        }
        String what = times + " halts, a tenth of packets lost";
        aim(report, what + ", ms from call to heard", all, ReleasePlay.Halted::heard, 2 * CALL_MS);
        aim(report, what + ", ms to the last that left", all, ReleasePlay.Halted::late, DRAIN_MS);
        aim(report, what + ", ms until all say it", all, ReleasePlay.Halted::told, HALT_MS);
        aim(report, what + ", ms until all are called back", all, ReleasePlay.Halted::back, 2 * HALT_MS);
        report.aim(what + ", rules broken", play.wrongs().size(), 0);
        play.wrongs().stream().limit(5).forEach(w -> report.row("  " + w));
    }

    private static void aim(
            Report report,
            String what,
            List<ReleasePlay.Halted> all,
            ToLongFunction<ReleasePlay.Halted> figure,
            long limit) {
        long[] sorted = all.stream().mapToLong(figure).sorted().toArray();
        report.row(what, "p50", sorted[sorted.length / 2], "worst", sorted[sorted.length - 1]);
        report.aim(what, sorted[sorted.length - 1], limit);
    }

    private static void play(ReleasePlay.Plan plan, long stormMs, boolean back, Report report)
            throws IOException, InterruptedException {
        String what = plan.dispatchers() + " dispatchers, " + plan.workers() + " workers, "
                + (plan.agree() ? "agreed" : "each alone") + (back ? ", rolled back" : "");
        ReleasePlay play = new ReleasePlay(plan);
        long halted = 0;
        long start = System.nanoTime();
        try (play) {
            if (plan.agree()) {
                play.begin();
            } else {
                play.beginAlone();
            }
            start = System.nanoTime();
            play.storm(stormMs, 700);
            if (plan.agree()) {
                play.awaitDispatchers();
                halted = play.halt(60);
                if (back) {
                    play.rollBack();
                }
            }
            play.end();
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        int[] most = play.most();
        double[] served = play.served();
        report.row(
                what,
                "seconds",
                seconds,
                "out",
                most[0],
                "workers out",
                most[1],
                "of a zone",
                most[2],
                "least capacity",
                play.least(),
                "jobs",
                served[0],
                "in aim",
                served[1],
                "refused",
                served[2],
                "wrongs",
                play.wrongs().size(),
                "faults",
                play.thrown().size(),
                "halts by itself",
                play.halts(),
                "packets lost",
                play.links()[0],
                "repeated",
                play.links()[1],
                "overtaken",
                play.links()[2]);
        if (!plan.agree()) {
            return; // the control: the harm is for the reader
        }
        report.aim(what + ", dispatchers out by leave", most[0], plan.out());
        report.aim(what + ", workers out", most[1], plan.workersOut());
        report.aim(what + ", workers of a zone out", most[2], plan.zoneOut());
        report.aim(what + ", capacity that was not there", 1 - play.least(), 1 - LEAST);
        report.aim(what + ", rules broken, jobs lost", play.wrongs().size(), 0);
        report.aim(what + ", ms from a halt heard to the last that left", halted, DRAIN_MS);
        play.wrongs().stream().limit(5).forEach(w -> report.row("  " + w));
    }
}

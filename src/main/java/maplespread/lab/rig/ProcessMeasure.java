package maplespread.lab.rig;

import java.io.IOException;
import java.util.List;
import maplespread.lab.Report;

/**
 * Real processes among faults for a minute: with the parts that make them add up, and without, each process
 * believing itself to be the only one, as it would where the count it is told is wrong.
 */
public final class ProcessMeasure {
    private static final String PARTS =
            "{\"subset\":{\"sharers\":5,\"least\":10}," + "\"shares\":{\"beyond\":\"give_way\"}}";
    private static final int FAULTS = 80;
    private static final long GAP_MS = 700;
    private static final int WORKERS = 50;

    private ProcessMeasure() {}

    public static void run(Report report) throws IOException, InterruptedException {
        for (int n : new int[] {5, 20}) {
            play(new Rig.Plan(n, WORKERS, 21, 0, Rig.Operator.same(PARTS), 300), true, report);
            play(new Rig.Plan(n, WORKERS, 21, 1, Rig.Operator.same(null), 300), false, report);
        }
    }

    private static void play(Rig.Plan plan, boolean parts, Report report) throws IOException, InterruptedException {
        Rig rig = new Rig(plan);
        try (rig) {
            for (int w = 0; w < WORKERS; w += 4) {
                rig.workers.get(w).slow(4);
                rig.restartWorker(w + 1);
            }
            new FaultSchedule(rig, plan.seed()).blow(FAULTS, GAP_MS);
        }
        String what =
                plan.dispatchers() + " processes, " + WORKERS + " workers, " + (parts ? "parts on" : "each alone");
        EventRecord seen = rig.ledger;
        List<String> wrongs = rig.wrongs();
        report.row(
                what,
                "in aim",
                seen.inAim.sum() / (double) Math.max(1, seen.asked.sum()),
                "overshoot",
                rig.overshoot(),
                "wrongs",
                wrongs.size(),
                "orders",
                seen.orders(),
                "dials",
                seen.dials.sum(),
                "probes",
                seen.probes.sum());
        if (parts) {
            report.aim(what + ", wrongs", wrongs.size(), 0);
            report.aim(what + ", cold workers' most work over what fells them", rig.overshoot(), 1);
            wrongs.stream().limit(5).forEach(w -> report.row("  " + w + " (logs in " + rig.folder() + ")"));
        }
    }
}

package maplespread.lab;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import maplespread.lab.starvation.VirtualStarvation;
import maplespread.lab.starvation.VirtualStarvation.Case;
import maplespread.lab.starvation.VirtualStarvation.Plan;
import maplespread.lab.starvation.VirtualStarvation.Result;
import maplespread.lab.starvation.Ways;
import maplespread.starvation.Verdict.Kind;

/**
 * Whether starvation is told from all else: false verdicts on fair days, the time until a starved tenant is
 * named, what was told in each case, and what it costs. Aims are issue 27's; docs/starvation.md says what
 * each figure is.
 */
public final class StarvationMeasure {
    private static final double IN_TIME_S = 10;
    private static final int DAY_S = 86_400;

    private StarvationMeasure() { }

    public static void run(boolean quick, Report report) {
        Ways.run(quick ? 1000 : 10_000, report);
        cases(quick ? 5 : 100, report);
        fair(quick ? 120 : 2700, report);
    }

    private static List<Result> play(Case wrong, int seeds, int seconds) {
        return IntStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> {
            Plan p = new Plan();
            p.wrong = wrong;
            p.seed = seed;
            p.seconds = seconds;
            return new VirtualStarvation(p).run();
        }).toList();
    }

    /** Each case with its seeds: a row of the confusion table. */
    private static void cases(int seeds, Report report) {
        for (Case wrong : Case.values()) {
            List<Result> all = play(wrong, seeds, VirtualStarvation.CALM + 14);
            Map<Kind, Integer> told = new EnumMap<>(Kind.class);
            for (Result r : all) {
                r.told().forEach((kind, n) -> told.merge(kind, n, Integer::sum));
            }
            double in = all.stream().filter(r -> r.namedAfterS() <= IN_TIME_S).count() / (double) seeds;
            double falsely = all.stream().mapToDouble(Result::falsely).sum();
            Object[] row = new Object[2 * Kind.values().length + 4];
            int at = 0;
            for (Kind kind : Kind.values()) {
                row[at++] = kind.name().toLowerCase(java.util.Locale.ROOT);
                row[at++] = told.getOrDefault(kind, 0);
            }
            row[at++] = "named in time";
            row[at++] = in;
            row[at++] = "false";
            row[at] = falsely;
            report.row(wrong.name().toLowerCase(java.util.Locale.ROOT), row);
            if (wrong != Case.FAIR) {
                report.aim(wrong + " not named within " + (int) IN_TIME_S + " s, share of seeds", 1 - in,
                    0.05);
            }
            report.aim(wrong + " wrong verdicts of others, a seed", falsely / seeds, 0.05);
        }
    }

    private static void fair(int seconds, Report report) {
        List<Result> all = play(Case.FAIR, 8, seconds);
        double days = 8.0 * seconds / DAY_S;
        double falsely = all.stream().mapToDouble(Result::falsely).sum();
        Result r = all.get(0);
        report.row("fair days", "days", days, "false", falsely, "spread", r.spread());
        report.aim("false verdicts a fair day", falsely / days, 1);
        report.row("cost", "bytes a window", (double) r.bytes() / r.windows(), "view MB", r.viewBytes() / 1e6,
            "record and play a job, ns", r.recordNs(), "judge a round, ms", r.judgeMs());
    }
}

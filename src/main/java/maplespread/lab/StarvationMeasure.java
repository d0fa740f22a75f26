package maplespread.lab;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import maplespread.lab.rig.StarvationPlay;
import maplespread.lab.starvation.DetectorComparison;
import maplespread.lab.starvation.VirtualStarvation;
import maplespread.lab.starvation.VirtualStarvation.Case;
import maplespread.lab.starvation.VirtualStarvation.Plan;
import maplespread.lab.starvation.VirtualStarvation.Relieved;
import maplespread.lab.starvation.VirtualStarvation.Result;
import maplespread.starvation.PriorityBoost;
import maplespread.starvation.Verdict.Kind;

/**
 * Whether starvation is told from all else: false verdicts on fair days, the time until a starved tenant is
 * named, what was told in each case, and what it costs. Aims are issue 27's; docs/starvation.md says what
 * each figure is.
 */
public final class StarvationMeasure {
    private static final double IN_TIME_S = 10;
    private static final int DAY_S = 86_400;

    private StarvationMeasure() {}

    public static void run(boolean quick, Report report) {
        DetectorComparison.run(quick ? 1000 : 10_000, report);
        cases(quick ? 5 : 100, report);
        fair(quick ? 120 : 2700, report);
        relief(quick ? 4 : 50, report);
        lone(quick ? 300 : 14_400, report);
        if (!quick) {
            processes(report);
        }
    }

    /** What four real processes say while links are cut, and instances stall, die and come back. */
    private static void processes(Report report) {
        try (StarvationPlay play = new StarvationPlay(new StarvationPlay.Plan(4, 6, 1, 120))) {
            report.row(
                    "over processes",
                    "named by all, ms",
                    play.play(),
                    "by the unfair one, ms",
                    play.unfair(),
                    "looks",
                    play.looks(),
                    "of these crowded",
                    play.crowded());
            report.aim("wrong words over processes", play.wrongs().size(), 0);
        } catch (IOException | InterruptedException e) {
            report.aim("the play over processes did not end, " + e.getMessage(), 1, 0);
        }
    }

    /** Tenants that are relieved: until nobody is starved, and that two that take from each other rest. */
    private static void relief(int seeds, Report report) {
        for (Case wrong : List.of(Case.ORDER, Case.TWO, Case.LATER, Case.CHASE)) {
            for (boolean guarded : wrong == Case.CHASE ? new boolean[] {true, false} : new boolean[] {true}) {
                List<Relieved> all = play(wrong, seeds, 300, p -> {
                            p.tenants = 20;
                            p.zones = p.kinds = p.alone = 1;
                            p.dispatchers = 3;
                            p.jobsPerS = 600;
                            p.relief = new PriorityBoost.Limits(2, 0.1, 4, guarded);
                        })
                        .stream()
                        .map(Result::relieved)
                        .toList();
                double slowest =
                        all.stream().mapToDouble(Relieved::afterS).max().orElse(0);
                int turns = all.stream().mapToInt(Relieved::turns).max().orElse(0);
                report.row(
                        "relief " + wrong.name().toLowerCase(java.util.Locale.ROOT) + " guarded " + guarded,
                        "seeds",
                        seeds,
                        "slowest s",
                        slowest,
                        "turns",
                        turns,
                        "extra",
                        all.stream().mapToDouble(Relieved::extra).max().orElse(0),
                        "starved at most, s of 150",
                        all.stream().mapToInt(Relieved::lateS).max().orElse(0));
                report.aim(
                        "relief " + wrong + " given to others",
                        all.stream().mapToInt(Relieved::others).sum(),
                        0);
                if (wrong == Case.CHASE) {
                    report.aim(
                            "chase, guarded " + guarded + ": turns in 300 s, " + (guarded ? "most" : "below 8"),
                            guarded ? turns : Math.max(0, 8 - turns),
                            guarded ? 5 : 0);
                } else {
                    report.aim(
                            "relief " + wrong + " until nobody is starved, s", slowest, wrong == Case.ORDER ? 30 : 80);
                }
            }
        }
    }

    /** Dispatchers of 200 that judge themselves on a fair day; each wrong word stands for 200. */
    private static void lone(int seconds, Report report) {
        for (boolean talks : new boolean[] {true, false}) {
            double words = play(Case.FAIR, 16, seconds, p -> {
                                p.dispatchers = p.alone = 1;
                                p.of = 200;
                                p.jobsPerS = 100;
                                p.talks = talks;
                            })
                            .stream()
                            .mapToDouble(Result::falsely)
                            .sum()
                    / 200;
            report.row(
                    "dispatchers that judge themselves, talk " + talks,
                    "dispatcher days",
                    16.0 * seconds / DAY_S,
                    "wrong words",
                    words);
            report.aim("wrong words of dispatchers that judge themselves, talk " + talks, words, 0);
        }
    }

    private static List<Result> play(Case wrong, int seeds, int seconds) {
        return play(wrong, seeds, seconds, p -> {});
    }

    private static List<Result> play(Case wrong, int seeds, int seconds, Consumer<Plan> also) {
        return IntStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> {
                    Plan p = new Plan();
                    p.wrong = wrong;
                    p.seed = seed;
                    p.seconds = seconds;
                    also.accept(p);
                    return new VirtualStarvation(p).run();
                })
                .toList();
    }

    /** Each case with its seeds: a row of the confusion table. */
    private static void cases(int seeds, Report report) {
        for (Case wrong : Case.told()) {
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
                report.aim(wrong + " not named within " + (int) IN_TIME_S + " s, share of seeds", 1 - in, 0.05);
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
        report.row(
                "cost",
                "bytes a window",
                (double) r.bytes() / r.windows(),
                "view MB",
                r.viewBytes() / 1e6,
                "record and play a job, ns",
                r.recordNs(),
                "judge a round, ms",
                r.judgeMs());
    }
}

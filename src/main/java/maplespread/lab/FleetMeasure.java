package maplespread.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import maplespread.lab.fleet.VirtualFleet;
import maplespread.lab.fleet.VirtualFleet.Plan;
import maplespread.lab.fleet.VirtualFleet.Result;
import maplespread.lab.rig.ProcessMeasure;
import maplespread.subset.CoverageStatistics;

/**
 * How the choices of many dispatchers add up. Cover and moves of subsets; then whole fleets in virtual time,
 * with the real module, beside one dispatcher that sees all (same seed) and the plainest choice by reported
 * load; in full also real processes among faults. Aims are issue 22's; docs/fleet.md says what each figure
 * is.
 */
public final class FleetMeasure {
    private static final double SHARERS = 10;
    private static final double WORTH_LOST = 0.05; // against the one that sees all
    private static final double HERD = 6; // times the fair part of a tick's sends
    private static final double PROBES = 10; // a worker, a second
    private static final double UNFAIR = 0.05; // of the served work
    /** What is shown beside, with no aim of its own: at the largest size half of all the work is theirs. */
    private static final Set<String> CONTROLS = Set.of("all workers", "all, faults", "subsets, greedy");

    private FleetMeasure() {}

    public static void run(boolean quick, Report report) throws IOException, InterruptedException {
        cover(quick, report);
        List<int[]> sizes = new ArrayList<>(
                List.of(new int[] {5, 50}, new int[] {20, 50}, new int[] {50, 200}, new int[] {200, 400}));
        if (!quick) {
            sizes.add(new int[] {200, 1000});
        }
        virtual(sizes, quick, report);
        if (!quick) {
            large(report);
            ProcessMeasure.run(report);
        }
    }

    // ------------------------------------------------------------ subsets alone

    private static void cover(boolean quick, Report report) {
        int[][] sizes = quick
                ? new int[][] {{50, 1000}, {200, 10_000}}
                : new int[][] {{5, 50}, {20, 50}, {50, 1000}, {200, 1000}, {200, 10_000}};
        for (int[] size : sizes) {
            int n = size[0];
            List<String> ws =
                    IntStream.range(0, size[1]).mapToObj(i -> "w-" + i).toList();
            for (double perWorker : new double[] {5, 10, 40}) {
                double width = Math.max(1, perWorker * size[1] / n);
                double spread = CoverageStatistics.maxToMeanRatio(CoverageStatistics.loads(n, width, ws, 1));
                report.row(
                        n + " dispatchers, " + size[1] + " workers, " + (int) perWorker + " a worker",
                        "width",
                        Math.round(width),
                        "max over mean",
                        spread);
                if (perWorker == 40) {
                    report.aim("cover at " + n + "x" + size[1] + ", max over mean", spread, 1.10);
                }
            }
            double width = Math.max(1, 10.0 * size[1] / n);
            List<String> more = new ArrayList<>(ws);
            more.add("new");
            report.aim(
                    "a dispatcher joins " + n + ", share moved less 1/N",
                    CoverageStatistics.movedShare(n, ws, n + 1, ws, width, 1) - 1.0 / (n + 1),
                    0.05);
            report.aim(
                    "a worker joins " + size[1] + " at " + n + ", share moved less 1/N",
                    CoverageStatistics.movedShare(n, ws, n, more, width, 1) - 1.0 / n,
                    0.05);
            report.aim(
                    "a worker leaves at " + n + ", share moved less 1/N",
                    CoverageStatistics.movedShare(n, ws, n, ws.subList(1, ws.size()), width, 1) - 1.0 / n,
                    0.05);
        }
    }

    // ------------------------------------------------------------ fleets in virtual time

    private static Plan plan(int n, int m, long seed, Consumer<Plan> with) {
        Plan p = Plan.of(n, m);
        p.seed = seed;
        p.load = 0.75;
        with.accept(p);
        return p;
    }

    private static void greedy(Plan p) {
        p.greedy = 2.5;
        p.seconds = 31;
    }

    private static Map<String, Consumer<Plan>> ways() {
        Map<String, Consumer<Plan>> ways = new LinkedHashMap<>();
        ways.put("sees all", p -> p.oracle = true);
        ways.put("least reported load", p -> p.naive = true);
        ways.put("all workers", p -> {});
        ways.put("subsets", p -> p.sharers = SHARERS);
        ways.put("all, faults", Plan::broken);
        ways.put("subsets, faults", p -> {
            p.broken();
            p.sharers = SHARERS;
        });
        ways.put("subsets, greedy", p -> {
            greedy(p);
            p.sharers = SHARERS;
        });
        ways.put("subsets, greedy, shares", p -> {
            greedy(p);
            p.sharers = SHARERS;
            p.fair = true;
        });
        ways.put(
                "greedy, shares, faults",
                p -> { // dispatchers paused, cut off and gone
                    greedy(p);
                    p.sharers = SHARERS;
                    p.fair = true;
                    p.pauses = true;
                    p.cuts = true;
                    p.goes = true;
                });
        return ways;
    }

    /**
     * All plays of all sizes at once, the longest first: one size by one would wait for its longest. Quick:
     * one seed, and the largest size without its controls, of which one alone plays longer than all else.
     */
    private static void virtual(List<int[]> sizes, boolean quick, Report report) throws InterruptedException {
        int seeds = quick ? 1 : 3;
        ExecutorService cores =
                Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        try {
            List<Map<String, List<Future<Result>>>> plays = new ArrayList<>();
            for (int i = sizes.size() - 1; i >= 0; i--) {
                int[] size = sizes.get(i);
                Map<String, List<Future<Result>>> here = new LinkedHashMap<>();
                Map<String, Consumer<Plan>> ways = ways();
                if (quick && i == sizes.size() - 1) {
                    ways.keySet().removeAll(CONTROLS);
                }
                ways.forEach((way, with) -> here.put(
                        way,
                        IntStream.rangeClosed(1, seeds)
                                .mapToObj(s -> cores.submit(new VirtualFleet(plan(size[0], size[1], s, with))::run))
                                .toList()));
                plays.add(0, here);
            }
            for (int i = 0; i < sizes.size(); i++) {
                Map<String, Result> mean = new LinkedHashMap<>();
                for (var e : plays.get(i).entrySet()) {
                    List<Result> all = new ArrayList<>();
                    for (Future<Result> play : e.getValue()) {
                        all.add(play.get());
                    }
                    mean.put(e.getKey(), mean(all));
                }
                tell(sizes.get(i)[0] + "x" + sizes.get(i)[1] + " ", mean, report);
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a play failed", e.getCause());
        } finally {
            cores.shutdownNow();
        }
    }

    private static void tell(String size, Map<String, Result> mean, Report report) {
        for (String way : mean.keySet()) {
            Result r = mean.get(way);
            report.row(
                    size + way,
                    "worth",
                    r.worth(),
                    "herd",
                    r.herd(),
                    "overshoot",
                    r.overshoot(),
                    "probes",
                    r.probes(),
                    "unfair",
                    r.unfair(),
                    "twice",
                    r.twice());
            report.aim(size + way + ", orders run twice", r.twice(), 0);
        }
        Result best = mean.get("subsets");
        report.aim(
                size + "worth lost against one that sees all",
                1 - best.worth() / mean.get("sees all").worth(),
                WORTH_LOST);
        report.aim(size + "herd, times the fair part", best.herd(), HERD);
        report.aim(size + "probes a worker a second", best.probes(), PROBES);
        report.aim(
                size + "cold workers' most work over what fells them",
                mean.get("subsets, faults").overshoot(),
                1);
        for (String way : List.of("subsets, greedy, shares", "greedy, shares, faults")) {
            report.aim(
                    size + way + ", short of a share, of all served",
                    mean.get(way).unfair(),
                    UNFAIR);
        }
    }

    /** Means over seeds, but the worst of what must never be. */
    private static Result mean(List<Result> all) {
        double n = all.size();
        return new Result(
                all.stream().mapToDouble(Result::worth).sum() / n,
                all.stream().mapToDouble(Result::herd).sum() / n,
                all.stream().mapToDouble(Result::overshoot).max().orElse(0),
                all.stream().mapToInt(Result::overrun).sum(),
                all.stream().mapToDouble(Result::probes).sum() / n,
                all.stream().mapToDouble(Result::unfair).max().orElse(0),
                all.stream().mapToLong(Result::jobs).sum(),
                all.stream().mapToLong(Result::twice).sum());
    }

    /** The largest size, with churn: a short play, as the one that sees all prices every worker. */
    private static void large(Report report) {
        Consumer<Plan> churn = p -> {
            p.churn = 0.002;
            p.seconds = 3;
        };
        List<Result> both =
                List.of(churn.andThen(p -> p.oracle = true), churn.andThen(p -> p.sharers = SHARERS)).parallelStream()
                        .map(with -> new VirtualFleet(plan(200, 10_000, 1, with)).run())
                        .toList();
        Result r = both.get(1);
        report.row("200x10000 sees all, churn", "worth", both.get(0).worth());
        report.row(
                "200x10000 subsets, churn",
                "worth",
                r.worth(),
                "herd",
                r.herd(),
                "overshoot",
                r.overshoot(),
                "probes",
                r.probes(),
                "twice",
                r.twice());
        report.aim(
                "200x10000 worth lost against one that sees all",
                1 - r.worth() / both.get(0).worth(),
                WORTH_LOST);
    }
}

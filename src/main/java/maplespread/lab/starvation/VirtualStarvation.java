package maplespread.lab.starvation;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import maplespread.policy.ReproducibleMath;
import maplespread.starvation.FleetLayout;
import maplespread.starvation.FleetWindow;
import maplespread.starvation.PriorityBoost;
import maplespread.starvation.StarvationDetector;
import maplespread.starvation.Verdict;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.WaitRecorder;
import maplespread.starvation.WaitRecorder.Completion;
import maplespread.starvation.WaitWindow;

/**
 * A fleet and what its tenants meet. Load wanders by place, tenants send bursts whose jobs share one queue,
 * sizes are lognormal, some places are a little slower for good: all of it fair. What is not fair begins
 * after {@link #CALM} seconds.
 */
public final class VirtualStarvation {
    /** What is wrong. */
    public enum Case {
        FAIR(Kind.FINE),
        ORDER(Kind.STARVED),
        HOT_KEY(Kind.STARVED),
        SUBSET(Kind.STARVED),
        COLD_ZONE(Kind.STARVED),
        UNFAIR(Kind.STARVED),
        CROWD(Kind.CROWDED),
        GREEDY(Kind.BEYOND_SHARE),
        LONG(Kind.LONG_JOBS),
        SILENT(Kind.NOT_KNOWN),
        /** Two at once, a second one later, one whose relief takes from the second: with relief only. */
        TWO(Kind.STARVED),
        LATER(Kind.STARVED),
        CHASE(Kind.STARVED);

        /** What is to be told of whom it concerns. */
        public final Kind truth;

        Case(Kind truth) {
            this.truth = truth;
        }

        /** Those that are told from one another. */
        public static List<Case> told() {
            return List.of(values()).subList(0, TWO.ordinal());
        }
    }

    /** How large the fleet is, and what it does. */
    public static final class Plan {
        public Case wrong = Case.FAIR;
        public int tenants = 100, zones = 8, kinds = 8, dispatchers = 200;
        public double jobsPerS = 20_000;
        public int seconds = CALM + 14;
        public long seed = 1;
        public double matters = 0.1;
        public int alone = 4; // dispatchers that judge by themselves, too
        public int of; // dispatchers; more than are played: all is
        // well with the others
        public boolean talks = true; // false: who judges by itself hears of nobody
        public PriorityBoost.Limits relief; // null: nobody is relieved
    }

    /**
     * {@code namedAfterS}: until the right verdict stood of whom it concerns, infinite if never; {@code
     * told}: what stood of those at the end, by verdict; {@code falsely}: verdicts of anybody that were
     * wrong, the judges that look alone times the dispatchers they stand for.
     */
    public record Result(
            double namedAfterS,
            Map<Kind, Integer> told,
            double falsely,
            long jobs,
            long bytes,
            long windows,
            long viewBytes,
            double recordNs,
            double judgeMs,
            double spread,
            Relieved relieved) {}

    /**
     * {@code afterS}: from the harm's beginning until nobody was named starved any more, for the first time;
     * {@code lateS}: seconds of the last half in which somebody was; {@code turns}: how often a weight that
     * fell rose again; {@code extra}: the most above 1, all together; {@code others}: weights above 1 of
     * tenants that met no harm; {@code ends}: the weights of the two at the end.
     */
    public record Relieved(double afterS, int lateS, int turns, double extra, int others, List<Double> ends) {}

    public static final int CALM = 12;
    private static final int LATER_S = 60;
    private static final double HELPS = 0.8; // more weight takes the harm away
    private static final double TAKES = 0.4; // as much more than another, from that one
    private static final double DEADLINE_MS = 2000;
    private static final int WINDOW_MS = 1000;
    private static final int KEEP_MS = 10_000;
    private static final double HEADROOM = 1.3; // allowance over mean rate
    private final Plan plan;
    private final SplittableRandom random;
    private final int places;
    private final double[] weights, cumulated, queue, slow;
    private final int tenant, second, place, dispatcher; // whom it concerns
    private PriorityBoost relief; // null: nobody is relieved
    private int nowS;
    private long id;
    private FleetLayout site;

    public VirtualStarvation(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
        places = plan.zones * plan.kinds;
        weights = new double[plan.tenants];
        Arrays.setAll(weights, t -> ReproducibleMath.exp(0.4 * gauss()));
        double sum = Arrays.stream(weights).sum();
        Arrays.setAll(weights, t -> weights[t] / sum);
        cumulated = weights.clone();
        Arrays.parallelPrefix(cumulated, Double::sum);
        queue = new double[places];
        slow = new double[places];
        Arrays.setAll(slow, p -> 1 + 0.2 * random.nextDouble());
        Arrays.setAll(queue, p -> gauss());
        int drawn = random.nextInt(plan.tenants);
        while (weights[drawn] < 1.0 / plan.tenants) { // whom it concerns is of mean size at least
            drawn = random.nextInt(plan.tenants);
        }
        tenant = drawn;
        second = (drawn + 1) % plan.tenants;
        place = random.nextInt(places);
        dispatcher = 0;
    }

    /** What this thread has had of a processor: others may run beside it. */
    private static long cpuNs() {
        return java.lang.management.ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private double gauss() {
        double turn = 2 * Math.PI * random.nextDouble();
        return Math.sqrt(-2 * ReproducibleMath.log(1 - random.nextDouble())) * ReproducibleMath.cos(turn);
    }

    public Result run() {
        boolean part = plan.of > plan.dispatchers;
        int fleet = Math.max(plan.of, plan.dispatchers);
        double all = plan.jobsPerS * fleet / plan.dispatchers;
        double[] allowances =
                Arrays.stream(weights).map(w -> w * all * HEADROOM).toArray();
        site = new FleetLayout(new double[] {DEADLINE_MS}, allowances, fleet, plan.kinds);
        WaitRecorder[] waits = new WaitRecorder[plan.dispatchers];
        Arrays.setAll(waits, d -> new WaitRecorder("d" + d, 1, WINDOW_MS, new double[] {DEADLINE_MS}));
        FleetWindow view = new FleetWindow(KEEP_MS, true);
        StarvationDetector judge = part ? allWell() : new StarvationDetector(site, plan.matters);
        FleetWindow[] aloneViews = new FleetWindow[plan.alone];
        StarvationDetector[] alone = new StarvationDetector[plan.alone];
        Arrays.setAll(aloneViews, d -> new FleetWindow(KEEP_MS, false));
        Arrays.setAll(alone, d -> StarvationDetector.singleDispatcher(site, plan.matters, plan.talks ? judge : null));
        double named = Double.POSITIVE_INFINITY;
        double falsely = 0;
        long bytes = 0;
        long windows = 0;
        long recordNs = 0;
        long judgeNs = 0;
        relief = plan.relief == null ? null : new PriorityBoost(plan.relief, KEEP_MS / WINDOW_MS);
        double after = Double.POSITIVE_INFINITY;
        int late = 0;
        int turns = 0;
        int others = 0;
        double extra = 0;
        double[] before = new double[plan.tenants];
        boolean[] fell = new boolean[plan.tenants];
        for (int s = 0; s < plan.seconds; s++) {
            boolean wrong = plan.wrong != Case.FAIR && s >= CALM;
            nowS = s;
            long t0 = cpuNs();
            second(s * 1000L, wrong, waits);
            long now = (s + 1) * 1000L;
            recordNs += cpuNs() - t0;
            view.evictExpired(now);
            for (int d = 0; d < plan.dispatchers; d++) {
                WaitWindow w = waits[d].closeWindow(now);
                if (d < plan.alone) {
                    aloneViews[d].evictExpired(now);
                    aloneViews[d].add(now, w);
                }
                if (!part && (plan.wrong != Case.SILENT || s < CALM || d < plan.dispatchers * 3 / 10)) {
                    byte[] packet = maplespread.starvation.WindowCodec.encode(w, Integer.MAX_VALUE);
                    bytes += packet.length;
                    windows++;
                    view.add(now, w);
                }
            }
            long t1 = cpuNs();
            falsely += part ? 0 : wrong(judge.evaluate(now, view), wrong, -1);
            judgeNs += cpuNs() - t1;
            for (int d = 0; d < plan.alone; d++) {
                falsely += wrong(alone[d].evaluate(now, aloneViews[d]), wrong, d) * (double) fleet / plan.alone;
            }
            if (relief != null) {
                List<Verdict> stand = judge.activeVerdicts();
                relief.update(stand, judge.enoughReported());
                boolean starved = stand.stream().anyMatch(v -> v.kind() == Kind.STARVED);
                late += starved && s >= plan.seconds / 2 ? 1 : 0;
                if (named < Double.POSITIVE_INFINITY && !starved && after == Double.POSITIVE_INFINITY) {
                    after = s + 1 - CALM;
                }
                double sum = 0;
                for (int t = 0; t < plan.tenants; t++) {
                    double w = relief.weight(t);
                    sum += w - 1;
                    turns += fell[t] && w > before[t] ? 1 : 0;
                    fell[t] = w < before[t] || fell[t] && w == before[t];
                    before[t] = w;
                    others += w > 1 && !concerns(t, place) ? 1 : 0;
                }
                extra = Math.max(extra, sum);
            }
            if (wrong
                    && named == Double.POSITIVE_INFINITY
                    && count(judge, alone[dispatcher]).getOrDefault(plan.wrong.truth, 0) > 0) {
                named = s + 1 - CALM;
            }
        }
        return new Result(
                named,
                count(judge, alone[dispatcher]),
                falsely,
                id,
                bytes,
                windows,
                view.estimatedBytes(),
                (double) recordNs / id,
                judgeNs / 1e6 / plan.seconds,
                judge.varianceInflation(),
                new Relieved(after, late, turns, extra, others, List.of(weight(tenant), weight(second))));
    }

    private double weight(int t) {
        return relief == null ? 1 : relief.weight(t);
    }

    /** What is left of its harm, as its jobs count for more; from 0 to 1. */
    private double harm(int t) {
        double left =
                switch (plan.wrong) {
                    case CHASE ->
                        t == tenant ? 1 - (weight(t) - weight(second)) / TAKES : (weight(tenant) - weight(t)) / TAKES;
                    case LATER -> t == second && nowS < CALM + LATER_S ? 0 : 1 - (weight(t) - 1) / HELPS;
                    default -> 1 - (weight(t) - 1) / HELPS;
                };
        return Math.max(0, Math.min(1, left));
    }

    /** A fleet that is heard and in which nobody asks too much. */
    private StarvationDetector allWell() {
        StarvationDetector judge =
                new StarvationDetector(new FleetLayout(site.deadlinesMs(), new double[0], 1, plan.kinds), plan.matters);
        WaitRecorder waits = new WaitRecorder("all", 1, WINDOW_MS, site.deadlinesMs());
        FleetWindow view = new FleetWindow(KEEP_MS, true);
        view.add(0, waits.closeWindow(0));
        judge.evaluate(0, view);
        return judge;
    }

    /** What stands of whom it concerns. */
    private Map<Kind, Integer> count(StarvationDetector judge, StarvationDetector alone) {
        Map<Kind, Integer> told = new EnumMap<>(Kind.class);
        for (int p = 0; p < places; p++) {
            if (concerns(tenant, p)) {
                Kind kind = plan.wrong == Case.UNFAIR ? unfair(alone) : judge.verdictOf(tenant, 0, p);
                told.merge(kind, 1, Integer::sum);
            }
        }
        return told;
    }

    private Kind unfair(StarvationDetector alone) {
        return alone.activeVerdicts().stream()
                .filter(v -> v.tenant() == tenant)
                .map(Verdict::kind)
                .findFirst()
                .orElse(Kind.FINE);
    }

    /** Whether the tenant's jobs in the place are those that the case is about. */
    private boolean concerns(int t, int p) {
        return switch (plan.wrong) {
            case FAIR, SILENT, CROWD, ORDER, HOT_KEY -> t == tenant && p == place;
            case SUBSET -> t == tenant && p % plan.kinds == place % plan.kinds;
            case COLD_ZONE -> t == tenant && p / plan.kinds == place / plan.kinds;
            case UNFAIR -> t == tenant && p == 0;
            case GREEDY, LONG -> t == tenant;
            case TWO, LATER, CHASE -> (t == tenant || t == second) && p == place;
        };
    }

    /** Whether most of what the part has in it is what the case is about: half of its places. */
    private boolean concerns(int part) {
        int has = 0;
        int all = 0;
        for (int p = 0; p < places; p++) {
            all += site.contains(part, p) ? 1 : 0;
            has += site.contains(part, p) && concerns(tenant, p) ? 1 : 0;
        }
        return 2 * has >= all;
    }

    /** How many of these say what is not so; {@code by}: the dispatcher that judges alone, or -1. */
    private int wrong(List<Verdict> verdicts, boolean begun, int by) {
        int n = 0;
        for (Verdict v : verdicts) {
            boolean ok = v.kind() == Kind.FINE || v.kind() == Kind.NOT_KNOWN;
            if (begun && !ok) {
                boolean about = v.tenant() == tenant
                        || plan.wrong == Case.CROWD && v.tenant() == Verdict.ALL
                        || v.tenant() == second && !Case.told().contains(plan.wrong);
                boolean there = by >= 0
                        ? plan.wrong != Case.UNFAIR || by == dispatcher
                        : plan.wrong == Case.UNFAIR || concerns(v.place()); // who looks alone sees no place
                ok = about && there && v.kind() == plan.wrong.truth;
            }

            n += ok ? 0 : 1;
        }
        return n;
    }

    // ------------------------------------------------------------ what the tenants meet

    private void second(long fromMs, boolean wrong, WaitRecorder[] waits) {
        double wave = 1 + 0.2 * ReproducibleMath.sin(fromMs / 1000.0 * 2 * Math.PI / 3600);
        for (int p = 0; p < places; p++) { // wanders within some seconds
            queue[p] = 0.85 * queue[p] + Math.sqrt(1 - 0.85 * 0.85) * gauss();
        }
        double jobs = plan.jobsPerS * wave;
        boolean greedy = wrong && plan.wrong == Case.GREEDY;
        double most = jobs + (greedy ? jobs * weights[tenant] * 3 : 0);
        for (double n = 0; n < most; ) {
            int t = n >= jobs
                    ? tenant
                    : Math.min(plan.tenants - 1, Math.abs(Arrays.binarySearch(cumulated, random.nextDouble()) + 1));
            int d = random.nextInt(plan.dispatchers + 1) % plan.dispatchers; // the first has two parts
            int p = random.nextInt(places);
            int burst = 1 + (random.nextInt(4) == 0 ? random.nextInt(4) : 0);
            double shared = -ReproducibleMath.log(1 - random.nextDouble());
            for (int i = 0; i < burst; i++, n++) {
                job(fromMs, wrong, waits[d], t, d, p, shared);
            }
        }
    }

    private void job(long fromMs, boolean wrong, WaitRecorder waits, int t, int d, int p, double shared) {
        double mine = -ReproducibleMath.log(1 - random.nextDouble());
        double work = Math.min(1500, 60 * ReproducibleMath.exp(0.8 * gauss()));
        Case now = wrong && concerns(t, p) ? plan.wrong : Case.FAIR;
        if (now == Case.LONG) {
            work *= 8;
        }
        double load = ReproducibleMath.exp(0.5 * Math.max(-2, Math.min(2, queue[p])));
        double wait = slow[p] * load * 15 * (shared + mine) + work * (slow[p] - 1);
        double refused = 0.002 * load;
        if (wrong && plan.wrong == Case.CROWD && p == place) {
            wait += 0.3 * DEADLINE_MS * (0.5 + random.nextDouble());
            refused = 0.05;
        }
        switch (now) {
            case ORDER, COLD_ZONE -> wait += harm(t) * 0.35 * DEADLINE_MS * (0.5 + random.nextDouble());
            case TWO, LATER, CHASE -> refused += 0.18 * harm(t);
            case HOT_KEY -> {
                wait += random.nextInt(2) == 0 ? 0.5 * DEADLINE_MS * (0.5 + random.nextDouble()) : 0;
                refused = 0.2;
            }
            case SUBSET -> refused = d % 4 == dispatcher ? 0.95 : refused;
            case GREEDY -> refused = 0.6;
            default -> {}
        }
        if (wrong && plan.wrong == Case.UNFAIR && t == tenant && d == dispatcher) {
            refused = 0.9;
        }
        long at = fromMs + random.nextInt(1000);
        waits.requestAccepted(at, ++id, t, 0, p, work);
        double r = random.nextDouble();
        if (r < refused) {
            waits.requestCompleted(at + 2, id, p, Completion.REJECTED);
        } else if (r < refused + 0.003) {
            waits.requestCompleted(at + random.nextInt(300), id, p, Completion.CLIENT_LEFT);
        } else if (work + wait >= DEADLINE_MS) {
            waits.requestCompleted(at + (long) DEADLINE_MS, id, p, Completion.FAILED);
        } else {
            waits.requestCompleted(at + (long) (work + wait), id, p, Completion.SERVED);
        }
    }
}

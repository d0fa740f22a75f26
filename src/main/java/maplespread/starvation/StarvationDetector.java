package maplespread.starvation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.starvation.LogRankComparison.Stratum;
import maplespread.starvation.LogRankComparison.Sum;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/**
 * Verdicts over one view, a round each window. A tenant is compared with the others in each place and class,
 * job by job of like work, and over all its places together; places with other places. All comparisons of a
 * round are corrected together by Holm's steps, which hold whatever the comparisons have in common (they
 * share their others): each verdict names somebody, so each one has to be right, not most of them. Where all
 * spread more than chance would have it, as waits in a queue do, the spread seen is what counts (genomic
 * control: the median comparison is taken for a fair one).
 *
 * <p>A verdict stands after two rounds in a row and falls after three in which not even half of it was seen.
 */
public final class StarvationDetector {
    /** Jobs of a tenant in a place below which nothing is said. */
    static final int FEW = 5;

    private static final int FEW_OTHERS = 20;
    private static final double ALPHA = 1e-4; // a round of all that judge
    private static final double WEAK = 0.01; // while it stands
    private static final int ENTER = 2, LEAVE = 3; // rounds
    private static final int FOR_SPREAD = 30; // comparisons that tell of the spread
    private static final double MEDIAN = 0.4549; // of chi-squared with one degree
    private static final double LEAST_HEARD = 0.5; // of the processes, to judge the fleet
    private static final double GREEDY = 0.2; // of what it asks, in a crowded place
    private static final double TAKEN_OUT = 1.5; // of the excess: what is due is a guess
    private static final double FULL = 0.5; // of the deadline: slow without compare
    private static final double LONG_Z = 6;
    private static final int LONG_FEW = 50;
    private static final int BANDS = 16;

    /** Whom a verdict is of. */
    private record Subject(int tenant, int cls, int place) {}

    /** What this round says of a subject: a kind if it is clear, and one if it is half seen. */
    private record Seen(Kind clear, Kind half, Statistics figures) {}

    private static final class Standing {
        Kind kind = Kind.FINE;
        Kind coming = Kind.FINE;
        int rounds, gone;
        long sinceMs, comingMs;
        Statistics figures = Statistics.NONE;
    }

    /** A class at a place. */
    private static final class Group {
        final int cls, place;
        final Stratum[] tables = new Stratum[BANDS];
        final WaitHistogram[] totals = new WaitHistogram[BANDS];
        final Map<Integer, WaitHistogram[]> tenants = new HashMap<>();

        Group(int cls, int place) {
            this.cls = cls;
            this.place = place;
        }
    }

    /** One tenant's comparison in a place, or in all. */
    private static final class Test {
        final Subject of;
        final Sum sum = new Sum(), trimmed = new Sum();
        double chance = 1;
        boolean clear;

        Test(Subject of) {
            this.of = of;
        }
    }

    private final FleetLayout site;
    private final double minEffect;
    private final Map<Subject, Standing> activeVerdicts = new HashMap<>();
    private Set<Subject> known = new HashSet<>();
    private Map<Integer, Double> excess = new HashMap<>();
    private Map<Integer, Double> sure = new HashMap<>(); // that cannot be a deadline's jobs at once
    private int reportingProcesses;
    private boolean enough;
    private double varianceInflation = 1;
    private List<Test> tests = List.of();
    private final boolean singleDispatcher;
    private final StarvationDetector fleet; // knows who asks too much; null: nobody does
    private final double limit; // of what is called chance, a round

    /** {@code matters}: what share of the deadline a wait must be longer by to be worth a word. */
    public StarvationDetector(FleetLayout site, double matters) {
        this(site, matters, false, null);
    }

    private StarvationDetector(FleetLayout site, double matters, boolean alone, StarvationDetector fleet) {
        this.site = site;
        this.minEffect = matters;
        this.singleDispatcher = alone;
        this.fleet = fleet;
        // Each dispatcher that judges itself is a family of comparisons of its own: together they are one.
        limit = alone ? ALPHA / site.processes() : ALPHA;
    }

    /**
     * For a view of one process. {@code fleet}: has judged the same round over all of them, and so knows who
     * asks more than its share; null: nobody does, and what is due to a tenant here is a guess.
     */
    public static StarvationDetector singleDispatcher(FleetLayout site, double matters, StarvationDetector fleet) {
        return new StarvationDetector(site, matters, true, fleet);
    }

    /** Judges the view as it is now; verdicts that have changed, ends too. */
    public List<Verdict> evaluate(long nowMs, FleetWindow view) {
        reportingProcesses = view.reportingProcesses(nowMs);
        Map<Subject, Seen> seen = new HashMap<>();
        known = new HashSet<>();
        enough = reportingProcesses >= Math.min(site.processes(), Math.max(1, LEAST_HEARD * processes()));
        Subject all = new Subject(Verdict.ALL, Verdict.ALL, Verdict.ALL);
        if (enough) {
            known.add(all);
            look(view, seen);
        } else {
            seen.put(all, new Seen(Kind.NOT_KNOWN, Kind.NOT_KNOWN, Statistics.NONE));
        }
        return settle(nowMs, seen);
    }

    /** Whose waits are to be in the view: one where it is of this process alone. */
    private int processes() {
        return singleDispatcher ? 1 : site.processes();
    }

    // ------------------------------------------------------------ a round's figures

    private void look(FleetWindow view, Map<Subject, Seen> seen) {
        Map<Long, Group> groups = groups(view);
        boolean guess = singleDispatcher && site.processes() > 1;
        boolean told = fleet != null && fleet.enough;
        sure = told
                ? fleet.sure
                : excess(view, Arrays.stream(site.deadlinesMs()).max().orElse(1000));
        excess = told ? fleet.excess : guess ? sure : excess(view, 1000);
        Map<Subject, Test> pooled = new HashMap<>();
        List<Test> all = new ArrayList<>();
        int[] parts = view.separatesPlaces() ? new int[] {0, 1, 2} : new int[] {0};
        for (Group g : groups.values()) {
            g.tenants.forEach((tenant, bands) -> {
                Test here = new Test(new Subject(tenant, g.cls, g.place));
                double kept = 1 - Math.min(1, TAKEN_OUT * excess.getOrDefault(tenant, 0.0));
                for (int b = 0; b < BANDS; b++) {
                    if (bands[b] != null) {
                        LogRankComparison.add(here.sum, g.tables[b], bands[b], 1);
                        if (kept < 1) {
                            LogRankComparison.add(here.trimmed, g.tables[b], bands[b], kept);
                        }
                    }
                }
                for (int part : parts) {
                    int wide = part == 0 ? Verdict.ALL : part == 1 ? site.allOfZone(g.place) : site.allOfKind(g.place);
                    Test p = pooled.computeIfAbsent(new Subject(tenant, g.cls, wide), Test::new);
                    p.sum.add(here.sum, 1);
                    p.trimmed.add(here.trimmed, 1);
                }
                if (view.separatesPlaces() && here.sum.total >= FEW && here.sum.others >= FEW_OTHERS) {
                    all.add(here);
                }
            });
        }
        for (Test p : pooled.values()) {
            if (p.sum.total >= FEW && p.sum.others >= FEW_OTHERS) {
                all.add(p);
            }
        }
        varianceInflation = varianceInflation(all);
        tests = all;
        holm(all);
        Map<Subject, Test> clear = new HashMap<>();
        all.forEach(t -> {
            known.add(t.of);
            clear.put(t.of, t);
        });
        Map<Long, List<Group>> places = new HashMap<>(); // of a tenant and class
        groups.values()
                .forEach(g -> g.tenants
                        .keySet()
                        .forEach(t -> places.computeIfAbsent((long) t << 32 | g.cls, k -> new ArrayList<>())
                                .add(g)));
        for (Test t : all) {
            tenant(t, clear, places, seen);
        }
        widest(clear, seen);
        crowds(groups, seen);
        lengths(groups, seen);
    }

    private Map<Long, Group> groups(FleetWindow view) {
        Map<Long, Group> groups = new TreeMap<>();
        view.strata().forEach((s, sample) -> {
            if (CellCode.requestClass(s) >= site.deadlinesMs().length) {
                return; // of a dispatcher with other settings
            }
            Group g = groups.computeIfAbsent(key(s), k -> new Group(CellCode.requestClass(s), CellCode.place(s)));
            g.totals[CellCode.band(s)] = sample;
            g.tables[CellCode.band(s)] = new Stratum(sample, tau(g.cls));
        });
        view.cells().forEach((cell, sample) -> {
            Group g = groups.get(key(cell));
            if (g != null) {
                g.tenants.computeIfAbsent(CellCode.tenant(cell), t -> new WaitHistogram[BANDS])[CellCode.band(cell)] =
                        sample;
            }
        });
        return groups;
    }

    private static long key(long cell) {
        return (long) CellCode.requestClass(cell) << 32 | CellCode.place(cell);
    }

    private double tau(int cls) {
        return site.deadlinesMs()[cls];
    }

    /**
     * What share of each tenant's jobs is beyond its allowance. A view of some of the fleet has the larger of
     * the plain part of it, and what the others' traffic in it is of their allowances.
     */
    private Map<Integer, Double> excess(FleetWindow view, double slackMs) {
        Map<Integer, Double> all = new HashMap<>();
        double seconds = view.seconds(reportingProcesses);
        int tenants = site.allowancesPerS().length;
        double rates = 0;
        for (int t = 0; t < tenants; t++) {
            rates += site.allowance(t) > 0 ? view.jobs(t) / seconds : 0;
        }
        for (int t = 0; t < tenants && seconds > 0; t++) {
            double rate = view.jobs(t) / seconds;
            double others = site.allowances() - site.allowance(t);
            double part = Math.max(
                    (double) reportingProcesses / site.processes(),
                    others > 0 ? Math.min(1, (rates - rate) / others) : 0);
            double due = site.allowance(t) * part;
            double beyond = due > 0 ? view.maxOveruse(t, due, slackMs) : 0;
            if (beyond > 0) {
                all.put(t, beyond / view.jobs(t));
            }
        }
        return all;
    }

    /** How much wider than by chance the comparisons spread. */
    private static double varianceInflation(List<Test> all) {
        if (all.size() < FOR_SPREAD) {
            return 1;
        }
        double[] z = all.stream()
                .mapToDouble(t -> t.sum.zScore() * t.sum.zScore())
                .sorted()
                .toArray();
        return Math.max(1, z[z.length / 2] / MEDIAN);
    }

    /** Which of them cannot be chance, all taken together. */
    private void holm(List<Test> all) {
        all.forEach(t -> t.chance = t.sum.pValue(varianceInflation));
        Test[] order = all.toArray(new Test[0]);
        Arrays.sort(order, (a, b) -> Double.compare(a.chance, b.chance));
        for (int i = 0; i < order.length && order[i].chance <= limit / (order.length - i); i++) {
            order[i].clear = true;
        }
    }

    // ------------------------------------------------------------ what it is

    private void tenant(Test t, Map<Subject, Test> tests, Map<Long, List<Group>> places, Map<Subject, Seen> seen) {
        boolean half = t.chance < WEAK && t.sum.effect() >= minEffect / 2;
        if (!half) {
            return;
        }
        boolean clear = t.clear && t.sum.effect() >= minEffect;
        double beyond = excess.getOrDefault(t.of.tenant, 0.0);
        // What is beyond its share may wait: what is left, its best jobs, must be worse off, too.
        boolean within = beyond == 0
                || t.trimmed.pValue(varianceInflation) <= limit / tests.size() && t.trimmed.effect() >= minEffect;
        double elsewhere = Double.NaN;
        if (t.of.place >= 0) {
            Sum own = elsewhere(t.of, places.get((long) t.of.tenant << 32 | t.of.cls));
            elsewhere = own.total == 0 ? Double.NaN : own.othersMs();
            Test everywhere = tests.get(new Subject(t.of.tenant, t.of.cls, Verdict.ALL));
            boolean same = own.others >= FEW && own.effect() < minEffect / 2;
            if (same && (everywhere == null || everywhere.sum.effect() < minEffect / 2)) {
                return; // as long as its own elsewhere
            }
        }
        boolean guess = singleDispatcher && site.processes() > 1;
        if (guess && fleet != null && fleet.enough) {
            within = beyond < GREEDY / 2;
        } else if (guess && beyond > 0 && (within || beyond < 2 * GREEDY)) {
            return; // one or the other: better no word
        }
        if (!within && sure.getOrDefault(t.of.tenant, 0.0) == 0) {
            return; // too much, or a few that ended together
        }
        Kind kind = within ? Kind.STARVED : Kind.BEYOND_SHARE;
        seen.put(t.of, new Seen(clear ? kind : null, kind, figures(t.sum, elsewhere, t.chance, beyond)));
    }

    /**
     * One word for what is one thing: a zone, a kind or all of a tenant's places stand where the tenant is
     * worse off there beyond the single places that stand out, or where every one does; and then the places
     * in it do not.
     */
    private void widest(Map<Subject, Test> tests, Map<Subject, Seen> seen) {
        Map<Long, List<Subject>> narrow = new HashMap<>();
        List<Subject> wide = new ArrayList<>();
        seen.forEach((s, what) -> {
            if (s.place < 0) {
                wide.add(s);
            } else if (what.clear != null) {
                narrow.computeIfAbsent((long) s.tenant << 32 | s.cls, k -> new ArrayList<>())
                        .add(s);
            }
        });
        wide.sort((a, b) -> Integer.compare(b.place, a.place)); // all first
        for (Subject w : wide) {
            if (w.place != Verdict.ALL
                    && seen.containsKey(new Subject(w.tenant, w.cls, Verdict.ALL))
                    && seen.get(new Subject(w.tenant, w.cls, Verdict.ALL)).clear != null) {
                seen.remove(w);
                continue;
            }
            List<Subject> in = narrow.getOrDefault((long) w.tenant << 32 | w.cls, List.of()).stream()
                    .filter(s -> site.contains(w.place, s.place))
                    .toList();
            Sum rest = new Sum();
            rest.add(tests.get(w).sum, 1);
            in.forEach(s -> rest.add(tests.get(s).sum, -1));
            if (rest.total >= FEW ? rest.effect() >= minEffect / 2 : in.size() != 1) {
                if (seen.get(w).clear != null) {
                    in.forEach(seen::remove);
                }
            } else {
                seen.remove(w);
            }
        }
    }

    private static Statistics figures(Sum s, double elsewhere, double chance, double beyond) {
        return new Statistics(
                s.total,
                s.censored,
                s.others,
                s.othersCensored,
                s.ownMs(),
                s.othersMs(),
                s.excessWaitMs(),
                s.effect(),
                elsewhere,
                chance,
                beyond);
    }

    /** The tenant's waits here against its own in other places. */
    private Sum elsewhere(Subject of, List<Group> groups) {
        Sum sum = new Sum();
        for (int b = 0; b < BANDS; b++) {
            WaitHistogram all = new WaitHistogram();
            WaitHistogram here = null;
            for (Group g : groups) {
                WaitHistogram s = g.tenants.get(of.tenant)[b];
                if (s != null) {
                    all.add(s, 1);
                    here = g.place == of.place ? s : here;
                }
            }
            if (here != null) {
                LogRankComparison.add(sum, new Stratum(all, tau(of.cls)), here, 1);
            }
        }
        return sum;
    }

    /** Places that are slow for all, whoever is starved there left out. */
    private void crowds(Map<Long, Group> groups, Map<Subject, Seen> seen) {
        Map<Integer, List<Group>> classes = new TreeMap<>();
        groups.values()
                .forEach(g ->
                        classes.computeIfAbsent(g.cls, c -> new ArrayList<>()).add(g));
        classes.forEach((cls, all) -> {
            Stratum[] total = new Stratum[BANDS];
            for (int b = 0; b < BANDS; b++) {
                WaitHistogram of = new WaitHistogram();
                for (Group g : all) {
                    if (g.totals[b] != null) {
                        of.add(g.totals[b], 1);
                    }
                }
                total[b] = of.total() == 0 ? null : new Stratum(of, tau(cls));
            }
            for (Group g : all) {
                crowd(g, total, seen);
            }
        });
    }

    private void crowd(Group g, Stratum[] total, Map<Subject, Seen> seen) {
        Sum sum = new Sum();
        double area = 0;
        int jobs = 0;
        for (int b = 0; b < BANDS; b++) {
            if (g.totals[b] == null) {
                continue;
            }
            WaitHistogram rest = new WaitHistogram();
            rest.add(g.totals[b], 1);
            for (Map.Entry<Integer, WaitHistogram[]> t : g.tenants.entrySet()) {
                Seen s = seen.get(new Subject(t.getKey(), g.cls, g.place));
                if (t.getValue()[b] != null && s != null && s.half == Kind.STARVED) {
                    rest.add(t.getValue()[b], -1);
                }
            }
            LogRankComparison.add(sum, total[b], rest, 1);
            area += rest.total() * new Stratum(rest, tau(g.cls)).meanMs;
            jobs += rest.total();
        }
        int seenJobs = jobs;
        if (seenJobs < FEW_OTHERS) {
            return;
        }
        double full = area / jobs / tau(g.cls);
        boolean clear = sum.effect() >= minEffect && sum.pValue(varianceInflation) <= limit || full >= FULL;
        boolean half =
                sum.effect() >= minEffect / 2 && sum.pValue(varianceInflation) <= WEAK || full >= FULL / 2 && clear;
        Subject of = new Subject(Verdict.ALL, g.cls, g.place);
        known.add(of);
        if (!half) {
            return;
        }
        Statistics f = new Statistics(
                jobs,
                sum.censored,
                sum.others,
                sum.othersCensored,
                area / jobs,
                sum.othersMs(),
                sum.excessWaitMs(),
                Math.max(sum.effect(), full),
                Double.NaN,
                sum.pValue(varianceInflation),
                0);
        seen.put(of, new Seen(clear ? Kind.CROWDED : null, Kind.CROWDED, f));
        g.tenants.forEach((tenant, bands) -> { // whoever asks too much has its own word
            Subject s = new Subject(tenant, g.cls, g.place);
            double beyond = sure.getOrDefault(tenant, 0.0);
            if (beyond >= GREEDY && known.contains(s) && !seen.containsKey(s)) {
                int n = Arrays.stream(bands)
                        .mapToInt(x -> x == null ? 0 : x.total())
                        .sum();
                seen.put(
                        s,
                        new Seen(
                                clear ? Kind.BEYOND_SHARE : null,
                                Kind.BEYOND_SHARE,
                                new Statistics(
                                        n,
                                        0,
                                        seenJobs - n,
                                        0,
                                        f.ownMs(),
                                        f.othersMs(),
                                        f.moreMs(),
                                        f.effect(),
                                        Double.NaN,
                                        1,
                                        beyond)));
            }
        });
    }

    /** Tenants whose jobs take longer than the others' because they are longer. */
    private void lengths(Map<Long, Group> groups, Map<Subject, Seen> seen) {
        Map<Integer, Map<Integer, double[]>> classes = new TreeMap<>();
        for (Group g : groups.values()) {
            g.tenants.forEach((tenant, bands) -> {
                double[] of = classes.computeIfAbsent(g.cls, c -> new HashMap<>())
                        .computeIfAbsent(tenant, t -> new double[3]);
                for (int b = 1; b < BANDS; b++) {
                    int n = bands[b] == null ? 0 : bands[b].total();
                    of[0] += n;
                    of[1] += n * CellCode.bandMiddleMs(b);
                    of[2] += n * CellCode.bandMiddleMs(b) * CellCode.bandMiddleMs(b);
                }
            });
        }
        classes.forEach((cls, tenants) -> {
            double[] all = new double[3];
            tenants.values().forEach(of -> Arrays.setAll(all, i -> all[i] + of[i]));
            tenants.forEach((tenant, of) -> length(new Subject(tenant, cls, Verdict.ALL), of, all, seen));
        });
    }

    private void length(Subject s, double[] of, double[] all, Map<Subject, Seen> seen) {
        double others = all[0] - of[0];
        if (of[0] < LONG_FEW || others < FEW_OTHERS || seen.containsKey(s)) {
            return;
        }
        double own = of[1] / of[0];
        double mean = (all[1] - of[1]) / others;
        double variance = Math.max(0, (all[2] - of[2]) / others - mean * mean);
        double more = own - mean;
        if (more >= minEffect / 2 * tau(s.cls) && more / Math.sqrt(variance / of[0]) >= LONG_Z) {
            Kind kind = Kind.LONG_JOBS;
            seen.put(
                    s,
                    new Seen(
                            more >= minEffect * tau(s.cls) ? kind : null,
                            kind,
                            new Statistics(
                                    (int) of[0],
                                    0,
                                    (int) others,
                                    0,
                                    own,
                                    mean,
                                    more,
                                    more / tau(s.cls),
                                    Double.NaN,
                                    1,
                                    excess.getOrDefault(s.tenant, 0.0))));
        }
    }

    // ------------------------------------------------------------ what stands

    private List<Verdict> settle(long nowMs, Map<Subject, Seen> seen) {
        List<Verdict> changes = new ArrayList<>();
        Set<Subject> subjects = new HashSet<>(activeVerdicts.keySet());
        subjects.addAll(seen.keySet());
        for (Subject of : subjects) {
            Standing s = activeVerdicts.computeIfAbsent(of, k -> new Standing());
            Seen now = seen.get(of);
            Kind clear = now == null ? null : now.clear;
            boolean holds = now != null && (now.half == s.kind || now.clear == s.kind);
            if (holds) {
                s.figures = now.figures;
            }
            s.gone = holds ? 0 : s.gone + 1;
            if (clear != null && clear != s.kind) {
                s.comingMs = clear == s.coming ? s.comingMs : nowMs;
                s.rounds = clear == s.coming ? s.rounds + 1 : 1;
                s.coming = clear;
            } else {
                s.rounds = 0;
                s.coming = Kind.FINE;
            }
            Kind next = s.kind;
            if (s.rounds >= ENTER) {
                next = s.coming;
                s.figures = now.figures;
            } else if (s.kind != Kind.FINE && s.gone >= LEAVE) {
                next = known.contains(of) || s.kind == Kind.NOT_KNOWN ? Kind.FINE : Kind.NOT_KNOWN;
            }
            if (next != s.kind) {
                s.sinceMs = next == s.coming ? s.comingMs : nowMs;
                s.kind = next;
                s.gone = 0;
                changes.add(verdict(of, s));
            }
        }
        activeVerdicts.values().removeIf(s -> s.kind == Kind.FINE && s.rounds == 0);
        return changes;
    }

    private Verdict verdict(Subject of, Standing s) {
        return new Verdict(
                s.kind, of.tenant, of.cls, of.place, s.sinceMs, s.figures, reportingProcesses, site.processes());
    }

    /** All that stand. */
    public List<Verdict> activeVerdicts() {
        List<Verdict> all = new ArrayList<>();
        activeVerdicts.forEach((of, s) -> {
            if (s.kind != Kind.FINE) {
                all.add(verdict(of, s));
            }
        });
        return all;
    }

    /** What stands of a tenant's class in a place: its own word, else that of all its places, else of all. */
    public Kind verdictOf(int tenant, int cls, int place) {
        if (!known.contains(new Subject(Verdict.ALL, Verdict.ALL, Verdict.ALL))) {
            return Kind.NOT_KNOWN;
        }
        for (Subject s : List.of(
                new Subject(tenant, cls, place),
                new Subject(tenant, cls, site.allOfZone(place)),
                new Subject(tenant, cls, site.allOfKind(place)),
                new Subject(tenant, cls, Verdict.ALL),
                new Subject(Verdict.ALL, cls, place))) {
            Standing at = activeVerdicts.get(s);
            if (at != null && at.kind != Kind.FINE) {
                return at.kind;
            }
        }
        return known.contains(new Subject(tenant, cls, place)) ? Kind.FINE : Kind.NOT_KNOWN;
    }

    /** Whether enough was heard in the last round for its verdicts to be believed. */
    public boolean enoughReported() {
        return enough;
    }

    /** How much wider than by chance the last round's comparisons spread. */
    public double varianceInflation() {
        return varianceInflation;
    }

    /** How many comparisons the last round made. */
    public int comparisonCount() {
        return tests.size();
    }
}

package maplespread.starvation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/**
 * Turns a window of waits into verdicts, one round for each window that is closed. A tenant is compared with the
 * others in each place and class, request by request of like work, and over all its places together; places are
 * compared with other places. All comparisons of a round are corrected together by
 * {@link MultipleTestCorrection}, and {@link VerdictHysteresis} decides when a verdict begins and ends. Not
 * thread-safe.
 */
public final class StarvationDetector {
    /** Share of a tenant's requests beyond its allowance from which it counts as overloading a crowded place. */
    static final double OVERUSE_SHARE = 0.2;

    /** Significance level of a round of all detectors that judge the same fleet. */
    private static final double SIGNIFICANCE_LEVEL = 1e-4;

    /** Share of the dispatchers that must have reported for the fleet to be judged. */
    private static final double MIN_REPORTING_SHARE = 0.5;

    /** The share of its requests beyond its allowance, times this, is left out: what is due is a guess. */
    private static final double OVERUSE_REMOVAL_FACTOR = 1.5;

    /** Requests that come at once within this time are no overuse. */
    private static final double OVERUSE_SLACK_MS = 1000;

    private final FleetLayout layout;
    private final double minEffect;
    private final boolean singleDispatcher;
    private final StarvationDetector fleet; // knows who asks too much; null: nobody does
    private final double level;
    private final OveruseEstimator overuseEstimator;
    private final VerdictHysteresis hysteresis;
    private Set<Subject> known = new HashSet<>();
    private Map<Integer, Double> overuse = Map.of();
    private Map<Integer, Double> certainOveruse = Map.of();
    private boolean enoughReported;
    private double varianceInflation = 1;
    private int comparisonCount;

    /** {@code minEffect}: share of the deadline that a wait must be longer by to be worth a verdict. */
    public StarvationDetector(FleetLayout layout, double minEffect) {
        this(layout, minEffect, false, null);
    }

    private StarvationDetector(
            FleetLayout layout, double minEffect, boolean singleDispatcher, StarvationDetector fleet) {
        this.layout = layout;
        this.minEffect = minEffect;
        this.singleDispatcher = singleDispatcher;
        this.fleet = fleet;
        // Each dispatcher that judges itself makes a family of comparisons of its own: together they are one.
        level = singleDispatcher ? SIGNIFICANCE_LEVEL / layout.processes() : SIGNIFICANCE_LEVEL;
        overuseEstimator = new OveruseEstimator(layout);
        hysteresis = new VerdictHysteresis(layout.processes());
    }

    /**
     * For a window of one dispatcher. {@code fleet}: has judged the same round over all dispatchers, and so
     * knows who asks more than its share; null: nobody does, and what is due to a tenant here is a guess.
     */
    public static StarvationDetector singleDispatcher(FleetLayout layout, double minEffect, StarvationDetector fleet) {
        return new StarvationDetector(layout, minEffect, true, fleet);
    }

    /** Judges the window as it is now; returns the verdicts that have begun, changed or ended. */
    public List<Verdict> evaluate(long nowMs, FleetWindow window) {
        int reporting = window.reportingProcesses(nowMs);
        known = new HashSet<>();
        int expected = singleDispatcher ? 1 : layout.processes();
        enoughReported = reporting >= Math.min(layout.processes(), Math.max(1, MIN_REPORTING_SHARE * expected));
        Map<Subject, Finding> findings;
        if (enoughReported) {
            known.add(Subject.EVERYTHING);
            findings = compare(window, reporting);
        } else {
            findings = new HashMap<>();
            findings.put(Subject.EVERYTHING, Finding.of(Kind.NOT_KNOWN, true, Statistics.NONE));
        }
        return hysteresis.update(nowMs, reporting, findings, known);
    }

    private Map<Subject, Finding> compare(FleetWindow window, int reporting) {
        DetectionRound round = new DetectionRound(
                layout, minEffect, level, PlaceGroup.of(window, layout).values(), known);
        StarvedTenants.OveruseCertainty certainty = estimateOveruse(window, reporting);
        round.overuse = overuse;
        round.certainOveruse = certainOveruse;
        round.comparisons = comparisons(round, window.separatesPlaces());
        round.varianceInflation = MultipleTestCorrection.varianceInflation(round.comparisons);
        MultipleTestCorrection.markSignificant(round.comparisons, level, round.varianceInflation);
        varianceInflation = round.varianceInflation;
        comparisonCount = round.comparisons.size();
        new StarvedTenants(round, certainty).find();
        new CrowdedPlaces(round).find();
        new LongRequests(round).find();
        return round.findings;
    }

    private StarvedTenants.OveruseCertainty estimateOveruse(FleetWindow window, int reporting) {
        boolean partOfFleet = singleDispatcher && layout.processes() > 1;
        if (fleet != null && fleet.enoughReported) {
            certainOveruse = fleet.certainOveruse;
            overuse = fleet.overuse;
            return partOfFleet
                    ? StarvedTenants.OveruseCertainty.KNOWN_BY_FLEET
                    : StarvedTenants.OveruseCertainty.MEASURED;
        }
        double longestDeadlineMs = Arrays.stream(layout.deadlinesMs()).max().orElse(OVERUSE_SLACK_MS);
        certainOveruse = overuseEstimator.shares(window, reporting, longestDeadlineMs);
        if (partOfFleet) {
            overuse = certainOveruse;
            return StarvedTenants.OveruseCertainty.GUESSED;
        }
        overuse = overuseEstimator.shares(window, reporting, OVERUSE_SLACK_MS);
        return StarvedTenants.OveruseCertainty.MEASURED;
    }

    /** The comparisons that are large enough: of tenants in single places, then in zones, kinds and everywhere. */
    private List<TenantComparison> comparisons(DetectionRound round, boolean separatePlaces) {
        Map<Subject, TenantComparison> pooled = new HashMap<>();
        List<TenantComparison> all = new ArrayList<>();
        for (PlaceGroup group : round.groups) {
            group.tenants.forEach((tenant, bands) -> {
                TenantComparison here = compareInPlace(round, group, tenant, bands);
                for (int place : widerPlaces(group.place, separatePlaces)) {
                    pooled.computeIfAbsent(new Subject(tenant, group.requestClass, place), TenantComparison::new)
                            .add(here);
                }
                if (separatePlaces && here.isLargeEnough()) {
                    all.add(here);
                }
            });
        }
        pooled.values().stream().filter(TenantComparison::isLargeEnough).forEach(all::add);
        return all;
    }

    private static TenantComparison compareInPlace(
            DetectionRound round, PlaceGroup group, int tenant, WaitHistogram[] bands) {
        TenantComparison comparison = new TenantComparison(group.subject(tenant));
        double retainedShare = 1 - Math.min(1, OVERUSE_REMOVAL_FACTOR * round.overuse(tenant));
        for (int band = 0; band < PlaceGroup.BANDS; band++) {
            if (bands[band] != null) {
                LogRankComparison.add(comparison.all, group.strata[band], bands[band], 1);
                if (retainedShare < 1) {
                    LogRankComparison.add(comparison.withinShare, group.strata[band], bands[band], retainedShare);
                }
            }
        }
        return comparison;
    }

    /** All places, the place's zone and its kind; where places are not told apart, all places alone. */
    private int[] widerPlaces(int place, boolean separatePlaces) {
        return separatePlaces
                ? new int[] {Verdict.ALL, layout.allOfZone(place), layout.allOfKind(place)}
                : new int[] {Verdict.ALL};
    }

    /** All verdicts that stand. */
    public List<Verdict> activeVerdicts() {
        return hysteresis.active();
    }

    /** What stands of a tenant's class in a place: its own verdict, else that of its zone, kind or all places. */
    public Kind verdictOf(int tenant, int requestClass, int place) {
        if (!known.contains(Subject.EVERYTHING)) {
            return Kind.NOT_KNOWN;
        }
        Subject subject = new Subject(tenant, requestClass, place);
        List<Subject> candidates = List.of(
                subject,
                new Subject(tenant, requestClass, layout.allOfZone(place)),
                new Subject(tenant, requestClass, layout.allOfKind(place)),
                subject.everywhere(),
                new Subject(Verdict.ALL, requestClass, place));
        for (Subject candidate : candidates) {
            Kind kind = hysteresis.kindOf(candidate);
            if (kind != Kind.FINE) {
                return kind;
            }
        }
        return known.contains(subject) ? Kind.FINE : Kind.NOT_KNOWN;
    }

    /** Whether enough dispatchers reported in the last round for its verdicts to be believed. */
    public boolean enoughReported() {
        return enoughReported;
    }

    /** By which factor the last round's comparisons spread more than by chance. */
    public double varianceInflation() {
        return varianceInflation;
    }

    /** How many comparisons the last round made. */
    public int comparisonCount() {
        return comparisonCount;
    }
}

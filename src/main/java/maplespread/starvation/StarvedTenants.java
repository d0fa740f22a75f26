package maplespread.starvation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplespread.starvation.LogRankComparison.Stratum;
import maplespread.starvation.LogRankComparison.Sum;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/**
 * Finds tenants whose requests wait longer than the others' beside them, in a place, a zone, a machine kind or
 * everywhere, and tells whether they are starved or ask more than their share.
 */
final class StarvedTenants {
    /** Significance by which a verdict that stands is kept. */
    private static final double PARTIAL_LEVEL = 0.01;

    private final DetectionRound round;
    private final OveruseCertainty certainty;
    private final Map<Subject, TenantComparison> comparisons = new HashMap<>();
    private final Map<Long, List<PlaceGroup>> groupsOf = new HashMap<>(); // by tenant and class

    /** How well it is known what is due to a tenant. */
    enum OveruseCertainty {
        /** The window is of the whole fleet, or of the only dispatcher. */
        MEASURED,
        /** A dispatcher by itself, beside a detector for the fleet that knows. */
        KNOWN_BY_FLEET,
        /** A dispatcher by itself that does not know the others' traffic. */
        GUESSED
    }

    StarvedTenants(DetectionRound round, OveruseCertainty certainty) {
        this.round = round;
        this.certainty = certainty;
    }

    /** Adds the findings of all comparisons of the round. */
    void find() {
        round.comparisons.forEach(comparison -> {
            round.known.add(comparison.subject);
            comparisons.put(comparison.subject, comparison);
        });
        for (PlaceGroup group : round.groups) {
            for (int tenant : group.tenants.keySet()) {
                groupsOf.computeIfAbsent(key(tenant, group.requestClass), k -> new ArrayList<>())
                        .add(group);
            }
        }
        round.comparisons.forEach(this::judge);
        keepWidest();
    }

    private static long key(int tenant, int requestClass) {
        return (long) tenant << Integer.SIZE | requestClass;
    }

    private static long key(Subject subject) {
        return key(subject.tenant(), subject.requestClass());
    }

    private void judge(TenantComparison comparison) {
        Subject subject = comparison.subject;
        boolean partial = comparison.pValue < PARTIAL_LEVEL && round.hasPartialEffect(comparison.all);
        if (!partial) {
            return;
        }
        double elsewhereMs = Double.NaN;
        if (subject.isSinglePlace()) {
            Sum elsewhere = compareWithElsewhere(subject);
            elsewhereMs = elsewhere.total == 0 ? Double.NaN : elsewhere.othersMs();
            if (waitsAsLongElsewhere(subject, elsewhere)) {
                return;
            }
        }
        Kind kind = kindOf(comparison);
        if (kind != null) {
            boolean clear = comparison.significant && round.hasEffect(comparison.all);
            Statistics statistics = statistics(comparison, elsewhereMs);
            round.findings.put(subject, Finding.of(kind, clear, statistics));
        }
    }

    /** Whether the tenant waits about as long in its other places, and not longer than others over all of them. */
    private boolean waitsAsLongElsewhere(Subject subject, Sum elsewhere) {
        if (elsewhere.others < TenantComparison.MIN_REQUESTS || round.hasPartialEffect(elsewhere)) {
            return false;
        }
        TenantComparison everywhere = comparisons.get(subject.everywhere());
        return everywhere == null || !round.hasPartialEffect(everywhere.all);
    }

    /** Starved or beyond its share; null where that cannot be told, and nothing is said. */
    private Kind kindOf(TenantComparison comparison) {
        double overuse = round.overuse(comparison.subject.tenant());
        // What is beyond its share may wait: what is left, its best requests, must be worse off, too.
        boolean withinShare = overuse == 0
                || comparison.withinShare.pValue(round.varianceInflation) <= round.level / comparisons.size()
                        && round.hasEffect(comparison.withinShare);
        if (certainty == OveruseCertainty.KNOWN_BY_FLEET) {
            withinShare = overuse < StarvationDetector.OVERUSE_SHARE / 2;
        } else if (certainty == OveruseCertainty.GUESSED
                && overuse > 0
                && (withinShare || overuse < 2 * StarvationDetector.OVERUSE_SHARE)) {
            return null; // either is possible
        }
        if (withinShare) {
            return Kind.STARVED;
        }
        // Without a certain overuse it may be a few requests that ended together.
        return round.certainOveruse(comparison.subject.tenant()) == 0 ? null : Kind.BEYOND_SHARE;
    }

    private Statistics statistics(TenantComparison comparison, double elsewhereMs) {
        Sum sum = comparison.all;
        return new Statistics(
                sum.total,
                sum.censored,
                sum.others,
                sum.othersCensored,
                sum.ownMs(),
                sum.othersMs(),
                sum.excessWaitMs(),
                sum.effect(),
                elsewhereMs,
                comparison.pValue,
                round.overuse(comparison.subject.tenant()));
    }

    /** The tenant's waits in the place against its own in all of its places. */
    private Sum compareWithElsewhere(Subject subject) {
        Sum sum = new Sum();
        for (int band = 0; band < PlaceGroup.BANDS; band++) {
            WaitHistogram everywhere = new WaitHistogram();
            WaitHistogram here = null;
            for (PlaceGroup group : groupsOf.get(key(subject))) {
                WaitHistogram histogram = group.tenants.get(subject.tenant())[band];
                if (histogram != null) {
                    everywhere.add(histogram, 1);
                    here = group.place == subject.place() ? histogram : here;
                }
            }
            if (here != null) {
                Stratum stratum = new Stratum(everywhere, round.layout.deadlineMs(subject.requestClass()));
                LogRankComparison.add(sum, stratum, here, 1);
            }
        }
        return sum;
    }

    /**
     * Leaves one finding for one cause: a zone, a kind or all of a tenant's places stand where the tenant is
     * worse off there beyond the single places that stand out, or where every one does; then the places in it
     * do not stand beside it.
     */
    private void keepWidest() {
        Map<Long, List<Subject>> clearPlaces = new HashMap<>(); // by tenant and class
        List<Subject> wide = new ArrayList<>();
        round.findings.forEach((subject, finding) -> {
            if (!subject.isSinglePlace()) {
                wide.add(subject);
            } else if (finding.isClear()) {
                clearPlaces
                        .computeIfAbsent(key(subject), k -> new ArrayList<>())
                        .add(subject);
            }
        });
        wide.sort((a, b) -> Integer.compare(b.place(), a.place())); // all places first
        for (Subject subject : wide) {
            keepOrRemove(subject, clearPlaces.getOrDefault(key(subject), List.of()));
        }
    }

    private void keepOrRemove(Subject wide, List<Subject> clearPlaces) {
        Finding everywhere = round.findings.get(wide.everywhere());
        if (wide.place() != Verdict.ALL && everywhere != null && everywhere.isClear()) {
            round.findings.remove(wide);
            return;
        }
        List<Subject> inside = clearPlaces.stream()
                .filter(place -> round.layout.contains(wide.place(), place.place()))
                .toList();
        Sum rest = new Sum();
        rest.add(comparisons.get(wide).all, 1);
        inside.forEach(place -> rest.add(comparisons.get(place).all, -1));
        boolean stands =
                rest.total >= TenantComparison.MIN_REQUESTS ? round.hasPartialEffect(rest) : inside.size() != 1;
        if (!stands) {
            round.findings.remove(wide);
        } else if (round.findings.get(wide).isClear()) {
            inside.forEach(round.findings::remove);
        }
    }
}

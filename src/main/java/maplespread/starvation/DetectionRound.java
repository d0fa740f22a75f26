package maplespread.starvation;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What one round of a {@link StarvationDetector} has to go by, and what it has found so far. */
final class DetectionRound {
    final FleetLayout layout;
    /** Share of the deadline that a wait must be longer by to matter. */
    final double minEffect;
    /** Significance level of all comparisons of the round together. */
    final double level;
    /** The classes at their places, in order. */
    final Collection<PlaceGroup> groups;
    /** By tenant the share of its requests beyond its allowance; tenants without any are left out. */
    Map<Integer, Double> overuse = Map.of();
    /** The same, where it cannot be requests of one deadline that ended together. */
    Map<Integer, Double> certainOveruse = Map.of();
    /** See {@link MultipleTestCorrection#varianceInflation}. */
    double varianceInflation = 1;
    /** The comparisons that are large enough. */
    List<TenantComparison> comparisons = List.of();

    final Map<Subject, Finding> findings = new HashMap<>();
    /** Subjects of which the round could say something. */
    final Set<Subject> known;

    DetectionRound(
            FleetLayout layout, double minEffect, double level, Collection<PlaceGroup> groups, Set<Subject> known) {
        this.layout = layout;
        this.minEffect = minEffect;
        this.level = level;
        this.groups = groups;
        this.known = known;
    }

    double overuse(int tenant) {
        return overuse.getOrDefault(tenant, 0.0);
    }

    double certainOveruse(int tenant) {
        return certainOveruse.getOrDefault(tenant, 0.0);
    }

    /** Whether the sum's requests wait longer by at least half of what matters. */
    boolean hasPartialEffect(LogRankComparison.Sum sum) {
        return sum.effect() >= minEffect / 2;
    }

    /** Whether the sum's requests wait longer by what matters. */
    boolean hasEffect(LogRankComparison.Sum sum) {
        return sum.effect() >= minEffect;
    }
}

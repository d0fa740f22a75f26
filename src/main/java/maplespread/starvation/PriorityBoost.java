package maplespread.starvation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.starvation.Verdict.Kind;

/**
 * Decides by how much a starved tenant's requests weigh more, from the verdicts that stand; one round for each
 * window. A boost rises by a step a round while the tenant is starved. It falls some rounds after the tenant no
 * longer is, a fifth as fast, and each time that this was too early, it is held for twice as long.
 *
 * <p>A tenant that becomes starved while another's boost is up is taken for that boost's victim: it gets no
 * boost for it, the other's falls a step a round until the victim is well, and never again rises beyond half of
 * what it was when the victim appeared. A victim that is still starved when a whole view has seen no boost is
 * starved in its own right: the others may rise again as before, it is boosted as they are, and it is nobody's
 * victim until it was well and not boosted for long. So two tenants cannot take from each other in turns.
 *
 * <p>Whatever the verdicts are, no weight is below 1 or above {@link Limits#maxWeight}, and all boosts together
 * are at most {@link Limits#maxTotalBoost}. Not thread-safe.
 */
public final class PriorityBoost {
    /**
     * {@code maxWeight}: of one tenant; {@code step}: by which a weight rises in a round; {@code maxTotalBoost}:
     * all weights together above 1; {@code chaseGuard}: false only to show what tenants do that take from each
     * other in turns.
     */
    public record Limits(double maxWeight, double step, double maxTotalBoost, boolean chaseGuard) {}

    /** What has changed. {@code victim}: for whose sake the boost was lowered, or {@link Verdict#ALL}. */
    public record Change(What kind, int tenant, double weight, int victim) {
        /** How a boost has changed. Log lines show the constants' names. */
        public enum What {
            BEGUN,
            LOWERED,
            ENDED
        }
    }

    /** A weight above 1. The member names are those of the admin answer. */
    public record Weight(int tenant, double weight) {}

    /** A boost falls by one part in this many of a step a round. */
    private static final int FALL_DIVISOR = 5;

    /** Rounds without a verdict after which a boost falls. */
    private static final int MIN_HOLD_ROUNDS = 3;

    private static final int MAX_HOLD_ROUNDS = 600;
    /** Rounds after its beginning in which a boost cannot have harmed anybody. */
    private static final int HARMLESS_ROUNDS = 2;

    /** Views without a verdict after which a tenant is forgotten. */
    private static final int VIEWS_TO_FORGET = 10;

    private static final double EPSILON = 1e-9;
    private static final int LONG_AGO = Integer.MIN_VALUE / 2;

    /** What is remembered of a tenant. Times are rounds. */
    private static final class TenantBoost {
        /** Its weight above 1, and the most that it may be. */
        double extra;

        double ceiling;
        /** When the boost began, and when it, or what it was for, was over. */
        int begunAt;

        int endedAt = LONG_AGO;
        /** Since when the tenant is starved, and for how long it no longer is. */
        int starvedSince;

        int roundsWell;
        int holdRounds = MIN_HOLD_ROUNDS;
        boolean starved;
        /** Whether it is starved without any other's boost, too. */
        boolean ownRight;
        /** Whose ceilings were halved for it, and what they were. */
        final Map<Integer, Double> loweredCeilings = new TreeMap<>();
    }

    private final Limits limits;
    /** Rounds until nothing of before is seen any more. */
    private final int settleRounds;

    private final Map<Integer, TenantBoost> boosts = new TreeMap<>();
    private int round;

    /** {@code windows}: that the detector looks at together. */
    public PriorityBoost(Limits limits, int windows) {
        this.limits = limits;
        settleRounds = windows + MIN_HOLD_ROUNDS;
    }

    /**
     * One round. {@code standing}: all verdicts that stand in one view; {@code believed}: enough dispatchers
     * reported; if not, nobody is taken for starved.
     */
    public List<Change> update(List<Verdict> standing, boolean believed) {
        round++;
        Set<Integer> starved = new HashSet<>();
        Set<Integer> lowered = new HashSet<>();
        for (Verdict verdict : believed ? standing : List.<Verdict>of()) {
            if (verdict.tenant() != Verdict.ALL && verdict.kind() != Kind.NOT_KNOWN) {
                (verdict.kind() == Kind.STARVED ? starved : lowered).add(verdict.tenant());
            }
        }
        starved.removeAll(lowered); // its own doing, in part at least
        starved.forEach(tenant -> boosts.computeIfAbsent(tenant, k -> new TenantBoost()));
        boosts.forEach((tenant, boost) -> recordStarvation(boost, starved.contains(tenant)));
        List<Change> changes = new ArrayList<>();
        Set<Integer> waiting = limits.chaseGuard ? lowerForVictims(lowered, changes) : Set.of();
        adjust(believed, lowered, waiting, changes);
        boosts.values().removeIf(b -> b.extra == 0 && b.roundsWell > VIEWS_TO_FORGET * settleRounds);
        return changes;
    }

    private void recordStarvation(TenantBoost boost, boolean starved) {
        if (starved && !boost.starved) {
            if (boost.starvedSince == 0) { // not seen before
                boost.ceiling = limits.maxWeight - 1;
            } else if (limits.chaseGuard && boost.extra > 0 && boost.roundsWell > boost.holdRounds) {
                boost.holdRounds = Math.min(MAX_HOLD_ROUNDS, 2 * boost.holdRounds); // it fell too early
            }
            boost.starvedSince = round;
            boost.loweredCeilings.clear();
        }
        boost.starved = starved;
        boost.roundsWell = starved ? 0 : boost.roundsWell + 1;
    }

    // ------------------------------------------------------------ victims

    /** Lowers the boosts that may starve another tenant; returns the tenants that must not rise meanwhile. */
    private Set<Integer> lowerForVictims(Set<Integer> lowered, List<Change> changes) {
        Set<Integer> waiting = new HashSet<>();
        boosts.forEach((tenant, boost) -> {
            if (boost.starved && !boost.ownRight && isVictim(tenant, boost, lowered, waiting, changes)) {
                waiting.add(tenant);
            }
        });
        return waiting;
    }

    /** Whether the tenant may be starved by another's boost, which is lowered for it then. */
    private boolean isVictim(
            int tenant, TenantBoost boost, Set<Integer> lowered, Set<Integer> waiting, List<Change> changes) {
        boolean victim = false;
        for (Map.Entry<Integer, TenantBoost> entry : boosts.entrySet()) {
            int otherTenant = entry.getKey();
            TenantBoost other = entry.getValue();
            boolean begunBefore =
                    otherTenant != tenant && other.begunAt > 0 && other.begunAt + HARMLESS_ROUNDS < boost.starvedSince;
            if (begunBefore && other.extra > 0) {
                lowered.add(otherTenant);
                if (boost.loweredCeilings.putIfAbsent(otherTenant, other.ceiling) == null) {
                    other.ceiling = other.extra / 2 < limits.step ? 0 : other.extra / 2;
                    changes.add(new Change(Change.What.LOWERED, otherTenant, 1 + other.extra, tenant));
                }
                victim = true;
            } else if (begunBefore
                    && boost.loweredCeilings.containsKey(otherTenant)
                    && round - other.endedAt < settleRounds) {
                waiting.add(otherTenant); // it must not begin again so soon
                victim = true;
            }
        }
        if (!victim) {
            acquit(boost);
        }
        return victim;
    }

    /** No other boost is up, and the tenant is starved all the same: the others' ceilings are given back. */
    private void acquit(TenantBoost boost) {
        boost.ownRight = true;
        boost.loweredCeilings.forEach((tenant, ceiling) -> {
            TenantBoost other = boosts.get(tenant);
            if (other != null) {
                other.ceiling = Math.max(other.ceiling, ceiling);
            }
        });
    }

    // ------------------------------------------------------------ weights

    private void adjust(boolean believed, Set<Integer> lowered, Set<Integer> waiting, List<Change> changes) {
        double sum = boosts.values().stream().mapToDouble(b -> b.extra).sum();
        for (Map.Entry<Integer, TenantBoost> entry : boosts.entrySet()) {
            int tenant = entry.getKey();
            TenantBoost boost = entry.getValue();
            double before = boost.extra;
            if (lowered.contains(tenant)) {
                boost.extra = Math.max(0, boost.extra - limits.step);
            } else if (boost.extra > boost.ceiling + EPSILON) {
                boost.extra = Math.max(boost.ceiling, boost.extra - limits.step);
            } else if (boost.starved && !waiting.contains(tenant)) {
                double room = Math.min(boost.ceiling - boost.extra, limits.maxTotalBoost - sum);
                boost.extra += Math.max(0, Math.min(limits.step, room));
            } else if (!boost.starved && (!believed || boost.roundsWell > boost.holdRounds)) {
                boost.extra = Math.max(0, boost.extra - limits.step / FALL_DIVISOR);
            }
            boost.extra = boost.extra < EPSILON ? 0 : boost.extra;
            sum += boost.extra - before;
            if (before == 0 && boost.extra > 0) {
                boost.begunAt = round;
                changes.add(new Change(Change.What.BEGUN, tenant, 1 + boost.extra, Verdict.ALL));
            } else if (before > 0 && boost.extra == 0) {
                boost.endedAt = round;
                changes.add(new Change(Change.What.ENDED, tenant, 1, Verdict.ALL));
            }
        }
    }

    /** The weight of the tenant's requests: from 1 to the maximum. */
    public double weight(int tenant) {
        TenantBoost boost = boosts.get(tenant);
        return boost == null ? 1 : 1 + boost.extra;
    }

    /** All weights above 1. */
    public List<Weight> activeWeights() {
        return boosts.entrySet().stream()
                .filter(entry -> entry.getValue().extra > 0)
                .map(entry -> new Weight(entry.getKey(), 1 + entry.getValue().extra))
                .toList();
    }
}

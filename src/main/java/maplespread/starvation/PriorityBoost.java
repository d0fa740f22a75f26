package maplespread.starvation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.starvation.Verdict.Kind;

/**
 * What a starved tenant's jobs count for more, by the verdicts that stand. A round each window. The weight
 * rises a step a round while the tenant is starved; it falls some rounds after it no longer is, a fifth as
 * fast; each time that this was too early, it is held for twice as long.
 *
 * <p>Guards against two tenants that chase each other. Who becomes starved while another's relief is up is
 * taken for its victim: it gets none for it, the other's falls a step a round until the victim is well, and
 * never again rises beyond half of what it was when the victim appeared. So a relief that harms others is
 * halved with each victim until it is less than a step, which is none. Is the victim still starved when a
 * whole view has seen no relief, it is so in its own right: the others may rise again as before, and it is
 * relieved as they are. It is nobody's victim from then on, until it was well and not relieved for long.
 *
 * <p>Bounded whatever the verdicts are: no weight is below 1 or above {@link Limits#maxWeight}, and all that is
 * above 1 is together at most {@link Limits#maxTotalBoost}.
 */
public final class PriorityBoost {
    /**
     * {@code most}: a weight; {@code step}: it rises by a round; {@code total}: all weights together above 1;
     * {@code guarded}: false only to show what tenants do that chase each other.
     */
    public record Limits(double maxWeight, double step, double maxTotalBoost, boolean chaseGuard) {}

    /** What has changed: a relief began, was lowered for another tenant's sake, or is over. */
    public record Change(What kind, int tenant, double weight, int victim) {
        public enum What {
            BEGUN,
            LOWERED,
            ENDED
        }
    }

    /** A weight above 1. */
    public record Weight(int tenant, double weight) {}

    private static final int SLOWER = 5;
    private static final int HOLD = 3; // rounds without a word, then it falls
    private static final int MOST_HOLD = 600;
    private static final int GRACE = 2; // rounds in which it cannot have harmed
    private static final int FORGET = 10; // views without a word: all begins anew
    private static final double LEAST = 1e-9;

    /** What is remembered of a tenant. Times are rounds. */
    private static final class TenantBoost {
        double extra, ceiling;
        int begun, over = Integer.MIN_VALUE / 2; // of the relief; over: or what it was for
        int since, well; // starved since; not any more for so long
        int hold = HOLD;
        boolean starved, own; // own: without any other's relief, too
        final Map<Integer, Double> blamed = new TreeMap<>(); // whose was halved for it, from what
    }

    private final Limits limits;
    private final int settle; // until nothing of before is seen any more
    private final Map<Integer, TenantBoost> wards = new TreeMap<>();
    private int now;

    /** {@code windows}: that a view holds. */
    public PriorityBoost(Limits limits, int windows) {
        this.limits = limits;
        settle = windows + HOLD;
    }

    /**
     * One round. {@code standing}: all verdicts that stand in one view; {@code known}: enough was heard for
     * it to be believed; if not, nobody is starved.
     */
    public List<Change> update(List<Verdict> standing, boolean known) {
        now++;
        Set<Integer> starved = new HashSet<>();
        Set<Integer> lowered = new HashSet<>();
        for (Verdict v : known ? standing : List.<Verdict>of()) {
            if (v.tenant() != Verdict.ALL && v.kind() != Kind.NOT_KNOWN) {
                (v.kind() == Kind.STARVED ? starved : lowered).add(v.tenant());
            }
        }
        starved.removeAll(lowered); // its own doing, in part at least
        starved.forEach(t -> wards.computeIfAbsent(t, k -> new TenantBoost()));
        wards.forEach((t, w) -> seen(w, starved.contains(t)));
        List<Change> changes = new ArrayList<>();
        Set<Integer> waiting = new HashSet<>(); // victims, and whom they wait for
        if (limits.chaseGuard) {
            wards.forEach((t, w) -> {
                if (w.starved && !w.own && victim(t, w, lowered, waiting, changes)) {
                    waiting.add(t);
                }
            });
        }
        double sum = wards.values().stream().mapToDouble(w -> w.extra).sum();
        for (Map.Entry<Integer, TenantBoost> e : wards.entrySet()) {
            TenantBoost w = e.getValue();
            double before = w.extra;
            if (lowered.contains(e.getKey())) {
                w.extra = Math.max(0, w.extra - limits.step);
            } else if (w.extra > w.ceiling + LEAST) {
                w.extra = Math.max(w.ceiling, w.extra - limits.step);
            } else if (w.starved && !waiting.contains(e.getKey())) {
                double room = Math.min(w.ceiling - w.extra, limits.maxTotalBoost - sum);
                w.extra += Math.max(0, Math.min(limits.step, room));
            } else if (!w.starved && (!known || w.well > w.hold)) {
                w.extra = Math.max(0, w.extra - limits.step / SLOWER);
            }
            w.extra = w.extra < LEAST ? 0 : w.extra;
            sum += w.extra - before;
            if (before == 0 && w.extra > 0) {
                w.begun = now;
                changes.add(new Change(Change.What.BEGUN, e.getKey(), 1 + w.extra, Verdict.ALL));
            } else if (before > 0 && w.extra == 0) {
                w.over = now;
                changes.add(new Change(Change.What.ENDED, e.getKey(), 1, Verdict.ALL));
            }
        }
        wards.values().removeIf(w -> w.extra == 0 && w.well > FORGET * settle);
        return changes;
    }

    private void seen(TenantBoost w, boolean starved) {
        if (starved && !w.starved) {
            if (w.since == 0) { // new here
                w.ceiling = limits.maxWeight - 1;
            } else if (limits.chaseGuard && w.extra > 0 && w.well > w.hold) {
                w.hold = Math.min(MOST_HOLD, 2 * w.hold); // it fell too early
            }
            w.since = now;
            w.blamed.clear();
        }
        w.starved = starved;
        w.well = starved ? 0 : w.well + 1;
    }

    /** Whether it may be starved by another's relief, which is lowered for it then. */
    private boolean victim(
            int tenant, TenantBoost w, Set<Integer> lowered, Set<Integer> waiting, List<Change> changes) {
        boolean waits = false;
        for (Map.Entry<Integer, TenantBoost> e : wards.entrySet()) {
            TenantBoost o = e.getValue();
            boolean before = e.getKey() != tenant && o.begun > 0 && o.begun + GRACE < w.since;
            if (before && o.extra > 0) {
                lowered.add(e.getKey());
                if (w.blamed.putIfAbsent(e.getKey(), o.ceiling) == null) {
                    o.ceiling = o.extra / 2 < limits.step ? 0 : o.extra / 2;
                    changes.add(new Change(Change.What.LOWERED, e.getKey(), 1 + o.extra, tenant));
                }
                waits = true;
            } else if (before && w.blamed.containsKey(e.getKey()) && now - o.over < settle) {
                waiting.add(e.getKey()); // it must not begin again so soon
                waits = true;
            }
        }
        if (!waits) { // none is up, and it is starved all the same
            w.own = true;
            w.blamed.forEach((t, ceiling) -> {
                TenantBoost o = wards.get(t);
                if (o != null) {
                    o.ceiling = Math.max(o.ceiling, ceiling);
                }
            });
        }
        return waits;
    }

    /** What the tenant's jobs count for: from 1 to the most. */
    public double weight(int tenant) {
        TenantBoost w = wards.get(tenant);
        return w == null ? 1 : 1 + w.extra;
    }

    /** All weights above 1. */
    public List<Weight> activeWeights() {
        return wards.entrySet().stream()
                .filter(e -> e.getValue().extra > 0)
                .map(e -> new Weight(e.getKey(), 1 + e.getValue().extra))
                .toList();
    }
}

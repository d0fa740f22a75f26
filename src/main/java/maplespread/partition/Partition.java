package maplespread.partition;

import java.util.Collections;
import java.util.Set;
import maplespread.policy.StableHash;

/**
 * A part of the workers: those of the zones, kinds and cells (empty: of any) whose ids' hashes lie in a part
 * of the unit ring. {@code apart}: it is its word that no other partition may have one of its workers.
 */
public record Partition(
        String name,
        Set<String> zones,
        Set<String> kinds,
        Set<Integer> cells,
        double ringFrom,
        double ringBelow,
        boolean exclusive,
        QueueLimits limits) {
    /** A worker as the list shows it. */
    public record Worker(String id, String zone, String kind, int cell) {}

    public boolean contains(Worker w) {
        double at = (StableHash.hash(w.id()) >>> 11) / (double) (1L << 53);
        return (zones.isEmpty() || zones.contains(w.zone()))
                && (kinds.isEmpty() || kinds.contains(w.kind()))
                && (cells.isEmpty() || cells.contains(w.cell()))
                && ringFrom <= at
                && at < ringBelow;
    }

    /** Whether there could be a worker in both, whichever workers there are now. */
    boolean mayOverlap(Partition o) {
        return meet(zones, o.zones)
                && meet(kinds, o.kinds)
                && meet(cells, o.cells)
                && Math.max(ringFrom, o.ringFrom) < Math.min(ringBelow, o.ringBelow);
    }

    private static boolean meet(Set<?> a, Set<?> b) {
        return a.isEmpty() || b.isEmpty() || !Collections.disjoint(a, b);
    }
}

package maplespread.partition;

import java.util.Collections;
import java.util.Set;
import maplespread.decision.Numbers;

/**
 * A part of the workers: those of the zones, kinds and cells (empty: of any) whose ids' hashes lie in a part
 * of the unit ring. {@code apart}: it is its word that no other partition may have one of its workers.
 */
public record Partition(
        String name,
        Set<String> zones,
        Set<String> kinds,
        Set<Integer> cells,
        double from,
        double below,
        boolean apart,
        Bounds bounds) {
    /** A worker as the list shows it. */
    public record Worker(String id, String zone, String kind, int cell) {}

    public boolean holds(Worker w) {
        double at = (Numbers.hash(w.id()) >>> 11) / (double) (1L << 53);
        return (zones.isEmpty() || zones.contains(w.zone()))
                && (kinds.isEmpty() || kinds.contains(w.kind()))
                && (cells.isEmpty() || cells.contains(w.cell()))
                && from <= at
                && at < below;
    }

    /** Whether there could be a worker in both, whichever workers there are now. */
    boolean mayMeet(Partition o) {
        return meet(zones, o.zones)
                && meet(kinds, o.kinds)
                && meet(cells, o.cells)
                && Math.max(from, o.from) < Math.min(below, o.below);
    }

    private static boolean meet(Set<?> a, Set<?> b) {
        return a.isEmpty() || b.isEmpty() || !Collections.disjoint(a, b);
    }
}

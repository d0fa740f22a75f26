package maplespread.partition;

import java.util.Collections;
import java.util.Set;
import maplespread.policy.StableHash;

/**
 * A part of the workers: those of the zones, kinds and cells whose ids' hashes lie in a part of the unit ring.
 *
 * @param zones names; empty: any
 * @param kinds names; empty: any
 * @param cells numbers; empty: any
 * @param ringFrom where the part of the ring begins, in 0..1
 * @param ringBelow where it ends, itself not included
 * @param exclusive no other partition but that of all workers may have one of its workers
 * @param limits on what waits for it, over all keys at one dispatcher
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
    /** A worker as the endpoint list shows it. */
    public record Worker(String id, String zone, String kind, int cell) {}

    /** Whether the worker is one of these. */
    public boolean contains(Worker worker) {
        double place = (StableHash.hash(worker.id()) >>> 11) / (double) (1L << 53);
        return (zones.isEmpty() || zones.contains(worker.zone()))
                && (kinds.isEmpty() || kinds.contains(worker.kind()))
                && (cells.isEmpty() || cells.contains(worker.cell()))
                && ringFrom <= place
                && place < ringBelow;
    }

    /** Whether there could be a worker in both, whichever workers there are now. */
    boolean mayOverlap(Partition other) {
        return mayOverlap(zones, other.zones)
                && mayOverlap(kinds, other.kinds)
                && mayOverlap(cells, other.cells)
                && Math.max(ringFrom, other.ringFrom) < Math.min(ringBelow, other.ringBelow);
    }

    private static boolean mayOverlap(Set<?> first, Set<?> second) {
        return first.isEmpty() || second.isEmpty() || !Collections.disjoint(first, second);
    }
}

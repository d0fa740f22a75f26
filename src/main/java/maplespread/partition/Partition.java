package maplespread.partition;

import java.util.Collections;
import java.util.Set;
import maplespread.policy.StableHash;

/**
 * A subset of the workers: those of the given zones, kinds and cells whose id's hash lies in a part of the unit ring.
 *
 * @param zones names of zones; empty: any
 * @param kinds names of kinds; empty: any
 * @param cells numbers of cells; empty: any
 * @param ringFrom the start of the part of the ring, in 0..1, inclusive
 * @param ringBelow its end, exclusive
 * @param exclusive whether no other partition, except that of all workers, may have one of its workers
 * @param limits limits on the requests that wait for this partition, over all keys at one dispatcher
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

    /** Whether the worker belongs to this partition. */
    public boolean contains(Worker worker) {
        double ringPosition = (StableHash.hash(worker.id()) >>> 11) / (double) (1L << 53);
        return (zones.isEmpty() || zones.contains(worker.zone()))
                && (kinds.isEmpty() || kinds.contains(worker.kind()))
                && (cells.isEmpty() || cells.contains(worker.cell()))
                && ringFrom <= ringPosition
                && ringPosition < ringBelow;
    }

    /** Whether any worker, listed now or later, could belong to both partitions. */
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

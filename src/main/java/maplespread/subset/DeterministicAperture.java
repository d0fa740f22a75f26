package maplespread.subset;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.policy.StableHash;

/**
 * A deterministic aperture on a ring. Workers stand in an order that every dispatcher draws alike from the
 * seed, worker {@code j} of {@code M} on the arc [j/M, (j+1)/M). Dispatcher {@code i} stands at the fraction
 * of {@code i} times the golden ratio and covers the arc of {@code k/M} from there; a worker's weight is the
 * part of its arc covered, in (0, 1]. Guards against: a herd on the workers that every dispatcher's first
 * choices share (the order is one for all, the starts differ); a dispatcher that joins moving others (the
 * positions of indices below it never change); a worker that joins moving more than the edges of arcs.
 */
public final class DeterministicAperture {
    private static final double LEAST = 1e-9; // a weight below this is no connection

    private DeterministicAperture() {}

    /**
     * The subset of dispatcher {@code index} (0 to {@code dispatchers - 1}): worker to weight. {@code width}:
     * workers a dispatcher covers, at least 1; all workers where it is {@code workers.size()} or more.
     */
    public static Map<String, Double> of(int index, int dispatchers, double width, List<String> workers, long seed) {
        if (dispatchers < 1 || index < 0 || index >= dispatchers) {
            throw new IllegalArgumentException("index " + index + " of " + dispatchers + " dispatchers");
        }
        if (!(width >= 1)) {
            throw new IllegalArgumentException("width must be 1 or more, not " + width);
        }
        return of(index, width, ordered(workers, seed));
    }

    /** The same of workers that stand in order already: one order does for a whole fleet. */
    static Map<String, Double> of(int index, double width, String[] order) {
        Map<String, Double> subset = new LinkedHashMap<>();
        arc(index, width, order.length, (place, covered) -> subset.merge(order[place], covered, Double::sum));
        return subset;
    }

    /** Takes a place on the ring and how much of its worker's arc is covered. */
    interface ArcVisitor {
        void visit(int place, double part);
    }

    /** The places, of {@code m}, that the arc of {@code width} workers of a dispatcher covers. */
    static void arc(int index, double width, int m, ArcVisitor to) {
        if (width >= m) {
            for (int j = 0; j < m; j++) {
                to.visit(j, 1);
            }
            return;
        }
        double from = position(index) * m; // in units of one worker's arc
        double end = from + width;
        for (long j = (long) Math.floor(from); j < Math.ceil(end); j++) {
            double covered = Math.min(end, j + 1) - Math.max(from, j);
            if (covered > LEAST) {
                to.visit((int) (j % m), covered);
            }
        }
    }

    /**
     * The fraction of {@code i} times the golden ratio: each new index falls into one of the largest gaps. So
     * do the indices of any part of the fleet, every fourth one say: where zones are dealt out by index, the
     * dispatchers of each zone still spread over the whole ring.
     */
    static double position(int i) {
        return (i * 0x9E3779B97F4A7C15L >>> 11) / (double) (1L << 53);
    }

    /** The workers in the order all dispatchers agree on; a worker's place depends on its id and the seed. */
    static String[] ordered(List<String> workers, long seed) {
        String[] all = workers.stream().distinct().toArray(String[]::new);
        Arrays.sort(
                all,
                Comparator.comparingLong((String w) -> StableHash.hash(seed + "/" + w))
                        .thenComparing(w -> w));
        return all;
    }
}

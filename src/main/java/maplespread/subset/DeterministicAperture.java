package maplespread.subset;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.policy.StableHash;

/**
 * A deterministic aperture on a ring of length 1. Every dispatcher computes the same order of the workers from the
 * seed; worker {@code j} of {@code M} occupies the arc [j/M, (j+1)/M). Dispatcher {@code i} starts at the fractional
 * part of {@code i} times the golden ratio and covers an arc of length {@code k/M} from there. A worker's weight is the
 * covered part of its arc, in (0, 1]. All dispatchers use one order with different starts, so their first choices
 * differ; a dispatcher that joins moves no other dispatcher's arc, and a worker that joins moves only the edges of
 * arcs.
 */
public final class DeterministicAperture {
    /** Least covered part of a worker's arc for which the worker belongs to the subset. */
    private static final double MIN_COVERED_PART = 1e-9;

    /** 2^64 divided by the golden ratio. */
    private static final long GOLDEN_RATIO_FRACTION = 0x9E3779B97F4A7C15L;

    private static final int DOUBLE_MANTISSA_BITS = 53;

    private DeterministicAperture() {}

    /**
     * Returns a dispatcher's subset: the weights by worker.
     *
     * @param index the dispatcher's index, 0 to {@code dispatchers - 1}
     * @param width number of workers that a dispatcher covers, 1 or more; all of them if it is {@code workers.size()}
     *     or more
     * @param seed of the workers' order, the same at all dispatchers
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

    /** Returns a dispatcher's subset of workers that are already in ring order. */
    static Map<String, Double> of(int index, double width, String[] order) {
        Map<String, Double> subset = new LinkedHashMap<>();
        visitArc(index, width, order.length, (place, part) -> subset.merge(order[place], part, Double::sum));
        return subset;
    }

    /** Visits the workers' places on the ring that a dispatcher's arc covers. */
    interface ArcVisitor {
        /**
         * Visits one place.
         *
         * @param part the covered part of the place's own arc, in (0, 1]
         */
        void visit(int place, double part);
    }

    /**
     * Visits the places that a dispatcher's arc covers.
     *
     * @param width length of the dispatcher's arc, in places
     * @param places number of places on the ring
     */
    static void visitArc(int index, double width, int places, ArcVisitor visitor) {
        if (width >= places) {
            for (int place = 0; place < places; place++) {
                visitor.visit(place, 1);
            }
            return;
        }
        double from = position(index) * places; // in units of one worker's arc
        double end = from + width;
        for (long place = (long) Math.floor(from); place < Math.ceil(end); place++) {
            double covered = Math.min(end, place + 1) - Math.max(from, place);
            if (covered > MIN_COVERED_PART) {
                visitor.visit((int) (place % places), covered);
            }
        }
    }

    /**
     * The fractional part of the index times the golden ratio, in [0, 1): each new index falls into one of the largest
     * gaps. The same holds for a regular part of the indexes, such as every fourth one: if zones are assigned by index,
     * the dispatchers of each zone still spread over the whole ring.
     */
    static double position(int index) {
        long fraction = index * GOLDEN_RATIO_FRACTION >>> Long.SIZE - DOUBLE_MANTISSA_BITS;
        return fraction / (double) (1L << DOUBLE_MANTISSA_BITS);
    }

    /** The distinct workers in ring order, by a hash of the seed and the worker's id: the same at all dispatchers. */
    static String[] ordered(List<String> workers, long seed) {
        String[] order = workers.stream().distinct().toArray(String[]::new);
        Arrays.sort(
                order,
                Comparator.comparingLong((String worker) -> ringHash(worker, seed))
                        .thenComparing(worker -> worker));
        return order;
    }

    /** The hash by which workers are ordered on the ring. */
    static long ringHash(String worker, long seed) {
        return StableHash.hash(seed + "/" + worker);
    }
}

package maplespread.subset;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.policy.StableHash;

/**
 * A deterministic aperture on a ring. Workers stand in an order that every dispatcher computes alike from the
 * seed, worker {@code j} of {@code M} on the arc [j/M, (j+1)/M). Dispatcher {@code i} stands at the fraction of
 * {@code i} times the golden ratio and covers the arc of {@code k/M} from there; a worker's weight is the part of
 * its arc that is covered, in (0, 1]. The order is one for all and the starts differ, so first choices do not
 * coincide; a dispatcher that joins moves no other; a worker that joins moves the edges of arcs alone.
 */
public final class DeterministicAperture {
    /** A part of an arc below this is no connection. */
    private static final double MIN_COVERED_PART = 1e-9;

    /** 2^64 divided by the golden ratio. */
    private static final long GOLDEN_RATIO_FRACTION = 0x9E3779B97F4A7C15L;

    private static final int DOUBLE_MANTISSA_BITS = 53;

    private DeterministicAperture() {}

    /**
     * The subset of dispatcher {@code index} (0 to {@code dispatchers - 1}): worker to weight. {@code width}:
     * workers that a dispatcher covers, at least 1; all of them where it is {@code workers.size()} or more.
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

    /** The same of workers that are in order already. */
    static Map<String, Double> of(int index, double width, String[] order) {
        Map<String, Double> subset = new LinkedHashMap<>();
        visitArc(index, width, order.length, (place, part) -> subset.merge(order[place], part, Double::sum));
        return subset;
    }

    /** Visits the places on the ring that an arc covers. */
    interface ArcVisitor {
        /** {@code part}: how much of the place's own arc is covered, in (0, 1]. */
        void visit(int place, double part);
    }

    /** Visits the places, of {@code places}, that the arc of {@code width} workers of a dispatcher covers. */
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
     * The fraction of the index times the golden ratio: each new index falls into one of the largest gaps. So do
     * the indices of any part of the fleet, every fourth one say: where zones are dealt out by index, the
     * dispatchers of each zone still spread over the whole ring.
     */
    static double position(int index) {
        long fraction = index * GOLDEN_RATIO_FRACTION >>> Long.SIZE - DOUBLE_MANTISSA_BITS;
        return fraction / (double) (1L << DOUBLE_MANTISSA_BITS);
    }

    /** The workers in the order that all dispatchers compute alike, by a hash of the seed and the worker's id. */
    static String[] ordered(List<String> workers, long seed) {
        String[] all = workers.stream().distinct().toArray(String[]::new);
        Arrays.sort(
                all,
                Comparator.comparingLong((String worker) -> ringHash(worker, seed))
                        .thenComparing(worker -> worker));
        return all;
    }

    /** The hash by which a worker has its place on the ring. */
    static long ringHash(String worker, long seed) {
        return StableHash.hash(seed + "/" + worker);
    }
}

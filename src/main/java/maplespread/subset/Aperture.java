package maplespread.subset;

import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.decision.Numbers;

/**
 * A deterministic aperture on a ring. Workers stand in an order that every dispatcher draws alike from
 * the seed, worker {@code j} of {@code M} on the arc [j/M, (j+1)/M). Dispatcher {@code i} stands at the
 * bit-reversed fraction of {@code i} (0, 1/2, 1/4, 3/4, ...) and covers the arc of {@code k/M} from there; a
 * worker's weight is the part of its arc covered, in (0, 1]. Guards against: a herd on the workers that
 * every dispatcher's first choices share (the order is one for all, the starts differ); a dispatcher that
 * joins moving others (the positions of indices below it never change); a worker that joins moving more
 * than the edges of arcs.
 */
public final class Aperture {
    private static final double LEAST = 1e-9;                    // a weight below this is no connection

    private Aperture() { }

    /**
     * The subset of dispatcher {@code index} (0 to {@code dispatchers - 1}): worker to weight. {@code width}:
     * workers a dispatcher covers, at least 1; all workers where it is {@code workers.size()} or more.
     */
    public static Map<String, Double> of(int index, int dispatchers, double width, List<String> workers,
                                         long seed) {
        if (dispatchers < 1 || index < 0 || index >= dispatchers) {
            throw new IllegalArgumentException("index " + index + " of " + dispatchers + " dispatchers");
        }
        if (!(width >= 1)) {
            throw new IllegalArgumentException("width must be 1 or more, not " + width);
        }
        String[] order = ordered(workers, seed);
        int m = order.length;
        Map<String, Double> subset = new LinkedHashMap<>();
        if (m == 0) {
            return subset;
        }
        if (width >= m) {
            for (String w : order) {
                subset.put(w, 1.0);
            }
            return subset;
        }
        double from = position(index) * m;                       // in units of one worker's arc
        double to = from + width;
        for (long j = (long) Math.floor(from); j < Math.ceil(to); j++) {
            double covered = Math.min(to, j + 1) - Math.max(from, j);
            if (covered > LEAST) {
                subset.merge(order[(int) (j % m)], covered, Double::sum);
            }
        }
        return subset;
    }

    /** The bit-reversed fraction of {@code i}: each new index halves the largest gap left. */
    static double position(int i) {
        return (Integer.reverse(i) >>> 1) / (double) (1L << 31);
    }

    /** The workers in the order all dispatchers agree on; a worker's place depends on its id and the seed. */
    static String[] ordered(List<String> workers, long seed) {
        String[] all = workers.stream().distinct().toArray(String[]::new);
        Arrays.sort(all, Comparator.comparingLong((String w) -> Numbers.hash(seed + "/" + w))
            .thenComparing(w -> w));
        return all;
    }
}

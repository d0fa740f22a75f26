package maplespread.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Seeded subsets: even coverage, few moves on a change, the same result at every dispatcher. */
class DeterministicApertureTest {
    private static List<String> workers(int count, String prefix) {
        return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
    }

    @Test
    void eachDispatcherCoversItsWidthAndAllAgree() {
        List<String> workers = workers(1000, "w-");
        for (int i = 0; i < 50; i++) {
            Map<String, Double> subset = DeterministicAperture.of(i, 50, 37.5, workers, 7);
            assertEquals(37.5, subset.values().stream().mapToDouble(x -> x).sum(), 1e-6);
            assertTrue(subset.values().stream().allMatch(x -> x > 0 && x <= 1 + 1e-12));
            List<String> shuffled = new ArrayList<>(workers);
            java.util.Collections.reverse(shuffled);
            assertEquals(
                    subset, DeterministicAperture.of(i, 50, 37.5, shuffled, 7), "the list's order must not matter");
        }
    }

    @Test
    void theFleetCoversTheWorkersEvenly() {
        // With 200 dispatchers and 10,000 workers, the bound of issue 22 (max over mean 1.10) holds from a width of
        // 2,000 workers a dispatcher (40 dispatchers a worker); at smaller widths the uneven gaps between dispatchers
        // exceed it.
        for (long seed : new long[] {1, 2}) {
            double maxToMean = CoverageStatistics.maxToMeanRatio(
                    CoverageStatistics.loads(200, 2000, workers(10_000, "s" + seed + "-"), seed));
            assertTrue(maxToMean <= 1.10, "max over mean " + maxToMean);
        }
    }

    /**
     * Guards against a zone whose dispatchers cover only a part of the ring. If zones are assigned by index, a zone may
     * have every fourth dispatcher: with bit-reversed positions all of these started in one quarter of the ring (max
     * over mean 4.1), and the workers of the zone outside that quarter were no dispatcher's first choice.
     */
    @Test
    void everyNthDispatcherCoversTheWholeRing() {
        for (int zones : new int[] {2, 3, 4, 5, 8}) {
            double[] coverage = new double[1000];
            for (int i = 1; i < 200; i += zones) {
                DeterministicAperture.visitArc(i, 200, 1000, (place, part) -> coverage[place] += part);
            }
            double mean = java.util.Arrays.stream(coverage).average().orElseThrow();
            double maxToMean = java.util.Arrays.stream(coverage).max().orElseThrow() / mean;
            assertTrue(maxToMean <= 1.6, zones + " zones, max over mean " + maxToMean);
        }
    }

    /** Columns: dispatchers before and after, workers before and after, and the greatest share that may move. */
    @Test
    void aChangeMovesASmallShare() {
        List<String> workers = workers(2000, "w-");
        List<String> more = new ArrayList<>(workers);
        more.add("new");
        Object[][] rows = {
            {5, 6, workers, workers, 1.0 / 6},
            {50, 51, workers, workers, 1.0 / 51},
            {199, 200, workers, workers, 1.0 / 200},
            {50, 50, workers, more, 1.0 / 50 + 0.05},
            {50, 50, workers, workers.subList(1, 2000), 1.0 / 50 + 0.05}
        };
        for (long seed : new long[] {1, 2}) {
            for (Object[] row : rows) {
                @SuppressWarnings("unchecked")
                double moved = CoverageStatistics.movedShare(
                        (int) row[0], (List<String>) row[2], (int) row[1], (List<String>) row[3], 80, seed);
                assertTrue(moved <= (double) row[4] + 1e-9, row[0] + " to " + row[1] + ": " + moved);
            }
        }
    }

    @Test
    void coversAllWorkersOfASmallFleetAndRejectsInvalidArguments() {
        assertEquals(Map.of("a", 1.0, "b", 1.0), DeterministicAperture.of(0, 3, 5, List.of("a", "b"), 1));
        assertTrue(DeterministicAperture.of(2, 3, 2, List.of(), 1).isEmpty());
        assertEquals(1.0, DeterministicAperture.of(4, 9, 1, workers(1, "x"), 1).get("x0"));
        assertThrows(IllegalArgumentException.class, () -> DeterministicAperture.of(3, 3, 2, List.of("a"), 1));
        assertThrows(IllegalArgumentException.class, () -> DeterministicAperture.of(0, 1, 0.5, List.of("a"), 1));
        assertThrows(IllegalArgumentException.class, () -> DeterministicAperture.of(0, 1, Double.NaN, List.of("a"), 1));
    }
}

package maplespread.subset;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures how evenly a fleet's subsets cover the workers, and how much weight a change of the fleet moves. */
public final class CoverageStatistics {
    private CoverageStatistics() {}

    /** Each worker's load: the sum of its weights over all dispatchers. */
    public static Map<String, Double> loads(int dispatchers, double width, List<String> workers, long seed) {
        Map<String, Double> loads = new HashMap<>();
        workers.forEach(worker -> loads.put(worker, 0.0));
        String[] order = DeterministicAperture.ordered(workers, seed);
        for (int index = 0; index < dispatchers; index++) {
            DeterministicAperture.of(index, width, order)
                    .forEach((worker, weight) -> loads.merge(worker, weight, Double::sum));
        }
        return loads;
    }

    /** Ratio of the highest load to the mean load; 1: perfectly even, 0: no load. */
    public static double maxToMeanRatio(Map<String, Double> loads) {
        double max = loads.values().stream().mapToDouble(x -> x).max().orElse(0);
        double mean = loads.values().stream().mapToDouble(x -> x).average().orElse(0);
        return mean == 0 ? 0 : max / mean;
    }

    /** The share of all weight, 0 to 1, that moves to other workers when one fleet becomes the other. */
    public static double movedShare(
            int dispatchersBefore,
            List<String> workersBefore,
            int dispatchersAfter,
            List<String> workersAfter,
            double width,
            long seed) {
        double changed = 0;
        double total = 0;
        String[] orderBefore = DeterministicAperture.ordered(workersBefore, seed);
        String[] orderAfter = DeterministicAperture.ordered(workersAfter, seed);
        for (int index = 0; index < Math.max(dispatchersBefore, dispatchersAfter); index++) {
            Map<String, Double> before = subset(index, dispatchersBefore, width, orderBefore);
            Map<String, Double> after = subset(index, dispatchersAfter, width, orderAfter);
            for (var entry : before.entrySet()) {
                changed += Math.max(0, entry.getValue() - after.getOrDefault(entry.getKey(), 0.0));
                total += entry.getValue();
            }
            for (var entry : after.entrySet()) {
                changed += Math.max(0, entry.getValue() - before.getOrDefault(entry.getKey(), 0.0));
            }
        }
        return total == 0 ? 0 : changed / (2 * total);
    }

    /** A dispatcher's subset; empty if there is no dispatcher with that index. */
    private static Map<String, Double> subset(int index, int dispatchers, double width, String[] order) {
        return index < dispatchers ? DeterministicAperture.of(index, width, order) : Map.of();
    }
}

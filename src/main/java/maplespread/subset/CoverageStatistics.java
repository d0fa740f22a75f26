package maplespread.subset;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Figures of a fleet's subsets: how evenly they cover the workers and how much moves on a change. */
public final class CoverageStatistics {
    private CoverageStatistics() {}

    /** Each worker's load: the sum of its weights over all dispatchers. */
    public static Map<String, Double> loads(int dispatchers, double width, List<String> workers, long seed) {
        Map<String, Double> load = new HashMap<>();
        workers.forEach(w -> load.put(w, 0.0));
        String[] order = DeterministicAperture.ordered(workers, seed);
        for (int i = 0; i < dispatchers; i++) {
            DeterministicAperture.of(i, width, order).forEach((w, x) -> load.merge(w, x, Double::sum));
        }
        return load;
    }

    /** The most loaded worker against the mean; 1 is perfectly even. */
    public static double spread(Map<String, Double> load) {
        double max = load.values().stream().mapToDouble(x -> x).max().orElse(0);
        double mean = load.values().stream().mapToDouble(x -> x).average().orElse(0);
        return mean == 0 ? 0 : max / mean;
    }

    /** The share of all weight that differs between two fleets' subsets: what a change moves. */
    public static double moved(
            int before, List<String> workersBefore, int after, List<String> workersAfter, double width, long seed) {
        double changed = 0;
        double total = 0;
        String[] orderBefore = DeterministicAperture.ordered(workersBefore, seed);
        String[] orderAfter = DeterministicAperture.ordered(workersAfter, seed);
        for (int i = 0; i < Math.max(before, after); i++) {
            Map<String, Double> a = i < before ? DeterministicAperture.of(i, width, orderBefore) : Map.of();
            Map<String, Double> b = i < after ? DeterministicAperture.of(i, width, orderAfter) : Map.of();
            for (var e : a.entrySet()) {
                changed += Math.max(0, e.getValue() - b.getOrDefault(e.getKey(), 0.0));
                total += e.getValue();
            }
            for (var e : b.entrySet()) {
                changed += Math.max(0, e.getValue() - a.getOrDefault(e.getKey(), 0.0));
            }
        }
        return total == 0 ? 0 : changed / (2 * total);
    }
}

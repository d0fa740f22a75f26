package maplespread.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Seeded assignments: which dispatcher uses which workers, and how many dispatchers it computes to share a worker. */
class SubsetAssignmentTest {
    private static SubsetAssignment assignment(
            int index, int dispatchers, SubsetAssignment.SubsetSettings settings, int workers, int zones) {
        SubsetAssignment assignment = new SubsetAssignment(index, dispatchers, settings, 0);
        for (int j = 0; j < workers; j++) {
            assignment.put("w-" + j, j % zones);
        }
        return assignment;
    }

    /**
     * The parts of a limit that dispatchers compute must not add up to more than the limit, nor be smaller than needed.
     */
    @Test
    void thePartsOfASharedLimitDoNotExceedIt() {
        SplittableRandom random = new SplittableRandom(5);
        for (int run = 0; run < 60; run++) {
            int dispatchers = 1 + random.nextInt(120);
            int workers = 1 + random.nextInt(400);
            int zones = 1 + random.nextInt(5);
            SubsetAssignment.SubsetSettings settings = new SubsetAssignment.SubsetSettings(
                    random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(30), 1 + random.nextInt(30));
            String what = dispatchers + " x " + workers + " in " + zones + ", " + settings;
            Map<String, Double> limitSum = new HashMap<>();
            Map<String, Integer> dispatchersByWorker = new HashMap<>();
            int maxComputed = 0;
            for (int i = 0; i < dispatchers; i++) {
                SubsetAssignment assignment = assignment(i, dispatchers, settings, workers, zones);
                Set<String> used = assignment.workers();
                assertTrue(used.size() >= Math.min(workers, settings.minWorkers()) || used.size() >= workers, what);
                used.forEach(w -> limitSum.merge(w, 1.0 / assignment.maxDispatchersPerWorker(), Double::sum));
                used.forEach(w -> dispatchersByWorker.merge(w, 1, Integer::sum));
                maxComputed = Math.max(maxComputed, assignment.maxDispatchersPerWorker());
            }
            limitSum.forEach((w, sum) -> assertTrue(sum <= 1 + 1e-9, what + ": " + w + " has the sum " + sum));
            int maxActual =
                    dispatchersByWorker.values().stream().mapToInt(x -> x).max().orElse(0);
            assertTrue(
                    maxComputed <= maxActual,
                    what + ": " + maxComputed + " dispatchers a worker computed, " + maxActual + " actual");
        }
    }

    @Test
    void aLostZoneLeavesEveryDispatcherWorkersInAllOthers() {
        for (int i = 0; i < 40; i++) {
            SubsetAssignment assignment = assignment(i, 40, new SubsetAssignment.SubsetSettings(5, 8), 200, 4);
            for (int j = 0; j < 200; j += 4) {
                assignment.remove("w-" + j);
            }
            boolean[] zones = new boolean[4];
            assignment.workers().forEach(w -> zones[Integer.parseInt(w.substring(2)) % 4] = true);
            assertTrue(!zones[0] && zones[1] && zones[2] && zones[3], "dispatcher " + i);
        }
    }

    /** A dispatcher that leaves changes only the number of dispatchers: no other arc moves. */
    @Test
    void aDispatcherKeepsItsPlaceWhenAnotherLeaves() {
        SubsetAssignment assignment = assignment(30, 40, new SubsetAssignment.SubsetSettings(10, 5), 400, 1);
        Set<String> before = assignment.workers();
        assignment.resize(39, new SubsetAssignment.SubsetSettings(10, 5));
        Set<String> after = assignment.workers();
        long kept = before.stream().filter(after::contains).count();
        assertEquals(before.size(), kept, "fewer dispatchers, wider arcs");
        assignment.resize(20, new SubsetAssignment.SubsetSettings(10, 5)); // fewer than its index
        assertTrue(assignment.workers().size() >= after.size() && assignment.maxDispatchersPerWorker() >= 1);
    }

    @Test
    void allWorkersAreUsedByDefaultAndInvalidSettingsAreRejected() {
        assertEquals(
                50,
                assignment(3, 9, SubsetAssignment.SubsetSettings.ALL, 50, 3)
                        .workers()
                        .size());
        SubsetAssignment few = assignment(3, 9, new SubsetAssignment.SubsetSettings(2, 20), 12, 3);
        assertEquals(12, few.workers().size());
        assertEquals(9, few.maxDispatchersPerWorker());
        assertTrue(new SubsetAssignment(0, 1, SubsetAssignment.SubsetSettings.ALL, 0)
                .workers()
                .isEmpty());
        assertThrows(IllegalArgumentException.class, () -> new SubsetAssignment.SubsetSettings(-1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SubsetAssignment.SubsetSettings(Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new SubsetAssignment.SubsetSettings(1, 0));
        assertThrows(
                IllegalArgumentException.class,
                () -> new SubsetAssignment(-1, 1, SubsetAssignment.SubsetSettings.ALL, 0));
    }
}

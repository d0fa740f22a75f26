package maplespread.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Cuts of a fleet, with seeds: who uses what, and among how many each believes a worker to be shared. */
class SubsetAssignmentTest {
    private static SubsetAssignment cut(
            int index, int dispatchers, SubsetAssignment.SubsetSettings wish, int workers, int zones) {
        SubsetAssignment cut = new SubsetAssignment(index, dispatchers, wish, 0);
        for (int j = 0; j < workers; j++) {
            cut.put("w-" + j, j % zones);
        }
        return cut;
    }

    /** A limit split by what each believes must not be overrun by the sum, nor lie idle where few share. */
    @Test
    void whatEachBelievesToShareBoundsTheSum() {
        SplittableRandom random = new SplittableRandom(5);
        for (int play = 0; play < 60; play++) {
            int n = 1 + random.nextInt(120);
            int m = 1 + random.nextInt(400);
            int zones = 1 + random.nextInt(5);
            SubsetAssignment.SubsetSettings wish = new SubsetAssignment.SubsetSettings(
                    random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(30), 1 + random.nextInt(30));
            String what = n + " x " + m + " in " + zones + ", " + wish;
            Map<String, Double> load = new HashMap<>();
            Map<String, Integer> users = new HashMap<>();
            int most = 0;
            for (int i = 0; i < n; i++) {
                SubsetAssignment cut = cut(i, n, wish, m, zones);
                Set<String> mine = cut.workers();
                assertTrue(mine.size() >= Math.min(m, wish.minWorkers()) || mine.size() >= m, what);
                mine.forEach(w -> load.merge(w, 1.0 / cut.maxDispatchersPerWorker(), Double::sum));
                mine.forEach(w -> users.merge(w, 1, Integer::sum));
                most = Math.max(most, cut.maxDispatchersPerWorker());
            }
            load.forEach((w, sum) -> assertTrue(sum <= 1 + 1e-9, what + ": " + w + " is shared out " + sum));
            int used = users.values().stream().mapToInt(x -> x).max().orElse(0);
            assertTrue(most <= used, what + ": " + most + " believed, " + used + " true");
        }
    }

    @Test
    void aLostZoneLeavesEveryDispatcherWorkersInAllOthers() {
        for (int i = 0; i < 40; i++) {
            SubsetAssignment cut = cut(i, 40, new SubsetAssignment.SubsetSettings(5, 8), 200, 4);
            for (int j = 0; j < 200; j += 4) {
                cut.remove("w-" + j);
            }
            boolean[] zones = new boolean[4];
            cut.workers().forEach(w -> zones[Integer.parseInt(w.substring(2)) % 4] = true);
            assertTrue(!zones[0] && zones[1] && zones[2] && zones[3], "dispatcher " + i);
        }
    }

    /** One goes and the others' indices close the gap: nobody's arc moves, only the count is another. */
    @Test
    void whoHasStartedKeepsItsPlace() {
        SubsetAssignment cut = cut(30, 40, new SubsetAssignment.SubsetSettings(10, 5), 400, 1);
        Set<String> before = cut.workers();
        cut.resize(39, new SubsetAssignment.SubsetSettings(10, 5));
        Set<String> after = cut.workers();
        long kept = before.stream().filter(after::contains).count();
        assertEquals(before.size(), kept, "fewer dispatchers, wider arcs");
        cut.resize(20, new SubsetAssignment.SubsetSettings(10, 5)); // fewer than its index
        assertTrue(cut.workers().size() >= after.size() && cut.maxDispatchersPerWorker() >= 1);
    }

    @Test
    void allAreUsedWhereNothingElseIsWished() {
        assertEquals(
                50,
                cut(3, 9, SubsetAssignment.SubsetSettings.ALL, 50, 3).workers().size());
        SubsetAssignment few = cut(3, 9, new SubsetAssignment.SubsetSettings(2, 20), 12, 3);
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

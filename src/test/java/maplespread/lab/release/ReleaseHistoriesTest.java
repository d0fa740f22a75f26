package maplespread.lab.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import maplespread.release.ReleaseRejectedException;
import org.junit.jupiter.api.Test;

/** One release among faults; the models count who is out, not the program. */
class ReleaseHistoriesTest {
    private static final int HISTORIES = Integer.getInteger("histories", 150);
    private static final int DEPTH = Integer.getInteger("depth", 6);

    @Test
    void neverMoreOutWithLeaveNoneAfterAHaltAndItEnds() {
        Map<String, Integer> ends = new TreeMap<>();
        long grants = 0;
        long halts = 0;
        for (long seed = 0; seed < HISTORIES; seed++) {
            VirtualRelease v = new VirtualRelease(seed, 3, 5, seed % 4 != 0);
            String end = v.play();
            assertTrue(end.matches("DONE|ROLLED_BACK|ABANDONED"), "seed " + seed + ": " + end);
            ends.merge(end, 1, Integer::sum);
            grants += v.grants();
            halts += v.halts();
        }
        // The faults must leave something to be held to.
        assertTrue(
                ends.size() == 3 && grants > 3 * HISTORIES && halts > HISTORIES,
                ends + ", leaves " + grants + ", halts " + halts);
    }

    @Test
    void everyOrderOfTwoAndTwoHoldsTheLimit() throws ReleaseRejectedException {
        ExhaustiveInterleavings all = new ExhaustiveInterleavings();
        assertEquals("", all.search(DEPTH));
        assertTrue(all.worlds() > 50_000, all.worlds() + " worlds");
    }
}

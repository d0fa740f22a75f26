package maplespread.starvation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import maplespread.starvation.Waits.End;
import org.junit.jupiter.api.Test;

/** What a window holds, on the wire too, and that each counts once in a view. */
class WaitsTest {
    private static final double[] DEADLINE = {2000};

    /** Rows: how it ended, after how long, its work; the least it waited beyond its work; whether held. */
    @Test
    void whoIsNotServedWaitedAtLeastSoLong() {
        Object[][] rows = {
            {End.SERVED, 300, 100.0, 200, false},
            {End.SERVED, 50, 100.0, 0, false},
            {End.REFUSED, 2, 100.0, 1900, true},
            {End.FAILED, 30, Double.NaN, 2000, true},
            {End.LEFT, 700, 100.0, 600, true},
            {End.REFUSED, 2500, 0.0, 2500, true}
        };
        for (Object[] r : rows) {
            Waits waits = new Waits("a", 1, 1000, DEADLINE);
            waits.taken(0, 1, 3, 0, 5, (double) r[2]);
            waits.ended((int) r[1], 1, 6, (End) r[0]);
            long code = waits.close(1000).codes()[0];
            assertEquals(Code.BINS[Code.binOf((int) r[3])], Code.BINS[Code.bin(code)], r[0] + " " + r[1]);
            assertEquals(r[4], Code.held(code));
            assertEquals(6, Code.place(Code.cell(code)), "where it ended, not where it was thought to go");
        }
    }

    @Test
    void whatIsStillInWorkCountsUntilTheNextWindow() {
        Waits waits = new Waits("a", 1, 1000, DEADLINE);
        View view = new View(10_000, true);
        waits.taken(0, 1, 0, 0, 0, 10);
        assertEquals(0, waits.close(1000).open().length, "not yet longer than a window");
        for (int s = 2; s <= 4; s++) {
            Window w = waits.close(s * 1000);
            assertEquals(1, w.open().length);
            view.add(s * 1000, w);
            assertEquals(1, view.cells().values().iterator().next().n(), "once, whatever the windows");
        }
        waits.ended(4500, 1, 0, End.SERVED);
        view.add(5000, waits.close(5000));
        Sample s = view.cells().values().iterator().next();
        assertEquals(1, s.n());
        assertEquals(0, s.held());
        assertEquals(0, view.strata().values().iterator().next().held());
        view.age(30_000);
        assertTrue(view.cells().isEmpty() && view.strata().isEmpty(), "all of it goes");
    }

    /** By how long after the one before a window is closed: what ended in it, and what is open, counts. */
    @Test
    void aPauseOfThisProcessTellsNothing() {
        for (int gap : new int[] {1000, 2900, 3001, 60_000}) {
            Waits waits = new Waits("a", 1, 1000, DEADLINE);
            waits.close(0);
            waits.taken(10, 1, 0, 0, 0, 10);
            waits.taken(10, 2, 0, 0, 0, 10);
            waits.ended(gap - 1, 1, 0, End.SERVED);
            Window w = waits.close(gap);
            waits.ended(gap + 1, 2, 0, End.SERVED);
            Window after = waits.close(gap + 1000);
            assertEquals(gap > 3000 ? 0 : 1, w.codes().length, gap + " ms");
            assertEquals(gap > 3000 ? 0 : 1, after.codes().length, gap + " ms");
            assertEquals(2, w.jobs() + after.jobs(), "all are counted, if only as left out");
        }
    }

    @Test
    void memoryIsBounded() {
        Waits waits = new Waits("a", 1, 1000, DEADLINE);
        for (int id = 0; id < 20_000; id++) {
            waits.taken(0, id, id % 30_000, 0, 0, 10);
        }
        for (int id = 0; id < 20_000; id++) {
            waits.ended(20, id, 0, End.SERVED);
        }
        Window w = waits.close(1000);
        assertEquals(4096, w.codes().length);
        assertEquals(20_000, w.jobs());
    }

    private static Window random(SplittableRandom random, String process, long run, long number) {
        Waits waits = new Waits(process, run, 1000, DEADLINE);
        for (long skip = 0; skip < number; skip++) {
            waits.close(0);
        }
        for (long id = 0; id < random.nextInt(300); id++) {
            waits.taken(0, id, random.nextInt(9), 0, random.nextInt(4), 1 + random.nextInt(500));
            if (random.nextInt(9) > 0) {
                waits.ended(random.nextInt(3000), id, random.nextInt(4), End.values()[random.nextInt(4)]);
            }
        }
        return waits.close(2000);
    }

    private static Map<Long, String> sums(View view) {
        Map<Long, String> all = new HashMap<>();
        view.cells().forEach((cell, s) -> all.put(cell, s.n() + "/" + s.held()));
        return all;
    }

    @Test
    void eachWindowCountsOnceInWhateverOrder() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<Window> all = new ArrayList<>();
            for (int process = 0; process < 4; process++) {
                for (int number = 0; number < 6; number++) {
                    all.add(random(random, "p" + process, 1, number));
                }
            }
            View once = new View(10_000, true);
            all.forEach(w -> assertTrue(once.add(0, w)));
            List<Window> many = new ArrayList<>(all);
            many.addAll(all);
            Collections.shuffle(many, new Random(seed));
            View mixed = new View(10_000, true);
            long counted = many.stream().filter(w -> mixed.add(0, w)).count();
            assertEquals(all.size(), counted);
            assertEquals(sums(once), sums(mixed), "seed " + seed);
            assertFalse(mixed.add(0, random(random, "p0", 0, 9)), "of an earlier run");
            assertTrue(mixed.add(0, random(random, "p0", 2, 0)), "of a later run");
            assertFalse(mixed.add(0, all.get(0)), "of the run before");
            assertTrue(mixed.add(0, random(random, "p0", 2, 30)));
            assertFalse(mixed.add(0, random(random, "p0", 2, 19)), "late beyond what is kept");
            mixed.age(10_000);
            assertEquals(Map.of(), sums(mixed));
        }
    }

    @Test
    void theWireBringsTheSameOrLessAndNothingFromNoise() throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 300; i++) {
            Window w = random(random, "p\u00e9" + i, i, i % 5);
            byte[] bytes = Exchange.encode(w, 100_000);
            Window back = Exchange.decode(bytes);
            assertEquals(
                    w.process() + w.run() + w.number() + w.left(),
                    back.process() + back.run() + back.number() + back.left());
            assertArrayEquals(w.codes(), back.codes());
            assertArrayEquals(w.counts(), back.counts());
            assertArrayEquals(w.open(), back.open());
            byte[] thin = Exchange.encode(w, 200);
            assertTrue(thin.length <= 200);
            assertEquals(w.jobs(), Exchange.decode(thin).jobs(), "what is left out is counted");
            byte[] broken = bytes.clone();
            broken[random.nextInt(broken.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                Window read = Exchange.decode(broken); // another one, but well formed
                new View(10_000, true).add(0, read);
            } catch (NotAWindow e) {
                assertTrue(e.getMessage().contains("to do"));
            }
            byte[] cut = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
            assertThrows(NotAWindow.class, () -> Exchange.decode(cut));
        }
    }
}

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
import maplespread.starvation.WaitRecorder.Completion;
import org.junit.jupiter.api.Test;

/** What a window holds, on the wire too, and that each counts once in a view. */
class WaitRecorderTest {
    private static final double[] DEADLINE = {2000};

    /** Rows: how it ended, after how long, its work; the least it waited beyond its work; whether held. */
    @Test
    void whoIsNotServedWaitedAtLeastSoLong() {
        Object[][] rows = {
            {Completion.SERVED, 300, 100.0, 200, false},
            {Completion.SERVED, 50, 100.0, 0, false},
            {Completion.REJECTED, 2, 100.0, 1900, true},
            {Completion.FAILED, 30, Double.NaN, 2000, true},
            {Completion.CLIENT_LEFT, 700, 100.0, 600, true},
            {Completion.REJECTED, 2500, 0.0, 2500, true}
        };
        for (Object[] r : rows) {
            WaitRecorder recorder = new WaitRecorder("a", 1, 1000, DEADLINE);
            recorder.requestAccepted(0, 1, 3, 0, 5, (double) r[2]);
            recorder.requestCompleted((int) r[1], 1, 6, (Completion) r[0]);
            long code = recorder.closeWindow(1000).codes()[0];
            assertEquals(
                    CellCode.BIN_LOWER_MS[CellCode.binFor((int) r[3])],
                    CellCode.BIN_LOWER_MS[CellCode.bin(code)],
                    r[0] + " " + r[1]);
            assertEquals(r[4], CellCode.censored(code));
            assertEquals(6, CellCode.place(CellCode.cell(code)), "where it ended, not where it was thought to go");
        }
    }

    @Test
    void whatIsStillInWorkCountsUntilTheNextWindow() {
        WaitRecorder recorder = new WaitRecorder("a", 1, 1000, DEADLINE);
        FleetWindow fleetWindow = new FleetWindow(10_000, true);
        recorder.requestAccepted(0, 1, 0, 0, 0, 10);
        assertEquals(0, recorder.closeWindow(1000).ongoingCodes().length, "not yet longer than a window");
        for (int s = 2; s <= 4; s++) {
            WaitWindow w = recorder.closeWindow(s * 1000);
            assertEquals(1, w.ongoingCodes().length);
            fleetWindow.add(s * 1000, w);
            assertEquals(1, fleetWindow.cells().values().iterator().next().total(), "once, whatever the windows");
        }
        recorder.requestCompleted(4500, 1, 0, Completion.SERVED);
        fleetWindow.add(5000, recorder.closeWindow(5000));
        WaitHistogram s = fleetWindow.cells().values().iterator().next();
        assertEquals(1, s.total());
        assertEquals(0, s.censoredTotal());
        assertEquals(0, fleetWindow.strata().values().iterator().next().censoredTotal());
        fleetWindow.evictExpired(30_000);
        assertTrue(fleetWindow.cells().isEmpty() && fleetWindow.strata().isEmpty(), "all of it goes");
    }

    /** By how long after the one before a window is closed: what ended in it, and what is open, counts. */
    @Test
    void aPauseOfThisProcessTellsNothing() {
        for (int gap : new int[] {1000, 2900, 3001, 60_000}) {
            WaitRecorder recorder = new WaitRecorder("a", 1, 1000, DEADLINE);
            recorder.closeWindow(0);
            recorder.requestAccepted(10, 1, 0, 0, 0, 10);
            recorder.requestAccepted(10, 2, 0, 0, 0, 10);
            recorder.requestCompleted(gap - 1, 1, 0, Completion.SERVED);
            WaitWindow w = recorder.closeWindow(gap);
            recorder.requestCompleted(gap + 1, 2, 0, Completion.SERVED);
            WaitWindow after = recorder.closeWindow(gap + 1000);
            assertEquals(gap > 3000 ? 0 : 1, w.codes().length, gap + " ms");
            assertEquals(gap > 3000 ? 0 : 1, after.codes().length, gap + " ms");
            assertEquals(2, w.requestCount() + after.requestCount(), "all are counted, if only as left out");
        }
    }

    @Test
    void memoryIsBounded() {
        WaitRecorder recorder = new WaitRecorder("a", 1, 1000, DEADLINE);
        for (int id = 0; id < 20_000; id++) {
            recorder.requestAccepted(0, id, id % 30_000, 0, 0, 10);
        }
        for (int id = 0; id < 20_000; id++) {
            recorder.requestCompleted(20, id, 0, Completion.SERVED);
        }
        WaitWindow w = recorder.closeWindow(1000);
        assertEquals(4096, w.codes().length);
        assertEquals(20_000, w.requestCount());
    }

    private static WaitWindow random(SplittableRandom random, String process, long run, long number) {
        WaitRecorder recorder = new WaitRecorder(process, run, 1000, DEADLINE);
        for (long skip = 0; skip < number; skip++) {
            recorder.closeWindow(0);
        }
        for (long id = 0; id < random.nextInt(300); id++) {
            recorder.requestAccepted(0, id, random.nextInt(9), 0, random.nextInt(4), 1 + random.nextInt(500));
            if (random.nextInt(9) > 0) {
                recorder.requestCompleted(
                        random.nextInt(3000), id, random.nextInt(4), Completion.values()[random.nextInt(4)]);
            }
        }
        return recorder.closeWindow(2000);
    }

    private static Map<Long, String> sums(FleetWindow fleetWindow) {
        Map<Long, String> all = new HashMap<>();
        fleetWindow.cells().forEach((cell, s) -> all.put(cell, s.total() + "/" + s.censoredTotal()));
        return all;
    }

    @Test
    void eachWindowCountsOnceInWhateverOrder() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<WaitWindow> all = new ArrayList<>();
            for (int process = 0; process < 4; process++) {
                for (int number = 0; number < 6; number++) {
                    all.add(random(random, "p" + process, 1, number));
                }
            }
            FleetWindow once = new FleetWindow(10_000, true);
            all.forEach(w -> assertTrue(once.add(0, w)));
            List<WaitWindow> many = new ArrayList<>(all);
            many.addAll(all);
            Collections.shuffle(many, new Random(seed));
            FleetWindow mixed = new FleetWindow(10_000, true);
            long counted = many.stream().filter(w -> mixed.add(0, w)).count();
            assertEquals(all.size(), counted);
            assertEquals(sums(once), sums(mixed), "seed " + seed);
            assertFalse(mixed.add(0, random(random, "p0", 0, 9)), "of an earlier run");
            assertTrue(mixed.add(0, random(random, "p0", 2, 0)), "of a later run");
            assertFalse(mixed.add(0, all.get(0)), "of the run before");
            assertTrue(mixed.add(0, random(random, "p0", 2, 30)));
            assertFalse(mixed.add(0, random(random, "p0", 2, 19)), "late beyond what is kept");
            mixed.evictExpired(10_000);
            assertEquals(Map.of(), sums(mixed));
        }
    }

    @Test
    void theWireBringsTheSameOrLessAndNothingFromNoise() throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 300; i++) {
            WaitWindow w = random(random, "p\u00e9" + i, i, i % 5);
            byte[] bytes = WindowCodec.encode(w, 100_000);
            WaitWindow back = WindowCodec.decode(bytes);
            assertEquals(
                    w.process() + w.incarnation() + w.sequence() + w.omitted(),
                    back.process() + back.incarnation() + back.sequence() + back.omitted());
            assertArrayEquals(w.codes(), back.codes());
            assertArrayEquals(w.counts(), back.counts());
            assertArrayEquals(w.ongoingCodes(), back.ongoingCodes());
            byte[] thin = WindowCodec.encode(w, 200);
            assertTrue(thin.length <= 200);
            assertEquals(w.requestCount(), WindowCodec.decode(thin).requestCount(), "what is left out is counted");
            byte[] broken = bytes.clone();
            broken[random.nextInt(broken.length)] ^= (byte) (1 << random.nextInt(8));
            try {
                WaitWindow read = WindowCodec.decode(broken); // another one, but well formed
                new FleetWindow(10_000, true).add(0, read);
            } catch (MalformedWindowException e) {
                assertTrue(e.getMessage().contains("to do"));
            }
            byte[] cut = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
            assertThrows(MalformedWindowException.class, () -> WindowCodec.decode(cut));
        }
    }
}

package maplespread.starvation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.lab.starvation.VirtualStarvation;
import maplespread.lab.starvation.VirtualStarvation.Case;
import maplespread.lab.starvation.VirtualStarvation.Plan;
import maplespread.lab.starvation.VirtualStarvation.Relieved;
import maplespread.starvation.PriorityBoost.Limits;
import maplespread.starvation.Verdict.Kind;
import org.junit.jupiter.api.Test;

/** Weights by the verdicts that stand, by themselves and on small fleets in virtual time; all with seeds. */
class PriorityBoostTest {
    private static final Limits LIMITS = new Limits(2, 0.1, 1.5, true);

    private static Verdict verdict(int tenant, Kind kind) {
        return new Verdict(kind, tenant, 0, 0, 0, Verdict.Statistics.NONE, 1, 1);
    }

    private static PriorityBoost after(int rounds, List<Verdict> standing) {
        PriorityBoost boost = new PriorityBoost(LIMITS, 10);
        for (int i = 0; i < rounds; i++) {
            boost.update(standing, true);
        }
        return boost;
    }

    /** Rows: what stands; whether it is known; the weight after 5 rounds of it, and after 5 good ones. */
    @Test
    void onlyWhoIsStarvedWithinItsShareIsRelieved() {
        Object[][] rows = {
            {List.of(verdict(3, Kind.STARVED)), true, 1.5, 2.0},
            {List.of(verdict(3, Kind.STARVED)), false, 1.0, 1.4},
            {List.of(verdict(3, Kind.STARVED), verdict(3, Kind.BEYOND_SHARE)), true, 1.0, 1.0},
            {List.of(verdict(3, Kind.STARVED), verdict(Verdict.ALL, Kind.CROWDED)), true, 1.5, 2.0},
            {List.of(verdict(Verdict.ALL, Kind.CROWDED)), true, 1.0, 1.46},
            {List.of(verdict(3, Kind.BEYOND_SHARE)), true, 1.0, 1.0},
            {List.of(verdict(3, Kind.LONG_JOBS)), true, 1.0, 1.0},
            {List.of(verdict(3, Kind.NOT_KNOWN)), true, 1.0, 1.46}
        };
        for (Object[] r : rows) {
            for (int good : new int[] {0, 5}) {
                PriorityBoost boost = after(good, List.of(verdict(3, Kind.STARVED)));
                for (int i = 0; i < 5; i++) {
                    @SuppressWarnings("unchecked")
                    List<Verdict> standing = (List<Verdict>) r[0];
                    boost.update(standing, (boolean) r[1]);
                }
                double expected = (double) r[good == 0 ? 2 : 3];
                assertEquals(expected, boost.weight(3), 1e-9, r[0] + " " + good);
                assertEquals(1, boost.weight(4));
            }
        }
    }

    /** It rises at once, is held, and falls a fifth as fast; once it was too early, it is held for longer. */
    @Test
    void itFallsSlowlyAndThenLaterStill() {
        PriorityBoost boost = after(10, List.of(verdict(0, Kind.STARVED)));
        int[] held = new int[3];
        for (int i = 0; i < held.length; i++) {
            assertEquals(2, boost.weight(0), 1e-9);
            while (boost.weight(0) > 2 - 1e-9 && held[i] < 1000) {
                boost.update(List.of(), true);
                held[i]++;
            }
            assertEquals(1.98, boost.weight(0), 1e-9);
            boost.update(List.of(verdict(0, Kind.STARVED)), true);
        }
        assertEquals(4, held[0]);
        assertTrue(held[1] > held[0] && held[2] > held[1] + 4, held[1] + " " + held[2]);
        for (int i = 0; i < 1000; i++) {
            boost.update(List.of(), true);
        }
        assertEquals(List.of(), boost.activeWeights());
    }

    /** Whatever is said of whom, and however it changes: no weight and no sum of them is out of bounds. */
    @Test
    void boundedWhateverIsSaid() {
        for (int seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            PriorityBoost boost = new PriorityBoost(LIMITS, 3 + random.nextInt(10));
            boolean[] starved = new boolean[8];
            for (int round = 0; round < 2000; round++) {
                List<Verdict> standing = new ArrayList<>();
                for (int t = 0; t < starved.length; t++) {
                    starved[t] ^= random.nextInt(20) == 0;
                    if (starved[t]) {
                        standing.add(verdict(t, random.nextInt(30) == 0 ? Kind.LONG_JOBS : Kind.STARVED));
                    }
                }
                boost.update(standing, random.nextInt(50) > 0);
                double sum = 0;
                for (int t = 0; t < starved.length; t++) {
                    assertTrue(boost.weight(t) >= 1 && boost.weight(t) <= 2 + 1e-9, "weight");
                    sum += boost.weight(t) - 1;
                }
                assertTrue(sum <= LIMITS.maxTotalBoost() + 1e-9, "all together " + sum);
            }
        }
    }

    /** A harms B by its relief: each time that B appears, A gets half of what it had; then B has peace. */
    @Test
    void whoHarmsAnotherIsLowered() {
        PriorityBoost boost = after(10, List.of(verdict(0, Kind.STARVED)));
        List<Verdict> both = List.of(verdict(0, Kind.STARVED), verdict(1, Kind.STARVED));
        double last = 2;
        int appeared = 0;
        for (; boost.weight(0) > 1.05 && appeared < 20; appeared++) {
            boost.update(both, true);
            assertEquals(last - 0.1, boost.weight(0), 1e-9, "lowered at once");
            assertEquals(1, boost.weight(1), "the victim does not run with it");
            for (int i = 0; i < 30; i++) {
                boost.update(List.of(verdict(0, Kind.STARVED)), true);
            }
            assertEquals((last - 1) / 2 < 0.1 ? 1 : 1 + (last - 1) / 2, boost.weight(0), 1e-9, "half");
            last = boost.weight(0);
        }
        assertEquals(4, appeared, "it is halved to nothing");
        boost = after(10, List.of(verdict(0, Kind.STARVED)));
        for (int i = 0; i < 40; i++) { // B's harm is another: it goes on
            boost.update(both, true);
            assertTrue(boost.weight(1) == 1 || i > 10 + 10, "not before A's is over and a view has passed");
        }
        assertEquals(1.75, boost.weight(0), 0.05 + 1e-9);
        assertEquals(3.5, boost.weight(0) + boost.weight(1), 1e-9, "both, by all there is");
    }

    private static Relieved play(Case wrong, long seed, boolean guarded, int seconds) {
        Plan p = new Plan();
        p.wrong = wrong;
        p.seed = seed;
        p.tenants = 20;
        p.zones = p.kinds = 1;
        p.dispatchers = 3;
        p.alone = 1;
        p.jobsPerS = 600;
        p.seconds = seconds;
        p.relief = new Limits(2, 0.1, 4, guarded);
        return new VirtualStarvation(p).run().relieved();
    }

    /** Rows: what is wrong; seconds until nobody is starved; the most that is given above 1. */
    @Test
    void theStarvedRecoverAndNobodyElseIsGivenAnything() {
        Object[][] rows = {
            {Case.FAIR, 0, 0.0},
            {Case.ORDER, 30, 1.0},
            {Case.TWO, 80, 2.0},
            {Case.GREEDY, 0, 0.0},
            {Case.CROWD, 0, 0.0},
            {Case.LONG, 0, 0.0},
            {Case.SILENT, 0, 0.0}
        };
        for (Object[] r : rows) {
            IntStream.rangeClosed(1, 2).forEach(seed -> {
                Relieved x = play((Case) r[0], seed, true, 100);
                String what = r[0] + " " + seed + " " + x;
                assertTrue((int) r[1] == 0 || x.afterS() <= (int) r[1], what);
                assertEquals(0, x.others(), what);
                assertTrue(x.extra() <= (double) r[2] + 1e-9 && x.extra() > 0.8 * (double) r[2] - 1e-9, what);
            });
        }
    }

    /** Unguarded, two that take from each other rise and fall for ever; guarded, they come to rest. */
    @Test
    void nobodyChasesAnother() {
        for (int seed = 1; seed <= 2; seed++) {
            int turns = play(Case.CHASE, seed, true, 240).turns();
            int more = play(Case.CHASE, seed, false, 240).turns();
            assertTrue(turns <= 5 && more >= 8, seed + ": " + turns + " and " + more);
        }
    }
}

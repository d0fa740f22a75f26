package maplespread.starvation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.lab.starvation.VirtualStarvation;
import maplespread.lab.starvation.VirtualStarvation.Case;
import maplespread.lab.starvation.VirtualStarvation.Plan;
import maplespread.lab.starvation.VirtualStarvation.Result;
import maplespread.policy.ReproducibleMath;
import maplespread.starvation.LogRankComparison.Stratum;
import maplespread.starvation.LogRankComparison.Sum;
import maplespread.starvation.Verdict.Kind;
import org.junit.jupiter.api.Test;

/** The comparison by itself, and the verdicts on small fleets in virtual time; all with seeds. */
class StarvationDetectorTest {
    private static WaitHistogram sample(int... waits) { // below 0: at least so long
        WaitHistogram s = new WaitHistogram();
        for (int w : waits) {
            s.add(w < 0, CellCode.binFor(Math.abs(w)), 1);
        }
        return s;
    }

    private static Sum compare(WaitHistogram own, WaitHistogram others, double kept) {
        WaitHistogram all = new WaitHistogram();
        all.add(own, 1);
        all.add(others, 1);
        Sum sum = new Sum();
        LogRankComparison.add(sum, new Stratum(all, 100), own, kept);
        return sum;
    }

    /** By hand: served at 1, 2, 4 with 5, 4, 2 at risk; the third left at 3, the last was held to the end. */
    @Test
    void aComparisonByHand() {
        Sum s = compare(sample(2, -3), sample(1, 4, -100), 1);
        assertEquals(1, s.observed);
        assertEquals(2 * (1 / 5.0 + 1 / 4.0), s.expected, 1e-12);
        assertEquals((2 + 98 / 2.0) * 2, s.ownWaitSum, 1e-9, "half goes on from 2 to the end");
        assertEquals(1, s.censored);
        assertEquals(1, s.othersCensored);
        s = compare(sample(-9, -9, -9), sample(1, 1, 1, 1), 1);
        assertEquals(3 * (1 / 7.0 + 1 / 6.0 + 1 / 5.0 + 1 / 4.0), s.expected, 1e-12, "ties come in turn");
        s = compare(sample(1, 1), sample(1, 1, 1), 1);
        assertEquals(s.observed, s.expected, 1e-12, "all alike");
    }

    /** Rows: own waits, others', what is kept; whether it waits longer. */
    @Test
    void whatIsHeldTells() {
        WaitHistogram others = new WaitHistogram();
        for (int i = 0; i < 200; i++) {
            others.add(false, CellCode.binFor(1 + i % 20), 1);
        }
        Object[][] rows = {
            {new int[] {5, 5, 6, -100, -100, -100, -100, -100}, 1.0, true},
            {new int[] {5, 5, 6, -100, -100, -100, -100, -100}, 0.375, false},
            {new int[] {5, 5, 6, 10, 15, 19, 2, 3}, 1.0, false},
            {new int[] {-2, -2, -1, -3, -2, -1, -2, -3}, 1.0, false}, // left early: tells little
            {new int[] {60, 70, 80, 90, 99, 80, 70, 60}, 1.0, true}
        };
        for (Object[] r : rows) {
            Sum s = compare(sample((int[]) r[0]), others, (double) r[1]);
            assertEquals(
                    r[2],
                    s.pValue(1) < 1e-3 && s.effect() > 0.1,
                    java.util.Arrays.toString((int[]) r[0]) + " " + s.pValue(1) + " " + s.effect());
        }
    }

    /** Groups that are as the others come out below a chance no more often than that chance. */
    @Test
    void chanceIsNotUnderstated() {
        SplittableRandom random = new SplittableRandom(3);
        int below = 0;
        int rounds = 20_000;
        for (int i = 0; i < rounds; i++) {
            WaitHistogram own = new WaitHistogram();
            WaitHistogram others = new WaitHistogram();
            for (int j = 0; j < 108; j++) {
                boolean held = random.nextInt(20) == 0;
                double wait = held ? 2000 : -100 * ReproducibleMath.log(1 - random.nextDouble());
                (j < 8 ? own : others).add(held, CellCode.binFor(wait), 1);
            }
            below += compare(own, others, 1).pValue(1) < 0.001 ? 1 : 0;
        }
        assertTrue(below <= rounds * 0.001 * 1.6, below + " of " + rounds);
    }

    private static Plan plan(Case wrong, long seed) {
        Plan p = new Plan();
        p.wrong = wrong;
        p.seed = seed;
        p.tenants = 20;
        p.zones = 3;
        p.kinds = 3;
        p.dispatchers = 6;
        p.jobsPerS = 1500;
        p.alone = wrong == Case.UNFAIR ? 6 : 1;
        return p;
    }

    @Test
    void eachCaseIsToldForWhatItIs() {
        for (Case wrong : Case.told()) {
            IntStream.rangeClosed(1, 3).forEach(seed -> {
                Result r = new VirtualStarvation(plan(wrong, seed)).run();
                String what = wrong + " " + seed + ": " + r;
                assertEquals(0, r.falsely(), what);
                assertTrue(wrong == Case.FAIR || r.namedAfterS() <= 12, what);
                assertTrue(r.told().containsKey(wrong.truth), what);
            });
        }
    }

    /** A verdict comes and goes by the same few rounds wherever its figures stand between the two limits. */
    @Test
    void entryAndExitDiffer() {
        FleetLayout site = new FleetLayout(new double[] {2000}, new double[30], 1, 1);
        StarvationDetector detector = new StarvationDetector(site, 0.1);
        double[] slower = {0, 140, 400, 160, 160, 0}; // by phases of five rounds
        Kind[] stands = {Kind.FINE, Kind.FINE, Kind.STARVED, Kind.STARVED, Kind.STARVED, Kind.FINE};
        SplittableRandom random = new SplittableRandom(1);
        WaitRecorder recorder = new WaitRecorder("a", 1, 1000, new double[] {2000});
        long id = 0;
        for (int round = 0; round < 5 * slower.length; round++) {
            FleetWindow fleetWindow = new FleetWindow(500, true);
            for (int i = 0; i < 900; i++) {
                recorder.requestAccepted(0, ++id, i % 30, 0, 0, 10);
                recorder.requestCompleted(
                        30 + random.nextInt(40) + (i % 30 == 7 ? (long) slower[round / 5] : 0),
                        id,
                        0,
                        WaitRecorder.Completion.SERVED);
            }
            fleetWindow.add(round * 1000L, recorder.closeWindow(1000));
            detector.evaluate(round * 1000L, fleetWindow);
            if (round % 5 == 0 && round > 0) {
                assertEquals(stands[round / 5 - 1], detector.verdictOf(7, 0, 0), "one round alone changes nothing");
            }
            if (round % 5 == 4) {
                assertEquals(stands[round / 5], detector.verdictOf(7, 0, 0), "phase " + round / 5);
                assertEquals(Kind.FINE, detector.verdictOf(8, 0, 0));
            }
        }
    }

    /** Few jobs, long tails, and bursts whose jobs wait alike: nothing of it is anybody's fault. */
    @Test
    void noiseIsNoVerdict() {
        StarvationDetector detector =
                new StarvationDetector(new FleetLayout(new double[] {2000}, new double[40], 1, 1), 0.1);
        FleetWindow fleetWindow = new FleetWindow(10_000, true);
        SplittableRandom random = new SplittableRandom(5);
        WaitRecorder recorder = new WaitRecorder("a", 1, 1000, new double[] {2000});
        long id = 0;
        int named = 0;
        for (int round = 0; round < 600; round++) {
            for (int burst = 0; burst < 9; burst++) {
                int tenant = random.nextInt(40);
                long wait = (long) (-300 * ReproducibleMath.log(1 - random.nextDouble()));
                for (int job = 0; job < 4; job++) {
                    recorder.requestAccepted(0, ++id, tenant, 0, 0, 0);
                    recorder.requestCompleted(wait, id, 0, WaitRecorder.Completion.SERVED);
                }
            }
            fleetWindow.evictExpired(round * 1000L);
            fleetWindow.add(round * 1000L, recorder.closeWindow(round * 1000L));
            named += detector.evaluate(round * 1000L, fleetWindow).size();
        }
        assertEquals(0, named);
    }

    /** What ten jobs tell a fleet, one of many dispatchers that judge themselves may not say on its own. */
    @Test
    void whoJudgesAloneAmongManyNeedsMore() {
        int[] from = new int[3]; // refused of ten that make a verdict
        for (int refused = 10; refused > 0; refused--) {
            StarvationDetector[] detectors = {
                new StarvationDetector(new FleetLayout(new double[] {2000}, new double[30], 1, 1), 0.1),
                StarvationDetector.singleDispatcher(
                        new FleetLayout(new double[] {2000}, new double[30], 1, 1), 0.1, null),
                StarvationDetector.singleDispatcher(
                        new FleetLayout(new double[] {2000}, new double[30], 200, 1), 0.1, null)
            };
            for (int round = 0; round < 3; round++) {
                FleetWindow fleetWindow = new FleetWindow(500, false);
                WaitRecorder recorder = new WaitRecorder("a", 1, 1000, new double[] {2000});
                for (int i = 0; i < 300; i++) {
                    recorder.requestAccepted(0, i, i % 30, 0, 0, 10);
                    recorder.requestCompleted(
                            30 + i % 41,
                            i,
                            0,
                            i % 30 == 7 && i / 30 < refused
                                    ? WaitRecorder.Completion.REJECTED
                                    : WaitRecorder.Completion.SERVED);
                }
                fleetWindow.add(round, recorder.closeWindow(1000));
                for (StarvationDetector detector : detectors) {
                    detector.evaluate(round, fleetWindow);
                }
            }
            for (int j = 0; j < detectors.length; j++) {
                from[j] = detectors[j].verdictOf(7, 0, 0) == Kind.STARVED ? refused : from[j];
            }
        }
        assertTrue(from[0] > 0 && from[1] == from[0] && from[2] > from[0], java.util.Arrays.toString(from));
    }

    /** Rows: whether it hears of the fleet; then what an unfair dispatcher says, and a fair one. */
    @Test
    void oneThatJudgesItselfNamesWhoIsStarvedThere() {
        for (boolean talks : new boolean[] {true, false}) {
            for (Case wrong : new Case[] {Case.UNFAIR, Case.FAIR}) {
                int named = 0;
                for (int seed = 1; seed <= 10; seed++) {
                    Plan p = new Plan();
                    p.wrong = wrong;
                    p.seed = seed;
                    p.dispatchers = 1;
                    p.alone = 1;
                    p.of = 200;
                    p.jobsPerS = 200;
                    p.talks = talks;
                    Result r = new VirtualStarvation(p).run();
                    assertEquals(0, r.falsely(), wrong + " " + seed);
                    named += r.told().getOrDefault(Kind.STARVED, 0);
                }
                assertTrue(wrong == Case.UNFAIR ? named >= 7 : named == 0, wrong + " " + talks + " " + named);
            }
        }
    }

    /** A starved tenant with much of a place's traffic makes no crowd of the place. */
    @Test
    void oneTenantIsNoCrowd() {
        StarvationDetector detector =
                new StarvationDetector(new FleetLayout(new double[] {2000}, new double[9], 1, 1), 0.1);
        SplittableRandom random = new SplittableRandom(6);
        for (int round = 0; round < 4; round++) {
            FleetWindow fleetWindow = new FleetWindow(500, true);
            WaitRecorder recorder = new WaitRecorder("a", 1, 1000, new double[] {2000});
            for (int id = 0; id < 2000; id++) {
                int tenant = id % 9 < 4 ? 0 : id % 9;
                int place = random.nextInt(8);
                recorder.requestAccepted(0, id, tenant, 0, place, 10);
                recorder.requestCompleted(
                        30 + random.nextInt(40) + (tenant == 0 && place == 3 ? 900 : 0),
                        id,
                        place,
                        WaitRecorder.Completion.SERVED);
            }
            fleetWindow.add(round * 1000L, recorder.closeWindow(0));
            detector.evaluate(round * 1000L, fleetWindow);
        }
        assertEquals(Kind.STARVED, detector.verdictOf(0, 0, 3));
        for (int tenant = 4; tenant < 9; tenant++) {
            assertEquals(Kind.FINE, detector.verdictOf(tenant, 0, 3));
        }
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.*;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DispatchPolicyTest {
    private static RuleCheckingHost host(Idempotency effect, DeduplicationScope group, EndpointEntry... entries) {
        RuleCheckingHost h =
                new RuleCheckingHost(RuleCheckingHost.settings(RuleCheckingHost.clazz(effect, group), false, 1));
        h.list(EndpointListKind.CACHED_SNAPSHOT, entries);
        return h;
    }

    private static RuleCheckingHost two() {
        return host(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
    }

    @Test
    void valueIsThePapersAtRhoOne() {
        // cost rate that makes (10) and (11) agree
        double lambda = 1, tau = 2, r = lambda / (2 + lambda * tau);
        for (double u = 0; u <= 6; u += 0.25) {
            double exact = u > tau
                    ? lambda * (1 + lambda * tau) / (2 + lambda * tau) * (u - tau)
                    : lambda * lambda / (4 + 2 * lambda * tau) * (u * u - tau * tau);
            assertEquals(exact, ValueFunction.value(lambda, r, 1, tau, u), 1e-9, "u = " + u);
        }
    }

    @Test
    void valueIsTheHeavyLoadLine() {
        double s = 2, tau = 3, lambda = 100;
        for (double u = 0; u < 9; u += 0.5) {
            assertEquals((u - tau) / s, ValueFunction.value(lambda, lambda - 1 / s, s, tau, u), 1e-9);
        }
    }

    @Test
    void valueIsNonDecreasingAndConvexWhateverR() {
        Random random = new Random(5);
        for (int k = 0; k < 2000; k++) {
            double lambda = random.nextDouble() * 3, r = lambda * random.nextDouble(), s = 0.1 + random.nextDouble();
            double tau = 0.1 + random.nextDouble() * 3, step = tau / 10, last = -1e-12;
            for (int i = 0; i < 30; i++) {
                double up = ValueFunction.value(lambda, r, s, tau, (i + 1) * step)
                        - ValueFunction.value(lambda, r, s, tau, i * step);
                assertTrue(up >= last - 1e-9, "slope must not fall");
                last = up;
            }
        }
    }

    @Test
    void argminTakesTheLeastBacklog() {
        RuleCheckingHost h = two();
        assertEquals("a", h.take(1, 500).tries.get(0).worker);
        assertEquals("b", h.take(2, 500).tries.get(0).worker);
        h.settle(1, AttemptOutcome.SERVED);
        assertEquals("a", h.take(3, 500).tries.get(0).worker);
    }

    @Test
    void refusesEarlyWhenEveryBacklogIsPastTheAim() {
        RuleCheckingHost h = two();
        int served = 0;
        RuleCheckingHost.TestRequest last = null;
        for (int i = 1; i <= 60; i++) {
            last = h.take(i, 500);
            served += last.tries.size();
        }
        assertEquals("refused", last.end);
        assertTrue(served >= 4 && served < 40, "took " + served);
    }

    /**
     * Guards against a node that turns all away because of what it once learnt: who sends nothing learns
     * nothing. Here no worker ever says a word more, so only the trials go out.
     */
    @Test
    void whoRefusesAllTriesAgainNowAndThen() {
        RuleCheckingHost h = two();
        long id = 0;
        while (h.take(++id, 500).end.isEmpty()) {
            assertTrue(id < 60, "all are taken");
        }
        int tried = 0;
        for (int i = 0; i < 110; i++) { // eleven seconds; the memory is ten
            h.pass(100);
            tried += h.take(++id, 500).tries.size();
        }
        assertTrue(tried >= 2 && tried <= 3, "tried " + tried);
    }

    /** How many are taken after a rush of jobs, each served at once, so that no backlog stands. */
    private static int takenAfterARush(double leftMs) {
        RuleCheckingHost h = two();
        for (int i = 1; i <= 900; i++) {
            if (!h.take(i, 0, 500, 0, leftMs).tries.isEmpty()) {
                h.settle(i, AttemptOutcome.SERVED);
            }
            h.now += 30;
        }
        int taken = 0;
        while (h.take(1000 + taken, 500).end.isEmpty()) {
            taken++;
        }
        return taken;
    }

    /** What is refused comes again: counted as load, it would keep the prices up that refused it. */
    @Test
    void clientsLaterTriesDoNotRaiseThePrice() {
        int rushed = takenAfterARush(10_000), calm = takenAfterARush(9_000);
        assertTrue(calm > rushed, calm + " after later tries, " + rushed + " after as many jobs");
    }

    /** How many jobs a worker that nobody has tried takes, after another of its kind has run four. */
    private static int takenByANewOne(boolean cold, double runMs) {
        RuleCheckingHost h =
                host(Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, cold ? 1000 : 0));
        for (int i = 1; i <= 4; i++) {
            RuleCheckingHost.TestRequest c = h.take(i, 500);
            while (c.tries.isEmpty()) {
                h.pass(100); // its share of the cold budget fills
            }
            h.node.attemptProgressed(h.us(), i, 0, "a", true, 0);
            h.now += runMs;
            h.settle(i, AttemptOutcome.SERVED);
        }
        h.list(EndpointListKind.FULL_SNAPSHOT, RuleCheckingHost.entry("b", 0, 0));
        int taken = 0;
        while (h.take(1000 + taken, 500).end.isEmpty()) {
            taken++;
        }
        return taken;
    }

    /** After a mass start most runs are cold: taken for their kind's speed, they refuse warm capacity. */
    @Test
    void coldRunsDoNotSlowTheirKind() {
        int after = takenByANewOne(false, 500);
        assertTrue(takenByANewOne(false, 1500) < after, "a slow kind takes less");
        assertEquals(after, takenByANewOne(true, 1500));
    }

    @Test
    void aPausedWorkerKeepsItsBacklog() {
        RuleCheckingHost h = two();
        h.take(1, 800);
        h.take(2, 100);
        h.settle(2, AttemptOutcome.SERVED);
        h.pass(800);
        assertEquals("b", h.take(3, 300).tries.get(0).worker);
    }

    @Test
    void failsAtItsOwnDeadlinesTimeOut() {
        RuleCheckingHost h = two();
        RuleCheckingHost.TestRequest c = h.take(1, 500);
        h.now = c.deadline;
        h.settle(1, AttemptOutcome.TIMED_OUT);
        assertNotEquals("", c.end);
    }

    @Test
    void unsafeIsNotSentAgainOnceItMayHaveRun() {
        RuleCheckingHost h = host(
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.CELL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
        RuleCheckingHost.TestRequest c = h.take(1, 500);
        h.settle(1, AttemptOutcome.ERROR);
        assertEquals(1, c.tries.size());
        assertEquals("failed", c.end, "nothing can be legal any more: at once, not after its aim");
        RuleCheckingHost.TestRequest d = h.take(2, 500);
        h.settle(2, AttemptOutcome.REJECTED);
        assertEquals(2, d.tries.size(), "an attempt that never ran may be repeated");
    }

    @Test
    void whoseAttemptsAreUsedUpIsAnsweredAtOnce() {
        RuleCheckingHost h = host(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
        RuleCheckingHost.TestRequest c = h.take(1, 500);
        while (c.end.isEmpty() && c.tries.size() <= 4) {
            assertTrue(c.tries.stream().filter(t -> !t.over).count() == 1, "out, or else answered");
            h.settle(1, AttemptOutcome.ERROR);
            h.pass(c.end.isEmpty() && c.tries.get(c.tries.size() - 1).over ? 500 : 0); // all rest
        }
        assertEquals("refused", c.end);
    }

    @Test
    void keyedIsRepeatedInItsCellOnly() {
        RuleCheckingHost h = host(
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.CELL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 1, 0),
                RuleCheckingHost.entry("c", 0, 0));
        RuleCheckingHost.TestRequest c = h.take(1, 500);
        assertEquals("a", c.tries.get(0).worker);
        h.settle(1, AttemptOutcome.RESET);
        assertEquals("c", c.tries.get(1).worker);
    }

    @Test
    void nothingNewGoesToADrainingOrAbsentWorker() {
        RuleCheckingHost h = two();
        h.list(EndpointListKind.DELTA, new EndpointEntry("a", EndpointLifecycle.DRAINING, 1, 0, 0, 0, 0));
        for (int i = 1; i < 9; i++) {
            for (RuleCheckingHost.TestAttempt t : h.take(i, 300).tries) {
                assertEquals("b", t.worker);
            }
        }
        h.list(EndpointListKind.FULL_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0));
        assertEquals("a", h.take(20, 300).tries.get(0).worker, "listed again, and b is gone");
    }

    @Test
    void noWorkerAtAllStillGivesAnAnswer() {
        RuleCheckingHost h = host(Idempotency.NON_IDEMPOTENT, DeduplicationScope.CELL);
        RuleCheckingHost.TestRequest c = h.take(1, 500);
        h.pass(1000);
        assertEquals("refused", c.end);
    }

    @Test
    void aColdWorkerGetsOnlyItsShareOfTheBudget() {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 2));
        h.now = 50000;
        h.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
        double sent = 0;
        for (int i = 1; i < 50; i++) {
            sent += h.take(i, 100).tries.size() * 100;
        }
        // 4 times present capacity (0.3 of at most 2 slots at speed 1) over 1.5 s, by two nodes
        assertTrue(sent > 0 && sent <= 4 * 0.31 * 2 * 1500 / 2, "sent " + sent);
    }

    /** Guards discovery against a whole fleet that starts in one instant: the first calls come one after another. */
    @Test
    void theFirstCallsOfALargeFleetComeInTurnAndThoseOfASmallOneAtOnce() {
        EndpointEntry[] workers = IntStream.range(0, 60)
                .mapToObj(i -> RuleCheckingHost.entry("w" + i, 0, 0))
                .toArray(EndpointEntry[]::new);
        double[] latest = new double[101];
        int[] inASecond = new int[6];
        for (int fleet : new int[] {4, 100}) {
            for (int index = 0; index < fleet; index++) {
                RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                        RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, fleet, index));
                h.confirms = false;
                h.list(EndpointListKind.CACHED_SNAPSHOT, workers);
                double from = h.now;
                while (h.watches == 0) {
                    h.pass(10);
                }
                latest[fleet] = Math.max(latest[fleet], h.now - from);
                inASecond[fleet == 100 ? (int) (h.now - from) / 1000 : 5]++;
            }
        }
        assertTrue(latest[4] <= 300, "of 4 nodes after " + latest[4]);
        assertTrue(latest[100] > 3500 && latest[100] <= 4300, "of 100 nodes after " + latest[100]);
        assertTrue(IntStream.range(0, 3).allMatch(s -> inASecond[s] < 32), () -> Arrays.toString(inASecond));
    }

    /**
     * Guards the rule on drains at a start: what a list held from before names may have drained long ago, whatever
     * becomes of the calls, and however long they fail; confirmed, it is trusted at once.
     */
    @Test
    void nothingIsSentByAListHeldAtTheStartUntilDiscoveryHasSpoken() {
        for (EndpointWatchFailure loss : EndpointWatchFailure.values()) {
            RuleCheckingHost h = unconfirmed(7);
            for (int i = 0; i < 20; i++) {
                int asked = h.watches;
                h.pass(1000);
                assertEquals(0, h.take(100 + i, 20).tries.size(), loss + " after " + (i + 1) + " s");
                if (h.watches > asked) {
                    h.listFailed(loss);
                }
            }
            assertEquals(List.of(), h.states, "no change of the state without a word");
            h.list(
                    EndpointListKind.FULL_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0));
            assertEquals(List.of(EndpointListState.CONFIRMED), h.states);
            assertEquals(1, h.take(2, 20).tries.size(), "confirmed, it is trusted at once");
        }
    }

    /** Two workers, by a list held at the start that discovery has said nothing of yet. */
    private static RuleCheckingHost unconfirmed(long seed) {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        h.node = new DispatchPolicy(h.set, seed, h);
        h.confirms = false;
        h.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        return h;
    }

    @Test
    void theListIsAskedForAgainAfterAFailure() {
        RuleCheckingHost h = unconfirmed(7);
        h.pass(400);
        assertEquals(1, h.watches);
        h.listFailed(EndpointWatchFailure.ENDED);
        h.pass(5000);
        assertTrue(h.watches >= 2, "watches " + h.watches);
    }

    /**
     * Guards the time in which a change counts as told, whatever failed: after a long outage a call that
     * began just before discovery came back may last its 2.5 s, and the next one is to be heard in time.
     */
    @Test
    void noOutageMakesTheListWaitedForTooLong() {
        RuleCheckingHost h = unconfirmed(7);
        h.pass(400);
        for (int i = 0; i < 40; i++) {
            int asked = h.watches;
            h.listFailed(EndpointWatchFailure.ENDED);
            h.pass(2700);
            assertTrue(h.watches > asked, "after " + i + " failures");
        }
    }

    /**
     * Guards against calls in step that each find the queue of the last ones, dead by then: who has waited in
     * vain for two seconds comes after 0.8 to 2.4 more, and one whose watch broke at once comes sooner.
     */
    @Test
    void aCallThatWaitedInVainIsFollowedLater() {
        double soonest = Double.MAX_VALUE, latest = 0;
        for (int i = 0; i < 40; i++) {
            RuleCheckingHost h = unconfirmed(i);
            h.pass(400);
            h.pass(2000); // the call waits
            h.listFailed(EndpointWatchFailure.ENDED);
            int asked = h.watches;
            double since = h.now;
            while (h.watches == asked) {
                h.pass(10);
            }
            soonest = Math.min(soonest, h.now - since);
            latest = Math.max(latest, h.now - since);
        }
        assertTrue(soonest >= 780 && latest > 1800 && latest <= 2700, soonest + " to " + latest);
    }

    @Test
    void aSilentWorkerIsLeftAndItsWorkMoved() {
        RuleCheckingHost h = host(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        for (int i = 1; i <= 3; i++) {
            h.take(i, 300);
        }
        for (int step = 0; step < 40; step++) {
            h.pass(100);
            for (int i = 2; i <= 3; i++) {
                if (step == 2) {
                    h.settle(i, AttemptOutcome.SERVED);
                }
            }
        }
        for (int i = 10; i < 13; i++) {
            assertNotEquals("a", h.take(i, 300).tries.get(0).worker);
        }
    }

    @Test
    void whenAllLookSilentTheNodeServesOn() {
        RuleCheckingHost h = two();
        h.take(1, 300);
        h.take(2, 300);
        h.pass(6000);
        RuleCheckingHost.TestRequest c = h.take(3, 300);
        assertFalse(c.tries.isEmpty(), "all suspected at once: keep serving");
    }

    @Test
    void aWorkerThatAnswersIsTrustedAgain() {
        RuleCheckingHost h = host(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        h.take(1, 300);
        h.pass(5000);
        h.settle(1, 0, AttemptOutcome.SERVED);
        boolean back = false;
        for (int i = 10; i < 16; i++) {
            back |= h.take(i, 300).tries.stream().anyMatch(t -> t.worker.equals("a"));
        }
        assertTrue(back);
    }

    @Test
    void anUnreachableWorkerRestsAndComesBackCold() {
        RuleCheckingHost h = two();
        RuleCheckingHost.TestRequest c = h.take(1, 300);
        h.mute.add("a");
        h.settle(1, AttemptOutcome.CONNECT_FAILED);
        assertEquals("b", c.tries.get(1).worker);
        h.settle(1, AttemptOutcome.SERVED);
        assertEquals("b", h.take(2, 300).tries.get(0).worker);
        h.pass(100);
        h.node.probeEnded(h.us(), "a", AttemptOutcome.CONNECT_FAILED, 1, null);
        h.mute.clear();
        h.pass(3000);
        h.take(3, 300);
        h.settle(3, AttemptOutcome.SERVED);
        assertTrue(h.probes.contains("a"), "probed when the fleet is looked at again");
        h.pass(1500); // a window's budget after its answer
        double sent = 0;
        for (int i = 10; i < 60; i++) {
            for (RuleCheckingHost.TestAttempt t : h.take(i, 100).tries) {
                sent += t.worker.equals("a") ? 100 : 0;
            }
        }
        assertTrue(sent > 0 && sent <= 4 * 0.31 * 2 * 1500, "sent " + sent);
    }

    /** Guards a healthy worker against one connection that breaks: a probe at once shows that it is well. */
    @Test
    void oneBrokenConnectionIsNoRestart() {
        for (AttemptOutcome v : new AttemptOutcome[] {
            AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.STALE_CONNECTION_RESET
        }) {
            RuleCheckingHost h = host(Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
            h.take(1, 300);
            h.settle(1, v);
            h.answerProbes();
            int taken = 0;
            for (int i = 10; i < 20; i++) {
                taken += h.take(i, 100).tries.size();
            }
            assertTrue(taken > 3, "as a warm worker, not a cold one: " + taken + " after " + v);
        }
    }

    /** Guards against connections that fall silent: a job that a later one has outrun tells of no queue. */
    @Test
    void anUnheardJobThatALaterOneOutranIsPlacedAnew() {
        RuleCheckingHost h = two();
        RuleCheckingHost.TestRequest silent = h.take(1, 300);
        String at = silent.tries.get(0).worker;
        h.pass(250);
        long next = 2;
        while (!h.take(next, 300).tries.get(0).worker.equals(at)) {
            next++;
        }
        assertEquals(0, h.cancels);
        h.node.attemptProgressed(h.us(), next, 0, at, true, 0);
        assertEquals(1, h.cancels, "its connection is dead, not the worker");
        h.settle(1, 0, AttemptOutcome.CANCELLED);
        assertEquals(2, silent.tries.size());
    }

    /** Guards the fading of speeds: a worker once slow must be tried again after its trouble has ended. */
    @Test
    void aWorkerOnceSlowIsTriedAgain() {
        RuleCheckingHost h = two();
        for (int i = 1; i <= 40; i++) { // each alone; a is ten times slower than b
            RuleCheckingHost.TestRequest c = h.take(i, 300);
            h.pass(c.tries.get(0).worker.equals("a") ? 3000 : 300);
            h.settle(i, AttemptOutcome.SERVED);
        }
        assertEquals("b", h.take(100, 300).tries.get(0).worker, "while it is known to be slow");
        h.settle(100, AttemptOutcome.SERVED);
        h.pass(120000); // some of the shortest deadline's multiples
        boolean again = false;
        for (int i = 101; i < 105; i++) {
            again |= h.take(i, 300).tries.stream().anyMatch(t -> t.worker.equals("a"));
        }
        assertTrue(again, "never tried again");
    }

    /** Others' load shown by reports counts as backlog. */
    @Test
    void reportedLoadOfOthersMovesWorkAway() {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 2));
        h.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        h.take(1, 400);
        h.settle(1, AttemptOutcome.SERVED);
        h.node.probeEnded(
                h.us(), "a", AttemptOutcome.SERVED, 1, new LoadReport(9, Double.NaN, 1, Double.NaN, 0, Double.NaN));
        h.node.probeEnded(
                h.us(), "b", AttemptOutcome.SERVED, 1, new LoadReport(0, Double.NaN, 0, Double.NaN, 2, Double.NaN));
        assertEquals("b", h.take(2, 400).tries.get(0).worker);
    }

    /**
     * Guards the rest after 'full': attempt after attempt at a full worker. It could harm one that was full
     * briefly.
     */
    @Test
    void aFullWorkerRests() {
        RuleCheckingHost h = two();
        RuleCheckingHost.TestRequest c = h.take(1, 300);
        h.settle(1, AttemptOutcome.REJECTED);
        assertEquals("b", c.tries.get(1).worker);
        h.settle(1, AttemptOutcome.SERVED);
        assertEquals("b", h.take(2, 300).tries.get(0).worker);
        h.settle(2, AttemptOutcome.SERVED);
        h.pass(1000);
        assertEquals("a", h.take(3, 300).tries.get(0).worker, "and serves again");
    }

    /** Pair: a silent worker while another drains. The second copy goes to the one worker that is left. */
    @Test
    void silenceAndADrainTogether() {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        h.list(
                EndpointListKind.CACHED_SNAPSHOT,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        RuleCheckingHost.TestRequest c = h.take(1, 900);
        assertEquals("a", c.tries.get(0).worker);
        h.list(EndpointListKind.DELTA, new EndpointEntry("b", EndpointLifecycle.DRAINING, 1, 0, 0, 0, 0));
        h.pass(9000);
        for (RuleCheckingHost.TestAttempt t : c.tries.subList(1, c.tries.size())) {
            assertEquals("c", t.worker);
        }
        assertEquals("c", h.take(2, 300).tries.get(0).worker, "neither the silent nor the draining one");
    }

    /** Pair: a broken connection while the list is stale. New requests go elsewhere, listed or not. */
    @Test
    void aResetUnderAStaleList() {
        RuleCheckingHost h = host(
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.CELL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 1, 0));
        RuleCheckingHost.TestRequest c = h.take(1, 300);
        h.mute.add("a");
        h.settle(1, AttemptOutcome.RESET);
        h.listFailed(EndpointWatchFailure.ENDED);
        for (int i = 2; i < 5; i++) {
            for (RuleCheckingHost.TestAttempt t : h.take(i, 300).tries) {
                assertEquals("b", t.worker);
            }
        }
        // The keyed request itself has no other legal place: it tries there, within tryLimit, and then ends.
        for (int i = 0; i < 4 && !c.ended; i++) {
            h.settle(1, c.tries.size() - 1, AttemptOutcome.CONNECT_FAILED);
            h.pass(600);
        }
        assertEquals("failed", c.end);
    }

    /** Guards the learned trust in hints: without it the worker given small jobs would look ever slower. */
    @Test
    void uselessHintsAreShrunkTowardsTheMean() {
        RuleCheckingHost h = host(Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
        for (int i = 1; i <= 900; i++) {
            RuleCheckingHost.TestRequest c = h.take(i, i % 2 == 0 ? 100 : 1600); // hints say 1 : 16, runs are all alike
            assertEquals(1, c.tries.size(), "an idle worker takes job " + i);
            h.pass(400);
            h.settle(i, AttemptOutcome.SERVED);
        }
        // Believed as told, 40 s of work could not be done in any aim; shrunk, it is an ordinary job.
        assertEquals(1, h.take(300, 6000).tries.size());
        int taken = 0;
        for (int i = 301; i < 320; i++) {
            taken += h.take(i, 100).tries.size();
        }
        assertTrue(taken <= 4, "small hints are no longer small jobs: " + taken);
    }

    /**
     * Guards the saved-up cold budget: many nodes, each with a share below one job, must not starve new
     * workers.
     */
    @Test
    void aShareBelowOneJobStillLetsOneThroughInTime() {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 30));
        h.now = 50000;
        h.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
        for (int i = 1; i < 80; i++) {
            h.take(i, 500);
            h.pass(100);
            for (long id = 1; id <= i; id++) {
                RuleCheckingHost.TestRequest c = h.calls.get(id);
                if (!c.ended && c.tries.size() > 0) {
                    h.settle(id, AttemptOutcome.SERVED);
                }
            }
        }
        int sent = h.calls.values().stream().mapToInt(c -> c.tries.size()).sum();
        assertTrue(sent >= 1 && sent <= 12, "sent " + sent);
    }

    private static RuleCheckingHost eight() {
        EndpointEntry[] entries = new EndpointEntry[8];
        for (int i = 0; i < 8; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, 0, 0);
        }
        return host(Idempotency.READ_LIKE, DeduplicationScope.ALL, entries);
    }

    private static String sentTo(RuleCheckingHost h, long id, String key) {
        h.calls.put(id, new RuleCheckingHost.TestRequest());
        h.calls.get(id).spec = h.set.classes().get(0);
        h.calls.get(id).deadline = h.now + 9000;
        h.node.requestAccepted(h.us(), new PolicyRequest(id, 0, 0, Math.round((h.now + 9000) * 1000), 100, 1, 0, key));
        return h.calls.get(id).tries.get(0).worker;
    }

    /** Guards the shared store: jobs of a key stay together, and all nodes find the same place for it. */
    @Test
    void jobsOfAKeyGoWhereItIsKeptAndNodesAgree() {
        RuleCheckingHost one = eight(), other = eight();
        java.util.Set<String> places = new java.util.HashSet<>();
        for (int i = 1; i <= 40; i++) {
            String key = "fn:" + i % 10, at = sentTo(one, i, key);
            one.settle(i, AttemptOutcome.SERVED);
            assertEquals(at, sentTo(other, i, key), "another node, the same home");
            other.settle(i, AttemptOutcome.SERVED);
            places.add(key + at);
        }
        assertEquals(10, places.size(), "one place for each key: " + places);
    }

    /** Guards against a full worker: a key's home that is behind in its work is passed over. */
    @Test
    void aKeysHomeThatIsFullIsPassedOver() {
        RuleCheckingHost h = eight();
        java.util.Set<String> places = new java.util.HashSet<>();
        for (int i = 1; i <= 40 && places.size() < 2; i++) {
            places.add(sentTo(h, i, "fn:hot"));
        }
        assertTrue(places.size() > 1, "only " + places);
    }

    /** How many jobs of one key its home is given before another worker gets one. */
    private static int staysAtHome(int jobsBefore) {
        RuleCheckingHost h = eight();
        PolicySettings s = h.set; // nothing is told of starts: none comes late
        h.change(new PolicySettings(
                s.dispatcherCount(),
                0,
                0,
                true,
                true,
                false,
                0,
                true,
                2,
                0.1,
                0,
                s.classes(),
                List.of(),
                s.permissions(),
                s.rules()));
        for (int i = 1; i <= jobsBefore; i++) {
            sentTo(h, i, null);
        }
        h.pass(12_000); // the mean wait is settled
        String home = sentTo(h, 1000, "fn:hot");
        int stays = 1;
        while (sentTo(h, 1000 + stays, "fn:hot").equals(home)) {
            stays++;
        }
        return stays;
    }

    /** Guards slots that wait for a data set where all are behind: there a key stays longer at its home. */
    @Test
    void aMissIsDearerWhileJobsWait() {
        int calm = staysAtHome(0), behind = staysAtHome(48);
        assertTrue(behind > calm, behind + " where jobs wait, " + calm + " where none do");
    }

    /** Guards the queue of others, which no report shows: a job that starts late tells of it. */
    @Test
    void aLateStartTellsOfWorkThatNoReportShows() {
        RuleCheckingHost h = two();
        h.take(1, 300);
        String slow = h.calls.get(1L).tries.get(0).worker;
        h.pass(400);
        h.node.attemptProgressed(h.us(), 1, 0, slow, true, 0);
        h.settle(1, AttemptOutcome.SERVED);
        for (int i = 2; i <= 4; i++) {
            assertNotEquals(slow, h.take(i, 300).tries.get(0).worker, "job " + i);
            h.settle(i, AttemptOutcome.SERVED);
        }
    }

    /** Guards the backlog of wide jobs: one that takes two slots leaves no free one of two. */
    @Test
    void aWideJobFillsItsSlots() {
        RuleCheckingHost h = two();
        RuleCheckingHost.TestRequest c = h.calls.computeIfAbsent(1L, k -> new RuleCheckingHost.TestRequest());
        c.spec = h.set.classes().get(0);
        c.deadline = h.now + 9000;
        h.node.requestAccepted(h.us(), new PolicyRequest(1, 0, 0, Math.round((h.now + 9000) * 1000), 100, 2, 0));
        String wide = c.tries.get(0).worker;
        assertNotEquals(wide, h.take(2, 100).tries.get(0).worker);
        assertNotEquals(wide, h.take(3, 100).tries.get(0).worker, "the other has a slot left");
    }

    private static LoadReport report(double active, double free) {
        return new LoadReport(active, Double.NaN, Double.NaN, Double.NaN, free, Double.NaN);
    }

    private static RuleCheckingHost many(int nodes, EndpointEntry... entries) {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, nodes));
        h.list(EndpointListKind.CACHED_SNAPSHOT, entries);
        return h;
    }

    /** Guards nodes with little traffic, which hear of few starts: a full worker's report hides its queue. */
    @Test
    void aFewLateStartsTellOfTheWholeFleet() {
        EndpointEntry[] entries = new EndpointEntry[20];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, 0, 0);
        }
        RuleCheckingHost h = many(60, entries);
        List.of(entries).forEach(e -> h.reports.put(e.worker(), report(Double.NaN, 0)));
        for (int i = 1; i <= 6; i++) {
            RuleCheckingHost.TestRequest c = h.take(i, 300);
            h.pass(2500);
            for (RuleCheckingHost.TestAttempt t : c.tries) {
                h.node.attemptProgressed(h.us(), i, 0, t.worker, true, 0);
                h.pass(300);
                h.settle(i, AttemptOutcome.SERVED);
            }
        }
        int sent = 0;
        for (int i = 101; i <= 120; i++) {
            sent += h.take(i, 300).tries.size();
        }
        assertTrue(sent <= 5, "sent as if nobody waited at those not heard of: " + sent);
    }

    /** Guards the look: with many nodes own pushes tell nothing, so workers are asked first. */
    @Test
    void amongManyNodesAWorkerIsLookedAtBeforeItIsChosen() {
        RuleCheckingHost h = many(
                100,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        h.reports.put("a", report(9, 0));
        h.reports.put("b", report(9, 0));
        h.reports.put("c", report(0, 2));
        RuleCheckingHost.TestRequest c = h.take(1, 400);
        assertEquals(3, h.probes.size(), "the three cheapest at once");
        assertEquals("c", c.tries.get(0).worker, "the one that was seen to be idle");
        RuleCheckingHost alone = many(1, RuleCheckingHost.entry("a", 0, 0));
        alone.take(1, 400);
        assertTrue(alone.probes.isEmpty(), "where own pushes are the load there is no look");
    }

    /** Guards the rest of a worker that does not answer a look: hung, cut off, or slow to connect. */
    @Test
    void aWorkerThatDoesNotAnswerALookIsPassedOver() {
        RuleCheckingHost h = many(100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        h.mute.add("a");
        h.reports.put("b", report(1, 1));
        RuleCheckingHost.TestRequest c = h.take(1, 400);
        assertTrue(c.tries.isEmpty(), "held while an answer is out");
        h.pass(60);
        assertEquals("b", c.tries.get(0).worker);
        assertEquals("b", h.take(2, 400).tries.get(0).worker, "it rests");
    }

    /** False alarm: when no worker answers the look, the request is served all the same. */
    @Test
    void whenNoLookIsAnsweredTheRequestIsServedAllTheSame() {
        RuleCheckingHost h = many(100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        h.mute.add("a");
        h.mute.add("b");
        RuleCheckingHost.TestRequest c = h.take(1, 400);
        h.pass(1000);
        assertEquals(1, c.tries.size());
    }

    /** Guards an own stall: the look's timer comes before the answers that stand behind it in the queue. */
    @Test
    void afterAnOwnStallAnswersAreAwaitedATickMore() {
        RuleCheckingHost h = many(100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        h.mute.add("a");
        h.mute.add("b");
        h.pass(500);
        RuleCheckingHost.TestRequest c = h.take(1, 400);
        h.now += 700; // stands still: timers and answers pile up
        h.pass(1);
        assertTrue(c.tries.isEmpty(), "not judged by what it slept through");
        h.node.probeEnded(h.us(), "a", AttemptOutcome.SERVED, 700, report(0, 2));
        h.node.probeEnded(h.us(), "b", AttemptOutcome.SERVED, 700, report(9, 0));
        assertEquals("a", c.tries.get(0).worker);
    }

    /** Guards slow new connections: while they fail, a worker with an open one goes first, none is 'down'. */
    @Test
    void whileNewConnectionsFailSlowlyOpenOnesGoFirst() {
        EndpointEntry[] entries = new EndpointEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, i, 0);
        }
        RuleCheckingHost h = many(1, entries);
        RuleCheckingHost.TestRequest c = h.take(1, 100);
        String open = c.tries.get(0).worker;
        h.settle(1, AttemptOutcome.SERVED);
        for (int i = 0; i < 12; i++) {
            AttemptOutcome v = open.equals("w" + i) ? AttemptOutcome.SERVED : AttemptOutcome.CONNECT_FAILED;
            h.node.probeEnded(h.us(), "w" + i, v, 250, null);
        }
        assertTrue(h.log.size() < 6, "only the first are taken for down: " + h.log);
        h.pass(2000);
        assertEquals(open, h.take(2, 100).tries.get(0).worker);
    }

    /** Guards a worker that fails one class and serves the other: judged by class. */
    @Test
    void aWorkerFailingOneClassKeepsTheOther() {
        RequestClass spec = RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL);
        PolicySettings one = RuleCheckingHost.settings(spec, false, 1);
        RuleCheckingHost h = new RuleCheckingHost(new PolicySettings(
                1,
                0,
                0,
                true,
                true,
                true,
                1000,
                true,
                2,
                0.1,
                0,
                List.of(spec, spec),
                List.of(),
                one.permissions(),
                one.rules()));
        h.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        int firstAtA = 0, secondAtA = 0;
        for (int i = 1; i <= 40; i++) {
            RuleCheckingHost.TestRequest c = h.take(i, i % 2, 300, 0);
            h.pass(300);
            boolean atA = c.tries.get(0).worker.equals("a");
            firstAtA += i > 20 && i % 2 == 0 && atA ? 1 : 0;
            secondAtA += i > 20 && i % 2 == 1 && atA ? 1 : 0;
            h.settle(i, 0, i % 2 == 0 && atA ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
            for (int n = 1; n < c.tries.size(); n++) {
                h.settle(i, n, AttemptOutcome.SERVED);
            }
        }
        assertTrue(firstAtA <= 1, "the class that fails there is kept away: " + firstAtA);
        assertTrue(secondAtA >= 3, "the other is not: " + secondAtA);
    }

    /** A worker without room for a job's memory is no place to start it; absurd needs are as if none. */
    @Test
    void memoryDecidesWhereAJobCanStart() {
        RuleCheckingHost h = two();
        assertEquals("a", h.take(1, 0, 500, 1.5).tries.get(0).worker);
        assertEquals("b", h.take(2, 0, 100, 1.5).tries.get(0).worker);
        h.settle(2, AttemptOutcome.SERVED);
        assertEquals("b", h.take(3, 0, 100, 1).tries.get(0).worker, "a slot is free at a, but no memory");
        assertFalse(h.take(4, 0, 100, -3).tries.isEmpty());
        assertFalse(h.take(5, 0, 100, Double.NaN).tries.isEmpty());
        assertFalse(h.take(6, 0, 100, 1e9).tries.isEmpty());
    }

    /** Guards savings of cold budget: unused they lapse, so that a thousand nodes do not send at once. */
    @Test
    void savedColdBudgetLapses() {
        int sent = 0;
        for (int node = 0; node < 200; node++) {
            RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                    RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 200));
            h.node = new DispatchPolicy(h.set, node, h);
            h.now = 50000;
            h.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
            h.pass(6000); // all idle, then all have a request at once
            sent += h.take(1, 500).tries.size();
        }
        // 4 times 0.8 of two slots over a window of 1.5 s is 19 jobs of 500 ms
        assertTrue(sent <= 19, "sent " + sent);
    }

    @Test
    void contractBreaksAreRejectedPlainly() {
        RuleCheckingHost h = two();
        h.take(1, 300);
        assertThrows(
                IllegalStateException.class,
                () -> h.node.requestAccepted(h.us(), new PolicyRequest(1, 0, 0, 9999999, 1, 1, 0)));
        assertThrows(IllegalArgumentException.class, () -> h.node.timerExpired(0, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> h.node.requestAccepted(h.us(), new PolicyRequest(2, 9, 0, 9999999, 1, 1, 0)));
        assertThrows(
                IllegalArgumentException.class,
                () -> RuleCheckingHost.settings(
                        RuleCheckingHost.clazz(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL), false, 0));
        assertThrows(IllegalArgumentException.class, () -> new Tenant(-1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new PolicySettings(
                        1,
                        0,
                        0,
                        true,
                        true,
                        true,
                        0,
                        true,
                        2,
                        1,
                        -0.1,
                        h.set.classes(),
                        List.of(),
                        h.set.permissions(),
                        h.set.rules()));
    }

    @Test
    void absurdNumbersNeverReachTheValueFunction() {
        double[] odd = {Double.NaN, 0, -5, Double.POSITIVE_INFINITY, 1e300, Double.MIN_VALUE};
        RuleCheckingHost h = host(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                new EndpointEntry("a", EndpointLifecycle.ACTIVE, Double.NaN, -7, 3, 9, Double.NaN),
                new EndpointEntry("b", EndpointLifecycle.ACTIVE, -1, 0, 0, 0, 1e18));
        long id = 1;
        for (double x : odd) {
            RuleCheckingHost.TestRequest c = h.take(id, x);
            for (RuleCheckingHost.TestAttempt t : List.copyOf(c.tries)) {
                t.over = true;
                c.ended = true;
                h.node.attemptEnded(
                        h.us(), id, 0, t.worker, AttemptOutcome.SERVED, x, true, new LoadReport(x, x, x, x, x, x));
            }
            id++;
            h.pass(200);
        }
        h.pass(20000);
        assertFalse(h.take(id, 300).tries.isEmpty(), "end " + h.calls.get(id).end);
    }

    /**
     * Long legal sequences of every event and outcome in odd orders; the host asserts the rules on every
     * action.
     */
    @Test
    void rulesHoldOnLongRandomSequences() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            Idempotency effect = Idempotency.values()[seed % 3];
            DeduplicationScope group = DeduplicationScope.values()[seed / 3 % 3];
            RuleCheckingHost h = new RuleCheckingHost(
                    RuleCheckingHost.settings(RuleCheckingHost.clazz(effect, group), seed % 2 == 0, 1 + seed % 4));
            String[] ids = {"a", "b", "c", "d", "e"};
            h.list(
                    EndpointListKind.CACHED_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0),
                    RuleCheckingHost.entry("c", 1, 0));
            long next = 1;
            for (int step = 0; step < 1500; step++) {
                h.pass(random.nextInt(4) == 0 ? random.nextInt(300) : 0);
                for (var e : h.calls.entrySet()) { // the deadline's own time-out and the client's leaving
                    RuleCheckingHost.TestRequest c = e.getValue();
                    if (!c.ended && h.now >= c.deadline) {
                        h.now = Math.max(h.now, c.deadline);
                        assertTrue(c.tries.stream().anyMatch(t -> !t.over), "held past the deadline: lost");
                        c.deadline = h.now;
                        for (int n = 0; n < c.tries.size(); n++) {
                            if (!c.tries.get(n).over) {
                                h.settle(e.getKey(), n, AttemptOutcome.TIMED_OUT);
                            }
                        }
                        assertTrue(c.ended, "no answer at the deadline");
                    }
                }
                String w = ids[random.nextInt(ids.length)];
                switch (random.nextInt(9)) {
                    case 0, 1, 2 -> h.take(next++, random.nextInt(5) == 0 ? Double.NaN : random.nextInt(2000));
                    case 3, 4, 5 -> {
                        long id = 1 + random.nextLong(next);
                        RuleCheckingHost.TestRequest c = h.calls.get(id);
                        if (c != null && !c.tries.isEmpty() && !c.tries.get(c.tries.size() - 1).over) {
                            AttemptOutcome v = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                            h.settle(id, v == AttemptOutcome.TIMED_OUT ? AttemptOutcome.ERROR : v);
                        } else {
                            // repeated or unknown
                            h.node.attemptEnded(h.us(), id, 0, w, AttemptOutcome.SERVED, 1, true, null);
                        }
                    }
                    case 6 ->
                        h.list(
                                EndpointListKind.DELTA,
                                new EndpointEntry(
                                        w,
                                        EndpointLifecycle.values()[random.nextInt(3)],
                                        1,
                                        0,
                                        w.charAt(0) % 2,
                                        0,
                                        random.nextInt(3) == 0 ? h.now : 0));
                    case 7 -> h.node.probeEnded(h.us(), w, AttemptOutcome.values()[random.nextInt(8)], 1, null);
                    default -> {
                        h.node.attemptProgressed(
                                h.us(), 1 + random.nextLong(next), 0, w, random.nextBoolean(), random.nextDouble());
                        h.listFailed(EndpointWatchFailure.ENDED);
                    }
                }
            }
        }
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When a worker is ejected or backs off, and when it serves again. */
class OutlierDetectorTest {
    @Test
    void aSilentWorkerIsAvoided() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        for (int i = 1; i <= 3; i++) {
            host.accept(i, 300);
        }
        for (int step = 0; step < 40; step++) {
            host.advance(100);
            for (int i = 2; i <= 3; i++) {
                if (step == 2) {
                    host.endAttempt(i, AttemptOutcome.SERVED);
                }
            }
        }
        for (int i = 10; i < 13; i++) {
            assertNotEquals("a", host.accept(i, 300).attempts.get(0).worker);
        }
    }

    @Test
    void servesOnWhenAllWorkersLookSilent() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.accept(1, 300);
        host.accept(2, 300);
        host.advance(6000);
        RuleCheckingHost.TestRequest request = host.accept(3, 300);
        assertFalse(request.attempts.isEmpty(), "all suspected at once: keep serving");
    }

    @Test
    void aWorkerThatAnswersIsTrustedAgain() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        host.accept(1, 300);
        host.advance(5000);
        host.endAttempt(1, 0, AttemptOutcome.SERVED);
        boolean back = false;
        for (int i = 10; i < 16; i++) {
            back |= host.accept(i, 300).attempts.stream().anyMatch(attempt -> attempt.worker.equals("a"));
        }
        assertTrue(back);
    }

    @Test
    void anUnreachableWorkerIsEjectedAndComesBackInSlowStart() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest request = host.accept(1, 300);
        host.silentWorkers.add("a");
        host.endAttempt(1, AttemptOutcome.CONNECT_FAILED);
        assertEquals("b", request.attempts.get(1).worker);
        host.endAttempt(1, AttemptOutcome.SERVED);
        assertEquals("b", host.accept(2, 300).attempts.get(0).worker);
        host.advance(100);
        host.policy.probeEnded(host.nowUs(), "a", AttemptOutcome.CONNECT_FAILED, 1, null);
        host.silentWorkers.clear();
        host.advance(3000);
        host.accept(3, 300);
        host.endAttempt(3, AttemptOutcome.SERVED);
        assertTrue(host.probes.contains("a"), "probed when the fleet is looked at again");
        host.advance(1500); // a window's budget after its answer
        double sent = 0;
        for (int i = 10; i < 60; i++) {
            for (RuleCheckingHost.TestAttempt attempt : host.accept(i, 100).attempts) {
                sent += attempt.worker.equals("a") ? 100 : 0;
            }
        }
        assertTrue(sent > 0 && sent <= 4 * 0.31 * 2 * 1500, "sent " + sent);
    }

    /**
     * One connection that breaks must not cost a healthy worker its capacity: a probe at once shows that it is well.
     */
    @Test
    void oneBrokenConnectionIsNoRestart() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.STALE_CONNECTION_RESET
        }) {
            RuleCheckingHost host = RuleCheckingHost.withWorkers(
                    Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
            host.accept(1, 300);
            host.endAttempt(1, outcome);
            host.answerProbes();
            int taken = 0;
            for (int i = 10; i < 20; i++) {
                taken += host.accept(i, 100).attempts.size();
            }
            assertTrue(taken > 3, "as a warm worker, not a cold one: " + taken + " after " + outcome);
        }
    }

    /**
     * A worker that rejects is left alone for a while, and serves again after it.
     */
    @Test
    void aWorkerThatRejectsBacksOff() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest request = host.accept(1, 300);
        host.endAttempt(1, AttemptOutcome.REJECTED);
        assertEquals("b", request.attempts.get(1).worker);
        host.endAttempt(1, AttemptOutcome.SERVED);
        assertEquals("b", host.accept(2, 300).attempts.get(0).worker);
        host.endAttempt(2, AttemptOutcome.SERVED);
        host.advance(1000);
        assertEquals("a", host.accept(3, 300).attempts.get(0).worker, "and serves again");
    }

    /** Further attempts go to the one worker that is neither silent nor draining. */
    @Test
    void aSilentWorkerWhileAnotherDrains() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 900);
        assertEquals("a", request.attempts.get(0).worker);
        host.receiveList(EndpointListKind.DELTA, new EndpointEntry("b", EndpointLifecycle.DRAINING, 1, 0, 0, 0, 0));
        host.advance(9000);
        for (RuleCheckingHost.TestAttempt attempt : request.attempts.subList(1, request.attempts.size())) {
            assertEquals("c", attempt.worker);
        }
        assertEquals("c", host.accept(2, 300).attempts.get(0).worker, "neither the silent nor the draining one");
    }

    /** While new connections fail slowly, workers with an open one go first, and none is ejected. */
    @Test
    void whileNewConnectionsFailSlowlyWorkersWithOpenOnesGoFirst() {
        EndpointEntry[] entries = new EndpointEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, i, 0);
        }
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(1, entries);
        RuleCheckingHost.TestRequest request = host.accept(1, 100);
        String open = request.attempts.get(0).worker;
        host.endAttempt(1, AttemptOutcome.SERVED);
        for (int i = 0; i < 12; i++) {
            AttemptOutcome outcome = open.equals("w" + i) ? AttemptOutcome.SERVED : AttemptOutcome.CONNECT_FAILED;
            host.policy.probeEnded(host.nowUs(), "w" + i, outcome, 250, null);
        }
        assertTrue(host.log.size() < 6, "only the first are taken for down: " + host.log);
        host.advance(2000);
        assertEquals(open, host.accept(2, 100).attempts.get(0).worker);
    }

    /** A worker that fails one class and serves the other is judged by class. */
    @Test
    void aWorkerFailingOneClassKeepsTheOther() {
        RequestClass spec = RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL);
        PolicySettings one = RuleCheckingHost.settings(spec, false, 1);
        RuleCheckingHost host = new RuleCheckingHost(new PolicySettings(
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
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        int firstAtA = 0;
        int secondAtA = 0;
        for (int i = 1; i <= 40; i++) {
            RuleCheckingHost.TestRequest request = host.accept(i, i % 2, 300, 0);
            host.advance(300);
            boolean atA = request.attempts.get(0).worker.equals("a");
            firstAtA += i > 20 && i % 2 == 0 && atA ? 1 : 0;
            secondAtA += i > 20 && i % 2 == 1 && atA ? 1 : 0;
            host.endAttempt(i, 0, i % 2 == 0 && atA ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
            for (int n = 1; n < request.attempts.size(); n++) {
                host.endAttempt(i, n, AttemptOutcome.SERVED);
            }
        }
        assertTrue(firstAtA <= 1, "the class that fails there is kept away: " + firstAtA);
        assertTrue(secondAtA >= 3, "the other is not: " + secondAtA);
    }
}

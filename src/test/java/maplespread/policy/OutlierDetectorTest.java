package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When a worker is ejected or backs off, and when it is sent requests again. */
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

    /** A request is sent although all workers are silent. */
    @Test
    void requestsAreStillSentWhenAllWorkersLookSilent() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.accept(1, 300);
        host.accept(2, 300);
        host.advance(6000);
        RuleCheckingHost.TestRequest request = host.accept(3, 300);
        assertFalse(request.attempts.isEmpty(), "all workers look silent, so the request is still sent");
    }

    @Test
    void aSilentWorkerThatAnswersIsUsedAgain() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        host.accept(1, 300);
        host.advance(5000);
        host.endAttempt(1, 0, AttemptOutcome.SERVED);
        boolean usedAgain = false;
        for (int i = 10; i < 16; i++) {
            usedAgain |= host.accept(i, 300).attempts.stream().anyMatch(attempt -> attempt.worker.equals("a"));
        }
        assertTrue(usedAgain);
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
        assertTrue(host.probes.contains("a"), "the ejected worker is probed");
        host.advance(1500); // time for one window's slow-start budget after its answer
        double sent = 0;
        for (int i = 10; i < 60; i++) {
            for (RuleCheckingHost.TestAttempt attempt : host.accept(i, 100).attempts) {
                sent += attempt.worker.equals("a") ? 100 : 0;
            }
        }
        assertTrue(sent > 0 && sent <= 4 * 0.31 * 2 * 1500, "sent " + sent);
    }

    /**
     * Guards against a slow start after one broken connection, which would cost a healthy worker's capacity. A probe
     * follows at once, and its answer ends the ejection without a slow start.
     */
    @Test
    void oneBrokenConnectionDoesNotCauseASlowStart() {
        for (AttemptOutcome outcome : new AttemptOutcome[] {
            AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.STALE_CONNECTION_RESET
        }) {
            RuleCheckingHost host = RuleCheckingHost.withWorkers(
                    Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
            host.accept(1, 300);
            host.endAttempt(1, outcome);
            host.answerProbes();
            int sent = 0;
            for (int i = 10; i < 20; i++) {
                sent += host.accept(i, 100).attempts.size();
            }
            assertTrue(sent > 3, "not in slow start: " + sent + " requests after " + outcome);
        }
    }

    /** A worker that rejects a request is sent none during its backoff, and is used again after it. */
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
        assertEquals("a", host.accept(3, 300).attempts.get(0).worker, "used again after its backoff");
    }

    /** Further attempts go to the one worker that is neither silent nor draining. */
    @Test
    void attemptsAvoidASilentAndADrainingWorker() {
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
        assertEquals("c", host.accept(2, 300).attempts.get(0).worker, "neither the silent nor the draining worker");
    }

    /** While new connections time out, workers with an open connection are preferred, and few workers are ejected. */
    @Test
    void whileNewConnectionsTimeOutWorkersWithOpenOnesArePreferred() {
        EndpointEntry[] entries = new EndpointEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, i, 0);
        }
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(1, entries);
        RuleCheckingHost.TestRequest request = host.accept(1, 100);
        String connected = request.attempts.get(0).worker;
        host.endAttempt(1, AttemptOutcome.SERVED);
        for (int i = 0; i < 12; i++) {
            AttemptOutcome outcome = connected.equals("w" + i) ? AttemptOutcome.SERVED : AttemptOutcome.CONNECT_FAILED;
            host.policy.probeEnded(host.nowUs(), "w" + i, outcome, 250, null);
        }
        assertTrue(host.log.size() < 6, "only the first ones are ejected: " + host.log);
        host.advance(2000);
        assertEquals(connected, host.accept(2, 100).attempts.get(0).worker);
    }

    /** A worker that fails one request class and serves another is still sent requests of the other one. */
    @Test
    void aWorkerFailingOneClassKeepsTheOther() {
        RequestClass requestClass = RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL);
        PolicySettings settings = RuleCheckingHost.settings(requestClass, false, 1);
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
                List.of(requestClass, requestClass),
                List.of(),
                settings.permissions(),
                settings.rules()));
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        int failingAtA = 0;
        int servedAtA = 0;
        for (int i = 1; i <= 40; i++) {
            RuleCheckingHost.TestRequest request = host.accept(i, i % 2, 300, 0);
            host.advance(300);
            boolean atA = request.attempts.get(0).worker.equals("a");
            failingAtA += i > 20 && i % 2 == 0 && atA ? 1 : 0;
            servedAtA += i > 20 && i % 2 == 1 && atA ? 1 : 0;
            host.endAttempt(i, 0, i % 2 == 0 && atA ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
            for (int n = 1; n < request.attempts.size(); n++) {
                host.endAttempt(i, n, AttemptOutcome.SERVED);
            }
        }
        assertTrue(failingAtA <= 1, "requests of the failing class at a: " + failingAtA);
        assertTrue(servedAtA >= 3, "requests of the other class at a: " + servedAtA);
    }
}

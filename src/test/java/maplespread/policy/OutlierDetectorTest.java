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
            host.take(i, 300);
        }
        for (int step = 0; step < 40; step++) {
            host.pass(100);
            for (int i = 2; i <= 3; i++) {
                if (step == 2) {
                    host.settle(i, AttemptOutcome.SERVED);
                }
            }
        }
        for (int i = 10; i < 13; i++) {
            assertNotEquals("a", host.take(i, 300).tries.get(0).worker);
        }
    }

    @Test
    void servesOnWhenAllWorkersLookSilent() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.take(1, 300);
        host.take(2, 300);
        host.pass(6000);
        RuleCheckingHost.TestRequest c = host.take(3, 300);
        assertFalse(c.tries.isEmpty(), "all suspected at once: keep serving");
    }

    @Test
    void aWorkerThatAnswersIsTrustedAgain() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        host.take(1, 300);
        host.pass(5000);
        host.settle(1, 0, AttemptOutcome.SERVED);
        boolean back = false;
        for (int i = 10; i < 16; i++) {
            back |= host.take(i, 300).tries.stream().anyMatch(t -> t.worker.equals("a"));
        }
        assertTrue(back);
    }

    @Test
    void anUnreachableWorkerIsEjectedAndComesBackInSlowStart() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest c = host.take(1, 300);
        host.mute.add("a");
        host.settle(1, AttemptOutcome.CONNECT_FAILED);
        assertEquals("b", c.tries.get(1).worker);
        host.settle(1, AttemptOutcome.SERVED);
        assertEquals("b", host.take(2, 300).tries.get(0).worker);
        host.pass(100);
        host.node.probeEnded(host.us(), "a", AttemptOutcome.CONNECT_FAILED, 1, null);
        host.mute.clear();
        host.pass(3000);
        host.take(3, 300);
        host.settle(3, AttemptOutcome.SERVED);
        assertTrue(host.probes.contains("a"), "probed when the fleet is looked at again");
        host.pass(1500); // a window's budget after its answer
        double sent = 0;
        for (int i = 10; i < 60; i++) {
            for (RuleCheckingHost.TestAttempt t : host.take(i, 100).tries) {
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
            RuleCheckingHost host = RuleCheckingHost.withWorkers(
                    Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
            host.take(1, 300);
            host.settle(1, v);
            host.answerProbes();
            int taken = 0;
            for (int i = 10; i < 20; i++) {
                taken += host.take(i, 100).tries.size();
            }
            assertTrue(taken > 3, "as a warm worker, not a cold one: " + taken + " after " + v);
        }
    }

    /**
     * Guards the rest after 'full': attempt after attempt at a full worker. It could harm one that was full
     * briefly.
     */
    @Test
    void aWorkerThatRejectsBacksOff() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest c = host.take(1, 300);
        host.settle(1, AttemptOutcome.REJECTED);
        assertEquals("b", c.tries.get(1).worker);
        host.settle(1, AttemptOutcome.SERVED);
        assertEquals("b", host.take(2, 300).tries.get(0).worker);
        host.settle(2, AttemptOutcome.SERVED);
        host.pass(1000);
        assertEquals("a", host.take(3, 300).tries.get(0).worker, "and serves again");
    }

    /** Pair: a silent worker while another drains. The second copy goes to the one worker that is left. */
    @Test
    void aSilentWorkerWhileAnotherDrains() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        host.list(
                EndpointListKind.CACHED_SNAPSHOT,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        RuleCheckingHost.TestRequest c = host.take(1, 900);
        assertEquals("a", c.tries.get(0).worker);
        host.list(EndpointListKind.DELTA, new EndpointEntry("b", EndpointLifecycle.DRAINING, 1, 0, 0, 0, 0));
        host.pass(9000);
        for (RuleCheckingHost.TestAttempt t : c.tries.subList(1, c.tries.size())) {
            assertEquals("c", t.worker);
        }
        assertEquals("c", host.take(2, 300).tries.get(0).worker, "neither the silent nor the draining one");
    }

    /** Guards slow new connections: while they fail, a worker with an open one goes first, none is 'down'. */
    @Test
    void whileNewConnectionsFailSlowlyWorkersWithOpenOnesGoFirst() {
        EndpointEntry[] entries = new EndpointEntry[12];
        for (int i = 0; i < 12; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, i, 0);
        }
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(1, entries);
        RuleCheckingHost.TestRequest c = host.take(1, 100);
        String open = c.tries.get(0).worker;
        host.settle(1, AttemptOutcome.SERVED);
        for (int i = 0; i < 12; i++) {
            AttemptOutcome v = open.equals("w" + i) ? AttemptOutcome.SERVED : AttemptOutcome.CONNECT_FAILED;
            host.node.probeEnded(host.us(), "w" + i, v, 250, null);
        }
        assertTrue(host.log.size() < 6, "only the first are taken for down: " + host.log);
        host.pass(2000);
        assertEquals(open, host.take(2, 100).tries.get(0).worker);
    }

    /** Guards a worker that fails one class and serves the other: judged by class. */
    @Test
    void aWorkerFailingOneClassKeepsTheOther() {
        RequestClass spec = RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL);
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
        host.list(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        int firstAtA = 0, secondAtA = 0;
        for (int i = 1; i <= 40; i++) {
            RuleCheckingHost.TestRequest c = host.take(i, i % 2, 300, 0);
            host.pass(300);
            boolean atA = c.tries.get(0).worker.equals("a");
            firstAtA += i > 20 && i % 2 == 0 && atA ? 1 : 0;
            secondAtA += i > 20 && i % 2 == 1 && atA ? 1 : 0;
            host.settle(i, 0, i % 2 == 0 && atA ? AttemptOutcome.ERROR : AttemptOutcome.SERVED);
            for (int n = 1; n < c.tries.size(); n++) {
                host.settle(i, n, AttemptOutcome.SERVED);
            }
        }
        assertTrue(firstAtA <= 1, "the class that fails there is kept away: " + firstAtA);
        assertTrue(secondAtA >= 3, "the other is not: " + secondAtA);
    }
}

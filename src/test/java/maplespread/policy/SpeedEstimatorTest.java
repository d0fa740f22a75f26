package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How workers' speeds are estimated, and how estimates fade. */
class SpeedEstimatorTest {
    /** Returns how many requests are sent to a new worker after another one of its kind has run four. */
    private static int acceptedByNewWorker(boolean inSlowStart, double runMs) {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, inSlowStart ? 1000 : 0));
        for (int i = 1; i <= 4; i++) {
            RuleCheckingHost.TestRequest request = host.accept(i, 500);
            while (request.attempts.isEmpty()) {
                host.advance(100); // until its slow-start budget suffices
            }
            host.policy.attemptProgressed(host.nowUs(), i, 0, "a", true, 0);
            host.nowMs += runMs;
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
        host.receiveList(EndpointListKind.FULL_SNAPSHOT, RuleCheckingHost.entry("b", 0, 0));
        int accepted = 0;
        while (host.accept(1000 + accepted, 500).result.isEmpty()) {
            accepted++;
        }
        return accepted;
    }

    /**
     * Guards a kind's speed estimate after a mass start: most runs are then in slow start, and if they counted, the
     * capacity of warm workers would stay unused.
     */
    @Test
    void runsInSlowStartDoNotLowerTheSpeedOfTheirKind() {
        int acceptedOfFastKind = acceptedByNewWorker(false, 500);
        assertTrue(
                acceptedByNewWorker(false, 1500) < acceptedOfFastKind,
                "a worker of a slow kind is sent fewer requests");
        assertEquals(acceptedOfFastKind, acceptedByNewWorker(true, 1500));
    }

    /** Speed estimates fade, so that a worker that was slow is used again after it has recovered. */
    @Test
    void aWorkerThatWasSlowIsUsedAgain() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        for (int i = 1; i <= 40; i++) { // one at a time; a is ten times slower than b
            RuleCheckingHost.TestRequest request = host.accept(i, 300);
            host.advance(request.attempts.get(0).worker.equals("a") ? 3000 : 300);
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
        assertEquals("b", host.accept(100, 300).attempts.get(0).worker, "while a is estimated to be slow");
        host.endAttempt(100, AttemptOutcome.SERVED);
        host.advance(120000); // 12 times the shortest deadline
        boolean usedAgain = false;
        for (int i = 101; i < 105; i++) {
            usedAgain |= host.accept(i, 300).attempts.stream().anyMatch(attempt -> attempt.worker.equals("a"));
        }
        assertTrue(usedAgain, "a is never used again");
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How speeds are learnt and forgotten. */
class SpeedEstimatorTest {
    /** How many requests a new worker takes, after another of its kind has run four. */
    private static int acceptedByANewWorker(boolean cold, double runMs) {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, cold ? 1000 : 0));
        for (int i = 1; i <= 4; i++) {
            RuleCheckingHost.TestRequest request = host.accept(i, 500);
            while (request.attempts.isEmpty()) {
                host.advance(100); // its slow-start budget fills
            }
            host.policy.attemptProgressed(host.nowUs(), i, 0, "a", true, 0);
            host.nowMs += runMs;
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
        host.receiveList(EndpointListKind.FULL_SNAPSHOT, RuleCheckingHost.entry("b", 0, 0));
        int taken = 0;
        while (host.accept(1000 + taken, 500).result.isEmpty()) {
            taken++;
        }
        return taken;
    }

    /** After a mass start most runs are slow starts: taken for their kind's speed, they would waste warm capacity. */
    @Test
    void runsInSlowStartDoNotSlowTheirKind() {
        int after = acceptedByANewWorker(false, 500);
        assertTrue(acceptedByANewWorker(false, 1500) < after, "a slow kind takes less");
        assertEquals(after, acceptedByANewWorker(true, 1500));
    }

    /** Speeds fade: a worker once slow must be tried again after its trouble has ended. */
    @Test
    void aWorkerOnceSlowIsTriedAgain() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        for (int i = 1; i <= 40; i++) { // each alone; a is ten times slower than b
            RuleCheckingHost.TestRequest request = host.accept(i, 300);
            host.advance(request.attempts.get(0).worker.equals("a") ? 3000 : 300);
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
        assertEquals("b", host.accept(100, 300).attempts.get(0).worker, "while it is known to be slow");
        host.endAttempt(100, AttemptOutcome.SERVED);
        host.advance(120000); // some of the shortest deadline's multiples
        boolean again = false;
        for (int i = 101; i < 105; i++) {
            again |= host.accept(i, 300).attempts.stream().anyMatch(attempt -> attempt.worker.equals("a"));
        }
        assertTrue(again, "never tried again");
    }
}

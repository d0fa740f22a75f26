package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How far work hints are believed. */
class HintCalibrationTest {
    /**
     * Hints that say nothing must not count: else the worker that is given the small requests would look ever slower.
     */
    @Test
    void uselessHintsAreShrunkTowardsTheMean() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
        for (int i = 1; i <= 900; i++) {
            RuleCheckingHost.TestRequest request =
                    host.accept(i, i % 2 == 0 ? 100 : 1600); // hints say 1 : 16, runs are all alike
            assertEquals(1, request.attempts.size(), "an idle worker takes job " + i);
            host.advance(400);
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
        // Believed in full, 40 s of work would miss every objective; calibrated, it is an ordinary request.
        assertEquals(1, host.accept(300, 6000).attempts.size());
        int taken = 0;
        for (int i = 301; i < 320; i++) {
            taken += host.accept(i, 100).attempts.size();
        }
        assertTrue(taken <= 4, "small hints are no longer small jobs: " + taken);
    }
}

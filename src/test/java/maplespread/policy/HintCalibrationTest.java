package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How far work hints are believed. */
class HintCalibrationTest {
    /** Guards the learned trust in hints: without it the worker given small jobs would look ever slower. */
    @Test
    void uselessHintsAreShrunkTowardsTheMean() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
        for (int i = 1; i <= 900; i++) {
            RuleCheckingHost.TestRequest c =
                    host.take(i, i % 2 == 0 ? 100 : 1600); // hints say 1 : 16, runs are all alike
            assertEquals(1, c.tries.size(), "an idle worker takes job " + i);
            host.pass(400);
            host.settle(i, AttemptOutcome.SERVED);
        }
        // Believed as told, 40 s of work could not be done in any aim; shrunk, it is an ordinary job.
        assertEquals(1, host.take(300, 6000).tries.size());
        int taken = 0;
        for (int i = 301; i < 320; i++) {
            taken += host.take(i, 100).tries.size();
        }
        assertTrue(taken <= 4, "small hints are no longer small jobs: " + taken);
    }
}

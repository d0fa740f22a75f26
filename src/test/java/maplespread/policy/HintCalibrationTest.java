package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How far work hints are trusted. */
class HintCalibrationTest {
    /**
     * Guards against hints that do not correlate with the work: trusted, they would make the worker that runs the
     * requests with small hints look ever slower.
     */
    @Test
    void uselessHintsAreShrunkTowardsTheMean() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE, DeduplicationScope.ALL, RuleCheckingHost.entry("a", 0, 0));
        for (int i = 1; i <= 900; i++) {
            RuleCheckingHost.TestRequest request =
                    host.accept(i, i % 2 == 0 ? 100 : 1600); // hints differ by 1 : 16, all runs take the same time
            assertEquals(1, request.attempts.size(), "an idle worker accepts request " + i);
            host.advance(400);
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
        // Trusted in full, this hint would mean 40 s of work and miss every objective; calibrated, it is an ordinary
        // request.
        assertEquals(1, host.accept(300, 6000).attempts.size());
        int sent = 0;
        for (int i = 301; i < 320; i++) {
            sent += host.accept(i, 100).attempts.size();
        }
        assertTrue(sent <= 4, "requests with small hints count as ordinary ones: " + sent);
    }
}

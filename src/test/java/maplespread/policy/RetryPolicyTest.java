package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Where and when a request may be sent again. */
class RetryPolicyTest {
    @Test
    void aNonIdempotentRequestIsNotSentAgainOnceItMayHaveRun() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.CELL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.endAttempt(1, AttemptOutcome.ERROR);
        assertEquals(1, request.attempts.size());
        assertEquals(
                "failed",
                request.result,
                "no further attempt is allowed, so it fails at once and not after its objective");
        RuleCheckingHost.TestRequest rejected = host.accept(2, 500);
        host.endAttempt(2, AttemptOutcome.REJECTED);
        assertEquals(2, rejected.attempts.size(), "an attempt that never ran may be repeated");
    }

    @Test
    void aRequestWithAnIdempotencyKeyIsRepeatedInItsCellOnly() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.CELL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 1, 0),
                RuleCheckingHost.entry("c", 0, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        assertEquals("a", request.attempts.get(0).worker);
        host.endAttempt(1, AttemptOutcome.RESET);
        assertEquals("c", request.attempts.get(1).worker);
    }

    /** New requests go to another worker than the one whose connection broke, even if the list becomes stale. */
    @Test
    void aWorkerWithABrokenConnectionIsAvoidedUnderAStaleList() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.CELL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 1, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 300);
        host.silentWorkers.add("a");
        host.endAttempt(1, AttemptOutcome.RESET);
        host.listFailed(EndpointWatchFailure.ENDED);
        for (int i = 2; i < 5; i++) {
            for (RuleCheckingHost.TestAttempt attempt : host.accept(i, 300).attempts) {
                assertEquals("b", attempt.worker);
            }
        }
        // The request with the idempotency key may run on no other worker: its attempts are made at a, and then it
        // fails.
        for (int i = 0; i < 4 && !request.ended; i++) {
            host.endAttempt(1, request.attempts.size() - 1, AttemptOutcome.CONNECT_FAILED);
            host.advance(600);
        }
        assertEquals("failed", request.result);
    }
}

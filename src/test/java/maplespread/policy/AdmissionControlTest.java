package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a request is ended without a worker, and how. */
class AdmissionControlTest {
    @Test
    void rejectsEarlyWhenEveryBacklogIsPastTheObjective() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        int served = 0;
        RuleCheckingHost.TestRequest last = null;
        for (int i = 1; i <= 60; i++) {
            last = host.accept(i, 500);
            served += last.attempts.size();
        }
        assertEquals("rejected", last.result);
        assertTrue(served >= 4 && served < 40, "took " + served);
    }

    /**
     * A dispatcher that rejects all because of what it once learnt sends nothing and so learns nothing: it must send a
     * trial now and then. Here no worker answers, so only the trials go out.
     */
    @Test
    void aDispatcherThatRejectsAllTriesAWorkerNowAndThen() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        long id = 0;
        while (host.accept(++id, 500).result.isEmpty()) {
            assertTrue(id < 60, "all are taken");
        }
        int tried = 0;
        for (int i = 0; i < 110; i++) { // eleven seconds; the estimators remember ten
            host.advance(100);
            tried += host.accept(++id, 500).attempts.size();
        }
        assertTrue(tried >= 2 && tried <= 3, "tried " + tried);
    }

    @Test
    void failsWhenItsLastAttemptTimesOutAtTheDeadline() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.nowMs = request.deadlineMs;
        host.endAttempt(1, AttemptOutcome.TIMED_OUT);
        assertNotEquals("", request.result);
    }

    @Test
    void isAnsweredAtOnceWhenItsAttemptsAreUsed() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        while (request.result.isEmpty() && request.attempts.size() <= 4) {
            assertTrue(
                    request.attempts.stream().filter(attempt -> !attempt.ended).count() == 1, "out, or else answered");
            host.endAttempt(1, AttemptOutcome.ERROR);
            host.advance(
                    request.result.isEmpty() && request.attempts.get(request.attempts.size() - 1).ended
                            ? 500
                            : 0); // all back off
        }
        assertEquals("rejected", request.result);
    }

    @Test
    void isAnsweredWhenThereIsNoWorkerAtAll() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(Idempotency.NON_IDEMPOTENT, DeduplicationScope.CELL);
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.advance(1000);
        assertEquals("rejected", request.result);
    }
}

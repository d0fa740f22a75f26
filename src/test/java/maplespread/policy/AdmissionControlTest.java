package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When and how a request ends that no worker may run. */
class AdmissionControlTest {
    @Test
    void rejectsEarlyWhenEveryBacklogIsPastTheObjective() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        int attempts = 0;
        RuleCheckingHost.TestRequest last = null;
        for (int i = 1; i <= 60; i++) {
            last = host.accept(i, 500);
            attempts += last.attempts.size();
        }
        assertEquals("rejected", last.result);
        assertTrue(attempts >= 4 && attempts < 40, "attempts " + attempts);
    }

    /**
     * Guards against a dispatcher that rejects all requests forever: as long as it sends nothing, its estimates cannot
     * improve, so it must send a trial attempt now and then. No worker answers here, so only trial attempts are sent.
     */
    @Test
    void aDispatcherThatRejectsAllSendsTrialAttempts() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        long id = 0;
        while (host.accept(++id, 500).result.isEmpty()) {
            assertTrue(id < 60, "all requests are accepted");
        }
        int trials = 0;
        for (int i = 0; i < 110; i++) { // 11 s; the estimators remember 10 s
            host.advance(100);
            trials += host.accept(++id, 500).attempts.size();
        }
        assertTrue(trials >= 2 && trials <= 3, "trial attempts " + trials);
    }

    @Test
    void aRequestEndsWhenItsLastAttemptTimesOutAtTheDeadline() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.nowMs = request.deadlineMs;
        host.endAttempt(1, AttemptOutcome.TIMED_OUT);
        assertNotEquals("", request.result);
    }

    @Test
    void aRequestIsRejectedAtOnceWhenItsAttemptsAreUsed() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        while (request.result.isEmpty() && request.attempts.size() <= 4) {
            assertTrue(
                    request.attempts.stream().filter(attempt -> !attempt.ended).count() == 1,
                    "one attempt is in flight until the request ends");
            host.endAttempt(1, AttemptOutcome.ERROR);
            host.advance(
                    request.result.isEmpty() && request.attempts.get(request.attempts.size() - 1).ended
                            ? 500
                            : 0); // all workers back off
        }
        assertEquals("rejected", request.result);
    }

    @Test
    void aRequestIsRejectedWhenThereIsNoWorker() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(Idempotency.NON_IDEMPOTENT, DeduplicationScope.CELL);
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.advance(1000);
        assertEquals("rejected", request.result);
    }
}

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
            last = host.take(i, 500);
            served += last.tries.size();
        }
        assertEquals("refused", last.end);
        assertTrue(served >= 4 && served < 40, "took " + served);
    }

    /**
     * Guards against a node that turns all away because of what it once learnt: who sends nothing learns
     * nothing. Here no worker ever says a word more, so only the trials go out.
     */
    @Test
    void aDispatcherThatRejectsAllTriesAWorkerNowAndThen() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        long id = 0;
        while (host.take(++id, 500).end.isEmpty()) {
            assertTrue(id < 60, "all are taken");
        }
        int tried = 0;
        for (int i = 0; i < 110; i++) { // eleven seconds; the memory is ten
            host.pass(100);
            tried += host.take(++id, 500).tries.size();
        }
        assertTrue(tried >= 2 && tried <= 3, "tried " + tried);
    }

    @Test
    void failsWhenItsLastAttemptTimesOutAtTheDeadline() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest c = host.take(1, 500);
        host.now = c.deadline;
        host.settle(1, AttemptOutcome.TIMED_OUT);
        assertNotEquals("", c.end);
    }

    @Test
    void isAnsweredAtOnceWhenItsAttemptsAreUsed() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
        RuleCheckingHost.TestRequest c = host.take(1, 500);
        while (c.end.isEmpty() && c.tries.size() <= 4) {
            assertTrue(c.tries.stream().filter(t -> !t.over).count() == 1, "out, or else answered");
            host.settle(1, AttemptOutcome.ERROR);
            host.pass(c.end.isEmpty() && c.tries.get(c.tries.size() - 1).over ? 500 : 0); // all rest
        }
        assertEquals("refused", c.end);
    }

    @Test
    void isAnsweredWhenThereIsNoWorkerAtAll() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(Idempotency.NON_IDEMPOTENT, DeduplicationScope.CELL);
        RuleCheckingHost.TestRequest c = host.take(1, 500);
        host.pass(1000);
        assertEquals("refused", c.end);
    }
}

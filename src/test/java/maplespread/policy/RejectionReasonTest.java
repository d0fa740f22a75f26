package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Each reason for which the policy ends a request, in the situation that its documentation describes. */
class RejectionReasonTest {
    private static RuleCheckingHost withTwo(Idempotency idempotency) {
        return RuleCheckingHost.withWorkers(
                idempotency,
                DeduplicationScope.ALL,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0));
    }

    private static void assertEnded(String result, RejectionReason reason, RuleCheckingHost.TestRequest request) {
        assertEquals(result + " " + reason, request.result + " " + request.reason);
    }

    @Test
    void overloadedWhereEveryWorkerCostsMoreThanARejection() {
        RuleCheckingHost host = withTwo(Idempotency.READ_LIKE);
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        for (long id = 2; request.result.isEmpty() && id < 100; id++) {
            request = host.accept(id, 500);
        }
        assertEnded("rejected", RejectionReason.OVERLOADED, request);
    }

    @Test
    void noServerWhereAConfirmedListHasNoWorker() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(Idempotency.READ_LIKE, DeduplicationScope.ALL);
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        assertEquals("", request.result, "parked until its latency objective");
        host.advance(1000);
        assertEnded("rejected", RejectionReason.NO_SERVER, request);
    }

    @Test
    void listNotConfirmedWhereTheListMayBeOutOfDate() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 1));
        host.confirmsCachedList = false;
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0));
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.advance(1000);
        assertEnded("rejected", RejectionReason.LIST_NOT_CONFIRMED, request);
    }

    @Test
    void attemptsUsedAfterTheLastOne() {
        RuleCheckingHost host = withTwo(Idempotency.READ_LIKE);
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        for (int i = 0; i < 4; i++) {
            host.endAttempt(1, AttemptOutcome.ERROR);
        }
        assertEnded("rejected", RejectionReason.ATTEMPTS_USED, request);
    }

    @Test
    void outOfTimeWhereNoWaitIsLeft() {
        RuleCheckingHost host = RuleCheckingHost.withWorkers(Idempotency.READ_LIKE, DeduplicationScope.ALL);
        assertEnded("rejected", RejectionReason.OUT_OF_TIME, host.accept(1, 0, 500, 0, 300));
    }

    @Test
    void mayHaveRunEndsAsFailedAndNotAsRejected() {
        RuleCheckingHost host = withTwo(Idempotency.NON_IDEMPOTENT);
        RuleCheckingHost.TestRequest request = host.accept(1, 500);
        host.endAttempt(1, AttemptOutcome.ERROR);
        assertEnded("failed", RejectionReason.MAY_HAVE_RUN, request);
    }
}

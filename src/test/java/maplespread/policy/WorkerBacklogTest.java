package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How a worker's backlog is estimated. */
class WorkerBacklogTest {
    @Test
    void aPausedWorkerKeepsItsBacklog() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.accept(1, 800);
        host.accept(2, 100);
        host.endAttempt(2, AttemptOutcome.SERVED);
        host.advance(800);
        assertEquals("b", host.accept(3, 300).attempts.get(0).worker);
    }

    /** An attempt that a later one overtakes has a broken connection; it does not show that the worker has a queue. */
    @Test
    void anOvertakenAttemptIsCancelledAndSentAgain() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest overtaken = host.accept(1, 300);
        String worker = overtaken.attempts.get(0).worker;
        host.advance(250);
        long next = 2;
        while (!host.accept(next, 300).attempts.get(0).worker.equals(worker)) {
            next++;
        }
        assertEquals(0, host.cancellations);
        host.policy.attemptProgressed(host.nowUs(), next, 0, worker, true, 0);
        assertEquals(1, host.cancellations, "the attempt on the broken connection is cancelled");
        host.endAttempt(1, 0, AttemptOutcome.CANCELLED);
        assertEquals(2, overtaken.attempts.size());
    }

    /** Load of other dispatchers in a report counts as backlog. */
    @Test
    void reportedLoadOfOtherDispatchersDivertsRequests() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 2));
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.accept(1, 400);
        host.endAttempt(1, AttemptOutcome.SERVED);
        host.policy.probeEnded(
                host.nowUs(),
                "a",
                AttemptOutcome.SERVED,
                1,
                new LoadReport(9, Double.NaN, 1, Double.NaN, 0, Double.NaN));
        host.policy.probeEnded(
                host.nowUs(),
                "b",
                AttemptOutcome.SERVED,
                1,
                new LoadReport(0, Double.NaN, 0, Double.NaN, 2, Double.NaN));
        assertEquals("b", host.accept(2, 400).attempts.get(0).worker);
    }

    /** A late start shows that requests of other dispatchers are queued, even if no report shows them. */
    @Test
    void aLateStartShowsBacklogThatNoReportShows() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.accept(1, 300);
        String slow = host.requests.get(1L).attempts.get(0).worker;
        host.advance(400);
        host.policy.attemptProgressed(host.nowUs(), 1, 0, slow, true, 0);
        host.endAttempt(1, AttemptOutcome.SERVED);
        for (int i = 2; i <= 4; i++) {
            assertNotEquals(slow, host.accept(i, 300).attempts.get(0).worker, "request " + i);
            host.endAttempt(i, AttemptOutcome.SERVED);
        }
    }

    /** A request that needs two slots leaves none free at a worker with two. */
    @Test
    void aRequestThatNeedsTwoSlotsFillsTheWorker() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest request =
                host.requests.computeIfAbsent(1L, k -> new RuleCheckingHost.TestRequest());
        request.requestClass = host.settings.classes().get(0);
        request.deadlineMs = host.nowMs + 9000;
        host.policy.requestAccepted(
                host.nowUs(), new PolicyRequest(1, 0, 0, Math.round((host.nowMs + 9000) * 1000), 100, 2, 0));
        String full = request.attempts.get(0).worker;
        assertNotEquals(full, host.accept(2, 100).attempts.get(0).worker);
        assertNotEquals(full, host.accept(3, 100).attempts.get(0).worker, "the other worker has a free slot");
    }

    /** A dispatcher with little traffic observes few starts, and a full worker's report does not show its queue. */
    @Test
    void aFewLateStartsRaiseTheBacklogOfTheWholeFleet() {
        EndpointEntry[] entries = new EndpointEntry[20];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, 0, 0);
        }
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(60, entries);
        List.of(entries).forEach(e -> host.reports.put(e.worker(), RuleCheckingHost.report(Double.NaN, 0)));
        for (int i = 1; i <= 6; i++) {
            RuleCheckingHost.TestRequest request = host.accept(i, 300);
            host.advance(2500);
            for (RuleCheckingHost.TestAttempt attempt : request.attempts) {
                host.policy.attemptProgressed(host.nowUs(), i, 0, attempt.worker, true, 0);
                host.advance(300);
                host.endAttempt(i, AttemptOutcome.SERVED);
            }
        }
        int sent = 0;
        for (int i = 101; i <= 120; i++) {
            sent += host.accept(i, 300).attempts.size();
        }
        assertTrue(sent <= 5, "workers without observations also count as backlogged, sent: " + sent);
    }

    /** A request can start only where its memory is free; invalid memory needs count as none. */
    @Test
    void memoryDecidesWhereARequestCanStart() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        assertEquals("a", host.accept(1, 0, 500, 1.5).attempts.get(0).worker);
        assertEquals("b", host.accept(2, 0, 100, 1.5).attempts.get(0).worker);
        host.endAttempt(2, AttemptOutcome.SERVED);
        assertEquals("b", host.accept(3, 0, 100, 1).attempts.get(0).worker, "a slot is free at a, but no memory");
        assertFalse(host.accept(4, 0, 100, -3).attempts.isEmpty());
        assertFalse(host.accept(5, 0, 100, Double.NaN).attempts.isEmpty());
        assertFalse(host.accept(6, 0, 100, 1e9).attempts.isEmpty());
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What is known of the work at a worker. */
class WorkerBacklogTest {
    @Test
    void aPausedWorkerKeepsItsBacklog() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.take(1, 800);
        host.take(2, 100);
        host.settle(2, AttemptOutcome.SERVED);
        host.pass(800);
        assertEquals("b", host.take(3, 300).tries.get(0).worker);
    }

    /** Guards against connections that fall silent: a job that a later one has outrun tells of no queue. */
    @Test
    void anOvertakenAttemptIsPlacedAnew() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest silent = host.take(1, 300);
        String at = silent.tries.get(0).worker;
        host.pass(250);
        long next = 2;
        while (!host.take(next, 300).tries.get(0).worker.equals(at)) {
            next++;
        }
        assertEquals(0, host.cancels);
        host.node.attemptProgressed(host.us(), next, 0, at, true, 0);
        assertEquals(1, host.cancels, "its connection is dead, not the worker");
        host.settle(1, 0, AttemptOutcome.CANCELLED);
        assertEquals(2, silent.tries.size());
    }

    /** Others' load shown by reports counts as backlog. */
    @Test
    void reportedLoadOfOthersMovesWorkAway() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 2));
        host.list(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.take(1, 400);
        host.settle(1, AttemptOutcome.SERVED);
        host.node.probeEnded(
                host.us(), "a", AttemptOutcome.SERVED, 1, new LoadReport(9, Double.NaN, 1, Double.NaN, 0, Double.NaN));
        host.node.probeEnded(
                host.us(), "b", AttemptOutcome.SERVED, 1, new LoadReport(0, Double.NaN, 0, Double.NaN, 2, Double.NaN));
        assertEquals("b", host.take(2, 400).tries.get(0).worker);
    }

    /** Guards the queue of others, which no report shows: a job that starts late tells of it. */
    @Test
    void aLateStartTellsOfWorkThatNoReportShows() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.take(1, 300);
        String slow = host.calls.get(1L).tries.get(0).worker;
        host.pass(400);
        host.node.attemptProgressed(host.us(), 1, 0, slow, true, 0);
        host.settle(1, AttemptOutcome.SERVED);
        for (int i = 2; i <= 4; i++) {
            assertNotEquals(slow, host.take(i, 300).tries.get(0).worker, "job " + i);
            host.settle(i, AttemptOutcome.SERVED);
        }
    }

    /** Guards the backlog of wide jobs: one that takes two slots leaves no free one of two. */
    @Test
    void aWideRequestFillsItsSlots() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        RuleCheckingHost.TestRequest c = host.calls.computeIfAbsent(1L, k -> new RuleCheckingHost.TestRequest());
        c.spec = host.set.classes().get(0);
        c.deadline = host.now + 9000;
        host.node.requestAccepted(
                host.us(), new PolicyRequest(1, 0, 0, Math.round((host.now + 9000) * 1000), 100, 2, 0));
        String wide = c.tries.get(0).worker;
        assertNotEquals(wide, host.take(2, 100).tries.get(0).worker);
        assertNotEquals(wide, host.take(3, 100).tries.get(0).worker, "the other has a slot left");
    }

    /** Guards nodes with little traffic, which hear of few starts: a full worker's report hides its queue. */
    @Test
    void aFewLateStartsTellOfTheWholeFleet() {
        EndpointEntry[] entries = new EndpointEntry[20];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, 0, 0);
        }
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(60, entries);
        List.of(entries).forEach(e -> host.reports.put(e.worker(), RuleCheckingHost.report(Double.NaN, 0)));
        for (int i = 1; i <= 6; i++) {
            RuleCheckingHost.TestRequest c = host.take(i, 300);
            host.pass(2500);
            for (RuleCheckingHost.TestAttempt t : c.tries) {
                host.node.attemptProgressed(host.us(), i, 0, t.worker, true, 0);
                host.pass(300);
                host.settle(i, AttemptOutcome.SERVED);
            }
        }
        int sent = 0;
        for (int i = 101; i <= 120; i++) {
            sent += host.take(i, 300).tries.size();
        }
        assertTrue(sent <= 5, "sent as if nobody waited at those not heard of: " + sent);
    }

    /** A worker without room for a job's memory is no place to start it; absurd needs are as if none. */
    @Test
    void memoryDecidesWhereARequestCanStart() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        assertEquals("a", host.take(1, 0, 500, 1.5).tries.get(0).worker);
        assertEquals("b", host.take(2, 0, 100, 1.5).tries.get(0).worker);
        host.settle(2, AttemptOutcome.SERVED);
        assertEquals("b", host.take(3, 0, 100, 1).tries.get(0).worker, "a slot is free at a, but no memory");
        assertFalse(host.take(4, 0, 100, -3).tries.isEmpty());
        assertFalse(host.take(5, 0, 100, Double.NaN).tries.isEmpty());
        assertFalse(host.take(6, 0, 100, 1e9).tries.isEmpty());
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Probe rounds before a choice. */
class ProbeSchedulerTest {
    /** With many dispatchers own sends show little of the load, so workers are probed first. */
    @Test
    void amongManyDispatchersWorkersAreProbedBeforeOneIsChosen() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100,
                RuleCheckingHost.entry("a", 0, 0),
                RuleCheckingHost.entry("b", 0, 0),
                RuleCheckingHost.entry("c", 0, 0));
        host.reports.put("a", RuleCheckingHost.report(9, 0));
        host.reports.put("b", RuleCheckingHost.report(9, 0));
        host.reports.put("c", RuleCheckingHost.report(0, 2));
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        assertEquals(3, host.probes.size(), "the three cheapest at once");
        assertEquals("c", request.attempts.get(0).worker, "the one that was seen to be idle");
        RuleCheckingHost alone = RuleCheckingHost.amongDispatchers(1, RuleCheckingHost.entry("a", 0, 0));
        alone.accept(1, 400);
        assertTrue(alone.probes.isEmpty(), "where own pushes are the load there is no look");
    }

    /** A worker that does not answer a probe (hung, cut off, slow to connect) backs off. */
    @Test
    void aWorkerThatDoesNotAnswerAProbeIsPassedOver() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.silentWorkers.add("a");
        host.reports.put("b", RuleCheckingHost.report(1, 1));
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        assertTrue(request.attempts.isEmpty(), "held while an answer is out");
        host.advance(60);
        assertEquals("b", request.attempts.get(0).worker);
        assertEquals("b", host.accept(2, 400).attempts.get(0).worker, "it rests");
    }

    /** When no worker answers the probes, the request is served all the same. */
    @Test
    void whenNoProbeIsAnsweredTheRequestIsServedAllTheSame() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.silentWorkers.add("a");
        host.silentWorkers.add("b");
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        host.advance(1000);
        assertEquals(1, request.attempts.size());
    }

    /** After a pause of this process the round's timer comes before the answers that wait behind it. */
    @Test
    void afterAProcessPauseAnswersAreAwaitedATickMore() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.silentWorkers.add("a");
        host.silentWorkers.add("b");
        host.advance(500);
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        host.nowMs += 700; // the process pauses: timers and answers pile up
        host.advance(1);
        assertTrue(request.attempts.isEmpty(), "not judged by what it slept through");
        host.policy.probeEnded(host.nowUs(), "a", AttemptOutcome.SERVED, 700, RuleCheckingHost.report(0, 2));
        host.policy.probeEnded(host.nowUs(), "b", AttemptOutcome.SERVED, 700, RuleCheckingHost.report(9, 0));
        assertEquals("a", request.attempts.get(0).worker);
    }
}

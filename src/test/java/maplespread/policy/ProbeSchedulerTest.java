package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Probe rounds before a worker is chosen. */
class ProbeSchedulerTest {
    /** Among many dispatchers, one dispatcher's own attempts show little of the load, so workers are probed first. */
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
        assertEquals(3, host.probes.size(), "the three cheapest workers are probed at once");
        assertEquals("c", request.attempts.get(0).worker, "the worker whose report shows it idle");
        RuleCheckingHost single = RuleCheckingHost.amongDispatchers(1, RuleCheckingHost.entry("a", 0, 0));
        single.accept(1, 400);
        assertTrue(single.probes.isEmpty(), "no probes where the own attempts are all the load");
    }

    /** A worker that does not answer a probe (hung, cut off, slow to connect) backs off. */
    @Test
    void aWorkerThatDoesNotAnswerAProbeBacksOff() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.silentWorkers.add("a");
        host.reports.put("b", RuleCheckingHost.report(1, 1));
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        assertTrue(request.attempts.isEmpty(), "parked while a probe is not answered");
        host.advance(60);
        assertEquals("b", request.attempts.get(0).worker);
        assertEquals("b", host.accept(2, 400).attempts.get(0).worker, "a backs off");
    }

    /** If no worker answers the probes, the request is still sent. */
    @Test
    void aRequestIsSentWhenNoProbeIsAnswered() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.silentWorkers.add("a");
        host.silentWorkers.add("b");
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        host.advance(1000);
        assertEquals(1, request.attempts.size());
    }

    /**
     * Guards against workers blamed for a process pause: after it, the round's timer expires before the answers are
     * read.
     */
    @Test
    void afterAProcessPauseProbeAnswersAreAwaitedForAnotherTick() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.silentWorkers.add("a");
        host.silentWorkers.add("b");
        host.advance(500);
        RuleCheckingHost.TestRequest request = host.accept(1, 400);
        host.nowMs += 700; // a process pause: timers and answers accumulate
        host.advance(1);
        assertTrue(request.attempts.isEmpty(), "still parked after the process pause");
        host.policy.probeEnded(host.nowUs(), "a", AttemptOutcome.SERVED, 700, RuleCheckingHost.report(0, 2));
        host.policy.probeEnded(host.nowUs(), "b", AttemptOutcome.SERVED, 700, RuleCheckingHost.report(9, 0));
        assertEquals("a", request.attempts.get(0).worker);
    }
}

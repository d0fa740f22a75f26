package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Probe rounds before a choice. */
class ProbeSchedulerTest {
    /** Guards the look: with many nodes own pushes tell nothing, so workers are asked first. */
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
        RuleCheckingHost.TestRequest c = host.take(1, 400);
        assertEquals(3, host.probes.size(), "the three cheapest at once");
        assertEquals("c", c.tries.get(0).worker, "the one that was seen to be idle");
        RuleCheckingHost alone = RuleCheckingHost.amongDispatchers(1, RuleCheckingHost.entry("a", 0, 0));
        alone.take(1, 400);
        assertTrue(alone.probes.isEmpty(), "where own pushes are the load there is no look");
    }

    /** Guards the rest of a worker that does not answer a look: hung, cut off, or slow to connect. */
    @Test
    void aWorkerThatDoesNotAnswerAProbeIsPassedOver() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.mute.add("a");
        host.reports.put("b", RuleCheckingHost.report(1, 1));
        RuleCheckingHost.TestRequest c = host.take(1, 400);
        assertTrue(c.tries.isEmpty(), "held while an answer is out");
        host.pass(60);
        assertEquals("b", c.tries.get(0).worker);
        assertEquals("b", host.take(2, 400).tries.get(0).worker, "it rests");
    }

    /** False alarm: when no worker answers the look, the request is served all the same. */
    @Test
    void whenNoProbeIsAnsweredTheRequestIsServedAllTheSame() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.mute.add("a");
        host.mute.add("b");
        RuleCheckingHost.TestRequest c = host.take(1, 400);
        host.pass(1000);
        assertEquals(1, c.tries.size());
    }

    /** Guards an own stall: the look's timer comes before the answers that stand behind it in the queue. */
    @Test
    void afterAProcessPauseAnswersAreAwaitedATickMore() {
        RuleCheckingHost host = RuleCheckingHost.amongDispatchers(
                100, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        host.mute.add("a");
        host.mute.add("b");
        host.pass(500);
        RuleCheckingHost.TestRequest c = host.take(1, 400);
        host.now += 700; // stands still: timers and answers pile up
        host.pass(1);
        assertTrue(c.tries.isEmpty(), "not judged by what it slept through");
        host.node.probeEnded(host.us(), "a", AttemptOutcome.SERVED, 700, RuleCheckingHost.report(0, 2));
        host.node.probeEnded(host.us(), "b", AttemptOutcome.SERVED, 700, RuleCheckingHost.report(9, 0));
        assertEquals("a", c.tries.get(0).worker);
    }
}

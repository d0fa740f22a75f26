package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Which worker gets a request. */
class WorkerSelectorTest {
    @Test
    void takesTheWorkerWithTheLeastBacklog() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        assertEquals("a", host.take(1, 500).tries.get(0).worker);
        assertEquals("b", host.take(2, 500).tries.get(0).worker);
        host.settle(1, AttemptOutcome.SERVED);
        assertEquals("a", host.take(3, 500).tries.get(0).worker);
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Which worker gets a request. */
class WorkerSelectorTest {
    @Test
    void takesTheWorkerWithTheLeastBacklog() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        assertEquals("a", host.accept(1, 500).attempts.get(0).worker);
        assertEquals("b", host.accept(2, 500).attempts.get(0).worker);
        host.endAttempt(1, AttemptOutcome.SERVED);
        assertEquals("a", host.accept(3, 500).attempts.get(0).worker);
    }
}

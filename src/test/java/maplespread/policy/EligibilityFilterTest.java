package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Which workers may be sent no request. */
class EligibilityFilterTest {
    @Test
    void nothingNewGoesToADrainingOrAbsentWorker() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.receiveList(EndpointListKind.DELTA, new EndpointEntry("a", EndpointLifecycle.DRAINING, 1, 0, 0, 0, 0));
        for (int i = 1; i < 9; i++) {
            for (RuleCheckingHost.TestAttempt attempt : host.accept(i, 300).attempts) {
                assertEquals("b", attempt.worker);
            }
        }
        host.receiveList(EndpointListKind.FULL_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0));
        assertEquals("a", host.accept(20, 300).attempts.get(0).worker, "listed again, and b is gone");
    }
}

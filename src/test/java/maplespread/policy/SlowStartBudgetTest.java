package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a worker in slow start is sent. */
class SlowStartBudgetTest {
    @Test
    void aWorkerInSlowStartGetsOnlyItsShareOfTheBudget() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 2));
        host.now = 50000;
        host.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
        double sent = 0;
        for (int i = 1; i < 50; i++) {
            sent += host.take(i, 100).tries.size() * 100;
        }
        // 4 times present capacity (0.3 of at most 2 slots at speed 1) over 1.5 s, by two nodes
        assertTrue(sent > 0 && sent <= 4 * 0.31 * 2 * 1500 / 2, "sent " + sent);
    }

    /**
     * Guards the saved-up cold budget: many nodes, each with a share below one job, must not starve new
     * workers.
     */
    @Test
    void aShareBelowOneRequestStillLetsOneThroughInTime() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 30));
        host.now = 50000;
        host.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
        for (int i = 1; i < 80; i++) {
            host.take(i, 500);
            host.pass(100);
            for (long id = 1; id <= i; id++) {
                RuleCheckingHost.TestRequest c = host.calls.get(id);
                if (!c.ended && c.tries.size() > 0) {
                    host.settle(id, AttemptOutcome.SERVED);
                }
            }
        }
        int sent = host.calls.values().stream().mapToInt(c -> c.tries.size()).sum();
        assertTrue(sent >= 1 && sent <= 12, "sent " + sent);
    }

    /** Guards savings of cold budget: unused they lapse, so that a thousand nodes do not send at once. */
    @Test
    void unusedBudgetLapses() {
        int sent = 0;
        for (int node = 0; node < 200; node++) {
            RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                    RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 200));
            host.node = new DispatchPolicy(host.set, node, host);
            host.now = 50000;
            host.list(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
            host.pass(6000); // all idle, then all have a request at once
            sent += host.take(1, 500).tries.size();
        }
        // 4 times 0.8 of two slots over a window of 1.5 s is 19 jobs of 500 ms
        assertTrue(sent <= 19, "sent " + sent);
    }
}

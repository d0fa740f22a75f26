package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How much work a worker in slow start is sent. */
class SlowStartBudgetTest {
    @Test
    void aDispatcherSendsOnlyItsShareOfTheSlowStartBudget() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 2));
        host.nowMs = 50000;
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
        double sent = 0;
        for (int i = 1; i < 50; i++) {
            sent += host.accept(i, 100).attempts.size() * 100;
        }
        // 4 times the present capacity (0.3 of at most 2 slots at speed 1) over 1.5 s, divided by two dispatchers
        assertTrue(sent > 0 && sent <= 4 * 0.31 * 2 * 1500 / 2, "sent " + sent);
    }

    /** Guards against new workers without requests: each of many dispatchers has a share below one request. */
    @Test
    void aShareBelowOneRequestStillAllowsOneInTime() {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 30));
        host.nowMs = 50000;
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
        for (int i = 1; i < 80; i++) {
            host.accept(i, 500);
            host.advance(100);
            for (long id = 1; id <= i; id++) {
                RuleCheckingHost.TestRequest request = host.requests.get(id);
                if (!request.ended && request.attempts.size() > 0) {
                    host.endAttempt(id, AttemptOutcome.SERVED);
                }
            }
        }
        int sent = host.requests.values().stream()
                .mapToInt(request -> request.attempts.size())
                .sum();
        assertTrue(sent >= 1 && sent <= 12, "sent " + sent);
    }

    /** Unused budget expires, so that many dispatchers do not spend saved budgets at the same time. */
    @Test
    void unusedBudgetExpires() {
        int sent = 0;
        for (int dispatcher = 0; dispatcher < 200; dispatcher++) {
            RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                    RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, 200));
            host.policy = new DispatchPolicy(host.settings, dispatcher, host);
            host.nowMs = 50000;
            host.receiveList(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("new", 0, 49999));
            host.advance(6000); // all dispatchers are idle, then each has one request at the same time
            sent += host.accept(1, 500).attempts.size();
        }
        // 4 times 0.8 of two slots over a window of 1.5 s is 19 requests of 500 ms
        assertTrue(sent <= 19, "sent " + sent);
    }
}

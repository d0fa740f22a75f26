package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which workers the requests of one key go to. */
class KeyAffinityTest {
    private static RuleCheckingHost withEightWorkers() {
        EndpointEntry[] entries = new EndpointEntry[8];
        for (int i = 0; i < 8; i++) {
            entries[i] = RuleCheckingHost.entry("w" + i, 0, 0);
        }
        return RuleCheckingHost.withWorkers(Idempotency.READ_LIKE, DeduplicationScope.ALL, entries);
    }

    private static String sentTo(RuleCheckingHost host, long id, String key) {
        host.requests.put(id, new RuleCheckingHost.TestRequest());
        host.requests.get(id).requestClass = host.settings.classes().get(0);
        host.requests.get(id).deadlineMs = host.nowMs + 9000;
        host.policy.requestAccepted(
                host.nowUs(), new PolicyRequest(id, 0, 0, Math.round((host.nowMs + 9000) * 1000), 100, 1, 0, key));
        return host.requests.get(id).attempts.get(0).worker;
    }

    /** Requests of a key go to one worker, to spare the shared store, and all dispatchers choose the same worker. */
    @Test
    void requestsOfAKeyStayTogetherAndDispatchersAgree() {
        RuleCheckingHost first = withEightWorkers();
        RuleCheckingHost second = withEightWorkers();
        java.util.Set<String> workersByKey = new java.util.HashSet<>();
        for (int i = 1; i <= 40; i++) {
            String key = "fn:" + i % 10;
            String worker = sentTo(first, i, key);
            first.endAttempt(i, AttemptOutcome.SERVED);
            assertEquals(worker, sentTo(second, i, key), "another dispatcher, the same primary worker");
            second.endAttempt(i, AttemptOutcome.SERVED);
            workersByKey.add(key + worker);
        }
        assertEquals(10, workersByKey.size(), "one worker for each key: " + workersByKey);
    }

    /** A primary worker with a long backlog is passed over. */
    @Test
    void aFullPrimaryWorkerIsPassedOver() {
        RuleCheckingHost host = withEightWorkers();
        java.util.Set<String> workersByKey = new java.util.HashSet<>();
        for (int i = 1; i <= 40 && workersByKey.size() < 2; i++) {
            workersByKey.add(sentTo(host, i, "fn:hot"));
        }
        assertTrue(workersByKey.size() > 1, "only " + workersByKey);
    }

    /**
     * Returns how many requests of one key its primary worker is sent before another worker is sent one.
     *
     * @param earlierRequests requests without a key that are sent before
     */
    private static int requestsSentToPrimary(int earlierRequests) {
        RuleCheckingHost host = withEightWorkers();
        PolicySettings settings = host.settings; // workers do not report starts, so no start is late
        host.changeSettings(new PolicySettings(
                settings.dispatcherCount(),
                0,
                0,
                true,
                true,
                false,
                0,
                true,
                2,
                0.1,
                0,
                settings.classes(),
                List.of(),
                settings.permissions(),
                settings.rules()));
        for (int i = 1; i <= earlierRequests; i++) {
            sentTo(host, i, null);
        }
        host.advance(12_000); // the mean wait converges
        String primary = sentTo(host, 1000, "fn:hot");
        int sent = 1;
        while (sentTo(host, 1000 + sent, "fn:hot").equals(primary)) {
            sent++;
        }
        return sent;
    }

    /**
     * If requests wait at all workers, a slot that waits for a data set costs more, so a key stays longer at its
     * primary worker.
     */
    @Test
    void aCacheMissCostsMoreWhileRequestsWait() {
        int withoutBacklog = requestsSentToPrimary(0);
        int withBacklog = requestsSentToPrimary(48);
        assertTrue(
                withBacklog > withoutBacklog,
                withBacklog + " while requests wait, " + withoutBacklog + " while none do");
    }
}

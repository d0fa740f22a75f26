package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Where requests of one key go. */
class KeyAffinityTest {
    private static RuleCheckingHost eight() {
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

    /** Requests of a key stay together, to spare the shared store, and all dispatchers find the same worker for it. */
    @Test
    void requestsOfAKeyStayTogetherAndDispatchersAgree() {
        RuleCheckingHost one = eight();
        RuleCheckingHost other = eight();
        java.util.Set<String> places = new java.util.HashSet<>();
        for (int i = 1; i <= 40; i++) {
            String key = "fn:" + i % 10;
            String at = sentTo(one, i, key);
            one.endAttempt(i, AttemptOutcome.SERVED);
            assertEquals(at, sentTo(other, i, key), "another node, the same home");
            other.endAttempt(i, AttemptOutcome.SERVED);
            places.add(key + at);
        }
        assertEquals(10, places.size(), "one place for each key: " + places);
    }

    /** A primary worker with a long backlog is passed over. */
    @Test
    void aFullPrimaryWorkerIsPassedOver() {
        RuleCheckingHost host = eight();
        java.util.Set<String> places = new java.util.HashSet<>();
        for (int i = 1; i <= 40 && places.size() < 2; i++) {
            places.add(sentTo(host, i, "fn:hot"));
        }
        assertTrue(places.size() > 1, "only " + places);
    }

    /** How many requests of one key its primary worker is given before another worker gets one. */
    private static int staysAtPrimary(int jobsBefore) {
        RuleCheckingHost host = eight();
        PolicySettings s = host.settings; // starts are not reported, so none comes late
        host.changeSettings(new PolicySettings(
                s.dispatcherCount(),
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
                s.classes(),
                List.of(),
                s.permissions(),
                s.rules()));
        for (int i = 1; i <= jobsBefore; i++) {
            sentTo(host, i, null);
        }
        host.advance(12_000); // the mean wait is settled
        String home = sentTo(host, 1000, "fn:hot");
        int stays = 1;
        while (sentTo(host, 1000 + stays, "fn:hot").equals(home)) {
            stays++;
        }
        return stays;
    }

    /**
     * Where all workers queue, a slot that waits for a data set costs more: a key stays longer at its primary worker.
     */
    @Test
    void aMissIsDearerWhileRequestsWait() {
        int calm = staysAtPrimary(0);
        int behind = staysAtPrimary(48);
        assertTrue(behind > calm, behind + " where jobs wait, " + calm + " where none do");
    }
}

package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When a dispatcher polls discovery for the endpoint list. */
class DiscoveryPollBackoffTest {
    /** A host with two workers on a cached list that discovery has not confirmed. */
    private static RuleCheckingHost unconfirmed(long seed) {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        host.policy = new DispatchPolicy(host.settings, seed, host);
        host.confirmsCachedList = false;
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        return host;
    }

    /** Guards discovery against overload by a fleet that starts at one moment: the first polls are spread out. */
    @Test
    void firstPollsOfALargeFleetAreSpreadAndThoseOfASmallOneAreImmediate() {
        EndpointEntry[] workers = IntStream.range(0, 60)
                .mapToObj(i -> RuleCheckingHost.entry("w" + i, 0, 0))
                .toArray(EndpointEntry[]::new);
        double[] latestMs = new double[101];
        int[] pollsBySecond = new int[6];
        for (int fleet : new int[] {4, 100}) {
            for (int index = 0; index < fleet; index++) {
                RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                        RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL),
                        false,
                        fleet,
                        index));
                host.confirmsCachedList = false;
                host.receiveList(EndpointListKind.CACHED_SNAPSHOT, workers);
                double startMs = host.nowMs;
                while (host.watchCalls == 0) {
                    host.advance(10);
                }
                latestMs[fleet] = Math.max(latestMs[fleet], host.nowMs - startMs);
                pollsBySecond[fleet == 100 ? (int) (host.nowMs - startMs) / 1000 : 5]++;
            }
        }
        assertTrue(latestMs[4] <= 300, "last poll of 4 dispatchers after " + latestMs[4]);
        assertTrue(
                latestMs[100] > 3500 && latestMs[100] <= 4300, "last poll of 100 dispatchers after " + latestMs[100]);
        assertTrue(IntStream.range(0, 3).allMatch(s -> pollsBySecond[s] < 32), () -> Arrays.toString(pollsBySecond));
    }

    /**
     * Guards against sending to a worker that drained before this process started: nothing is sent by a cached list,
     * however and however long polls fail. Once confirmed, the list is used at once.
     */
    @Test
    void nothingIsSentByACachedListUntilDiscoveryConfirmsIt() {
        for (EndpointWatchFailure failure : EndpointWatchFailure.values()) {
            RuleCheckingHost host = unconfirmed(7);
            for (int i = 0; i < 20; i++) {
                int pollsBefore = host.watchCalls;
                host.advance(1000);
                assertEquals(0, host.accept(100 + i, 20).attempts.size(), failure + " after " + (i + 1) + " s");
                if (host.watchCalls > pollsBefore) {
                    host.listFailed(failure);
                }
            }
            assertEquals(List.of(), host.states, "the state does not change without a message");
            host.receiveList(
                    EndpointListKind.FULL_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0));
            assertEquals(List.of(EndpointListState.CONFIRMED), host.states);
            assertEquals(1, host.accept(2, 20).attempts.size(), "a confirmed list is used at once");
        }
    }

    @Test
    void theListIsPolledAgainAfterAFailure() {
        RuleCheckingHost host = unconfirmed(7);
        host.advance(400);
        assertEquals(1, host.watchCalls);
        host.listFailed(EndpointWatchFailure.ENDED);
        host.advance(5000);
        assertTrue(host.watchCalls >= 2, "polls " + host.watchCalls);
    }

    /**
     * Guards against a late poll after an outage. A change counts as notified after 6 s, whatever failed: a poll that
     * began just before discovery recovered may last 2.5 s, and the next one must still be answered within the 6 s.
     */
    @Test
    void noNumberOfFailuresDelaysTheNextPollTooLong() {
        RuleCheckingHost host = unconfirmed(7);
        host.advance(400);
        for (int i = 0; i < 40; i++) {
            int pollsBefore = host.watchCalls;
            host.listFailed(EndpointWatchFailure.ENDED);
            host.advance(2700);
            assertTrue(host.watchCalls > pollsBefore, "after " + i + " failures");
        }
    }

    /**
     * Guards against dispatchers that poll in step: each poll would queue behind earlier ones, which their dispatchers
     * have given up. A poll that had no answer for 2 s is followed by the next one after 0.8 s to 2.4 s, a watch that
     * broke at once sooner.
     */
    @Test
    void aPollWithoutAnAnswerIsFollowedByALaterOne() {
        double soonestMs = Double.MAX_VALUE;
        double latestMs = 0;
        for (int i = 0; i < 40; i++) {
            RuleCheckingHost host = unconfirmed(i);
            host.advance(400);
            host.advance(2000); // the poll waits for an answer
            host.listFailed(EndpointWatchFailure.ENDED);
            int pollsBefore = host.watchCalls;
            double endedAtMs = host.nowMs;
            while (host.watchCalls == pollsBefore) {
                host.advance(10);
            }
            soonestMs = Math.min(soonestMs, host.nowMs - endedAtMs);
            latestMs = Math.max(latestMs, host.nowMs - endedAtMs);
        }
        assertTrue(soonestMs >= 780 && latestMs > 1800 && latestMs <= 2700, soonestMs + " to " + latestMs);
    }

    /**
     * Guards against a dispatcher that never polls again: a change that does not confirm the list, as an address sends
     * that discovery has left, or a new subset, must not take back the poll that is due after a failure.
     */
    @Test
    void anUnconfirmedChangeTakesBackNoPoll() {
        RuleCheckingHost host = unconfirmed(7);
        host.advance(400);
        for (int i = 0; i < 10; i++) {
            host.listFailed(EndpointWatchFailure.NO_ANSWER);
            int pollsBefore = host.watchCalls;
            for (int j = 0; j < 9; j++) {
                host.receiveUnconfirmedChange();
                host.advance(300);
            }
            assertTrue(host.watchCalls > pollsBefore, "after failure " + i);
        }
    }
}

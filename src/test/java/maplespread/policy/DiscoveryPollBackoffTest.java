package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When one dispatcher asks discovery for the list. */
class DiscoveryPollBackoffTest {
    /** Two workers, by a cached list that discovery has not confirmed. */
    private static RuleCheckingHost unconfirmed(long seed) {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        host.policy = new DispatchPolicy(host.settings, seed, host);
        host.confirmsCachedList = false;
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        return host;
    }

    /** A whole fleet that starts in one instant must not overload discovery: the first calls come one after another. */
    @Test
    void firstCallsOfALargeFleetComeInTurnAndThoseOfASmallOneAtOnce() {
        EndpointEntry[] workers = IntStream.range(0, 60)
                .mapToObj(i -> RuleCheckingHost.entry("w" + i, 0, 0))
                .toArray(EndpointEntry[]::new);
        double[] latest = new double[101];
        int[] inASecond = new int[6];
        for (int fleet : new int[] {4, 100}) {
            for (int index = 0; index < fleet; index++) {
                RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                        RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL),
                        false,
                        fleet,
                        index));
                host.confirmsCachedList = false;
                host.receiveList(EndpointListKind.CACHED_SNAPSHOT, workers);
                double from = host.nowMs;
                while (host.watchCalls == 0) {
                    host.advance(10);
                }
                latest[fleet] = Math.max(latest[fleet], host.nowMs - from);
                inASecond[fleet == 100 ? (int) (host.nowMs - from) / 1000 : 5]++;
            }
        }
        assertTrue(latest[4] <= 300, "of 4 nodes after " + latest[4]);
        assertTrue(latest[100] > 3500 && latest[100] <= 4300, "of 100 nodes after " + latest[100]);
        assertTrue(IntStream.range(0, 3).allMatch(s -> inASecond[s] < 32), () -> Arrays.toString(inASecond));
    }

    /**
     * A worker on a cached list may have drained long ago: nothing is sent by it, however the calls end and however
     * long they fail. Once confirmed, it counts at once.
     */
    @Test
    void nothingIsSentByACachedListUntilDiscoveryHasSpoken() {
        for (EndpointWatchFailure loss : EndpointWatchFailure.values()) {
            RuleCheckingHost host = unconfirmed(7);
            for (int i = 0; i < 20; i++) {
                int asked = host.watchCalls;
                host.advance(1000);
                assertEquals(0, host.accept(100 + i, 20).attempts.size(), loss + " after " + (i + 1) + " s");
                if (host.watchCalls > asked) {
                    host.listFailed(loss);
                }
            }
            assertEquals(List.of(), host.states, "no change of the state without a word");
            host.receiveList(
                    EndpointListKind.FULL_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0));
            assertEquals(List.of(EndpointListState.CONFIRMED), host.states);
            assertEquals(1, host.accept(2, 20).attempts.size(), "confirmed, it is trusted at once");
        }
    }

    @Test
    void theListIsAskedForAgainAfterAFailure() {
        RuleCheckingHost host = unconfirmed(7);
        host.advance(400);
        assertEquals(1, host.watchCalls);
        host.listFailed(EndpointWatchFailure.ENDED);
        host.advance(5000);
        assertTrue(host.watchCalls >= 2, "watches " + host.watchCalls);
    }

    /**
     * A change counts as notified after six seconds, whatever failed: after a long outage a call that began just
     * before discovery came back may last 2.5 s, and the next one must still be answered in time.
     */
    @Test
    void noOutageDelaysTheNextCallTooLong() {
        RuleCheckingHost host = unconfirmed(7);
        host.advance(400);
        for (int i = 0; i < 40; i++) {
            int asked = host.watchCalls;
            host.listFailed(EndpointWatchFailure.ENDED);
            host.advance(2700);
            assertTrue(host.watchCalls > asked, "after " + i + " failures");
        }
    }

    /**
     * Calls in step would each find the queue of the last ones, which were given up by then: a call that waited two
     * seconds in vain is followed after 0.8 to 2.4 more, and one whose watch broke at once sooner.
     */
    @Test
    void aCallThatWaitedInVainIsFollowedLater() {
        double soonest = Double.MAX_VALUE;
        double latest = 0;
        for (int i = 0; i < 40; i++) {
            RuleCheckingHost host = unconfirmed(i);
            host.advance(400);
            host.advance(2000); // the call waits
            host.listFailed(EndpointWatchFailure.ENDED);
            int asked = host.watchCalls;
            double since = host.nowMs;
            while (host.watchCalls == asked) {
                host.advance(10);
            }
            soonest = Math.min(soonest, host.nowMs - since);
            latest = Math.max(latest, host.nowMs - since);
        }
        assertTrue(soonest >= 780 && latest > 1800 && latest <= 2700, soonest + " to " + latest);
    }
}

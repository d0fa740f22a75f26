package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When one dispatcher asks discovery for the list. */
class DiscoveryPollBackoffTest {
    /** Two workers, by a list held at the start that discovery has said nothing of yet. */
    private static RuleCheckingHost unconfirmed(long seed) {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        host.node = new DispatchPolicy(host.set, seed, host);
        host.confirms = false;
        host.list(
                EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("a", 0, 0), RuleCheckingHost.entry("b", 0, 0));
        return host;
    }

    /** Guards discovery against a whole fleet that starts in one instant: the first calls come one after another. */
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
                        RuleCheckingHost.clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, fleet, index));
                host.confirms = false;
                host.list(EndpointListKind.CACHED_SNAPSHOT, workers);
                double from = host.now;
                while (host.watches == 0) {
                    host.pass(10);
                }
                latest[fleet] = Math.max(latest[fleet], host.now - from);
                inASecond[fleet == 100 ? (int) (host.now - from) / 1000 : 5]++;
            }
        }
        assertTrue(latest[4] <= 300, "of 4 nodes after " + latest[4]);
        assertTrue(latest[100] > 3500 && latest[100] <= 4300, "of 100 nodes after " + latest[100]);
        assertTrue(IntStream.range(0, 3).allMatch(s -> inASecond[s] < 32), () -> Arrays.toString(inASecond));
    }

    /**
     * Guards the rule on drains at a start: what a list held from before names may have drained long ago, whatever
     * becomes of the calls, and however long they fail; confirmed, it is trusted at once.
     */
    @Test
    void nothingIsSentByACachedListUntilDiscoveryHasSpoken() {
        for (EndpointWatchFailure loss : EndpointWatchFailure.values()) {
            RuleCheckingHost host = unconfirmed(7);
            for (int i = 0; i < 20; i++) {
                int asked = host.watches;
                host.pass(1000);
                assertEquals(0, host.take(100 + i, 20).tries.size(), loss + " after " + (i + 1) + " s");
                if (host.watches > asked) {
                    host.listFailed(loss);
                }
            }
            assertEquals(List.of(), host.states, "no change of the state without a word");
            host.list(
                    EndpointListKind.FULL_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0));
            assertEquals(List.of(EndpointListState.CONFIRMED), host.states);
            assertEquals(1, host.take(2, 20).tries.size(), "confirmed, it is trusted at once");
        }
    }

    @Test
    void theListIsAskedForAgainAfterAFailure() {
        RuleCheckingHost host = unconfirmed(7);
        host.pass(400);
        assertEquals(1, host.watches);
        host.listFailed(EndpointWatchFailure.ENDED);
        host.pass(5000);
        assertTrue(host.watches >= 2, "watches " + host.watches);
    }

    /**
     * Guards the time in which a change counts as told, whatever failed: after a long outage a call that
     * began just before discovery came back may last its 2.5 s, and the next one is to be heard in time.
     */
    @Test
    void noOutageDelaysTheNextCallTooLong() {
        RuleCheckingHost host = unconfirmed(7);
        host.pass(400);
        for (int i = 0; i < 40; i++) {
            int asked = host.watches;
            host.listFailed(EndpointWatchFailure.ENDED);
            host.pass(2700);
            assertTrue(host.watches > asked, "after " + i + " failures");
        }
    }

    /**
     * Guards against calls in step that each find the queue of the last ones, dead by then: who has waited in
     * vain for two seconds comes after 0.8 to 2.4 more, and one whose watch broke at once comes sooner.
     */
    @Test
    void aCallThatWaitedInVainIsFollowedLater() {
        double soonest = Double.MAX_VALUE, latest = 0;
        for (int i = 0; i < 40; i++) {
            RuleCheckingHost host = unconfirmed(i);
            host.pass(400);
            host.pass(2000); // the call waits
            host.listFailed(EndpointWatchFailure.ENDED);
            int asked = host.watches;
            double since = host.now;
            while (host.watches == asked) {
                host.pass(10);
            }
            soonest = Math.min(soonest, host.now - since);
            latest = Math.max(latest, host.now - since);
        }
        assertTrue(soonest >= 780 && latest > 1800 && latest <= 2700, soonest + " to " + latest);
    }
}

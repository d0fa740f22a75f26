package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * In virtual time, 100 dispatchers poll one discovery, which answers 14 to 18 polls a second with a full snapshot, one
 * after another, and ends a poll after 2 s. Discovery also answers polls that were ended, so its
 * answers are wasted while its queue is longer than 2 s. All dispatchers must have an answer within a bound, after a
 * start and after an outage.
 *
 * <p>The bound: all snapshots together take at most 100 / 14 = 7.2 s, so by then discovery has worked off the first
 * polls, including those that were ended. A dispatcher whose poll was ended polls again at its turn in a round of
 * 5.5 s. A turn that still falls behind the first polls fails once more; in the round after it, fewer dispatchers poll
 * than discovery can answer. This makes 7.2 s + 2 x 5.5 s + 2 s.
 */
class DiscoveryPollScheduleTest {
    private static final int DISPATCHERS = 100;
    private static final int WORKERS = 90;
    private static final double STEP_MS = 10;
    private static final double POLL_TIMEOUT_MS = 2000;
    private static final double MAX_ALL_ANSWERED_MS = 7200 + 2 * 5500 + 2000;

    private static final class Call {
        final int dispatcher;
        final double startedAtMs;
        boolean ended;

        Call(int dispatcher, double startedAtMs) {
            this.dispatcher = dispatcher;
            this.startedAtMs = startedAtMs;
        }
    }

    private static final class Fleet {
        private final List<RuleCheckingHost> hosts = new ArrayList<>();
        private final int[] pollsSeen = new int[DISPATCHERS];
        private final Call[] openPolls = new Call[DISPATCHERS];
        private final boolean[] watching = new boolean[DISPATCHERS];
        private final Deque<Call> queue = new ArrayDeque<>();
        private final double answerMs;
        private final EndpointEntry[] entries = IntStream.range(0, WORKERS)
                .mapToObj(i -> RuleCheckingHost.entry("s" + i, 0, 0))
                .toArray(EndpointEntry[]::new);
        private boolean up = true;
        private double nowMs;
        private double idleAtMs;
        private int answered;

        Fleet(double listsPerSecond, long seed) {
            answerMs = 1000 / listsPerSecond;
            for (int i = 0; i < DISPATCHERS; i++) {
                RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                        RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL),
                        false,
                        DISPATCHERS,
                        i));
                host.policy = new DispatchPolicy(host.settings, seed + i, host);
                host.confirmsCachedList = false;
                host.receiveList(EndpointListKind.CACHED_SNAPSHOT, entries);
                hosts.add(host);
            }
        }

        void run(double ms) {
            for (double endMs = nowMs + ms; nowMs < endMs; ) {
                nowMs += STEP_MS;
                for (int i = 0; i < DISPATCHERS; i++) {
                    step(i);
                }
                serve();
            }
        }

        private void step(int i) {
            RuleCheckingHost host = hosts.get(i);
            host.advance(STEP_MS);
            if (host.watchCalls > pollsSeen[i]) {
                pollsSeen[i] = host.watchCalls;
                if (openPolls[i] == null && !watching[i]) {
                    openPolls[i] = new Call(i, nowMs);
                    if (up) {
                        queue.add(openPolls[i]);
                    }
                }
            }
            if (openPolls[i] != null && nowMs - openPolls[i].startedAtMs >= POLL_TIMEOUT_MS) {
                openPolls[i].ended = true;
                openPolls[i] = null;
                host.listFailed(EndpointWatchFailure.NO_ANSWER);
            }
        }

        private void serve() {
            while (up && !queue.isEmpty() && idleAtMs <= nowMs) {
                idleAtMs = Math.max(idleAtMs, nowMs) + answerMs;
                Call poll = queue.remove();
                if (!poll.ended) {
                    openPolls[poll.dispatcher] = null;
                    watching[poll.dispatcher] = true;
                    answered++;
                    hosts.get(poll.dispatcher).receiveList(EndpointListKind.FULL_SNAPSHOT, entries);
                }
            }
        }

        void stopDiscovery() {
            up = false;
            queue.clear();
            answered = 0;
            for (int i = 0; i < DISPATCHERS; i++) {
                if (watching[i]) {
                    watching[i] = false;
                    hosts.get(i).listFailed(EndpointWatchFailure.ENDED);
                }
            }
        }

        void startDiscovery() {
            up = true;
            idleAtMs = nowMs;
        }

        /** Runs until all dispatchers have an answer and returns how long that took, in milliseconds. */
        double runUntilAllAnswered() {
            double startMs = nowMs;
            while (answered < DISPATCHERS && nowMs - startMs < 120_000) {
                run(STEP_MS);
            }
            return nowMs - startMs;
        }
    }

    private static void assertWithinBound(double tookMs, String what) {
        assertTrue(tookMs <= MAX_ALL_ANSWERED_MS, what + ": " + Math.round(tookMs) + " ms");
    }

    @Test
    void allDispatchersAreAnsweredAfterAStart() {
        for (double rate : new double[] {14, 16, 18}) {
            for (long seed = 1; seed <= 3; seed++) {
                assertWithinBound(
                        new Fleet(rate, seed * 1000).runUntilAllAnswered(),
                        "after a start, " + rate + " lists a second");
            }
        }
    }

    @Test
    void allDispatchersAreAnsweredAfterAnOutage() {
        for (double rate : new double[] {14, 16, 18}) {
            for (double outageMs : new double[] {2000, 8000, 20_000, 60_000}) {
                Fleet fleet = new Fleet(rate, Math.round(outageMs));
                fleet.runUntilAllAnswered();
                fleet.run(5000);
                fleet.stopDiscovery();
                fleet.run(outageMs);
                fleet.startDiscovery();
                assertWithinBound(
                        fleet.runUntilAllAnswered(), "after " + outageMs + " ms, " + rate + " lists a second");
            }
        }
    }

    /** After a short restart of discovery during the polls, all dispatchers have an answer within one more bound. */
    @Test
    void allDispatchersAreAnsweredAfterARestartOfDiscovery() {
        for (double rate : new double[] {14, 16, 18}) {
            Fleet fleet = new Fleet(rate, 77);
            fleet.runUntilAllAnswered();
            fleet.stopDiscovery();
            fleet.run(8000);
            fleet.startDiscovery();
            fleet.run(3000);
            fleet.stopDiscovery();
            fleet.run(500);
            fleet.startDiscovery();
            assertWithinBound(fleet.runUntilAllAnswered(), "after a restart of discovery, " + rate + " lists a second");
        }
    }
}

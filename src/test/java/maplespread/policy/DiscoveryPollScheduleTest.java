package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * A hundred dispatchers and one discovery that answers 14 to 18 full snapshots a second, one call after another, and
 * ends a call after 2 s. It works on for callers that have given up, so a queue longer than that keeps it busy in
 * vain. All are answered within a bound, after a start and after an outage, in virtual time.
 *
 * <p>The bound: all snapshots together take at most 100 / 14 = 7.2 s, so by then the first wave of calls is done,
 * those given up too. A caller whose call was ended comes again at its turn in a round of 5.5 s; a turn that still
 * falls behind the first wave fails once more, and in the round after that fewer call than are answered: 7.2 + 2 x 5.5
 * + 2 s.
 */
class DiscoveryPollScheduleTest {
    private static final int DISPATCHERS = 100;
    private static final int SERVERS = 90;
    private static final double STEP_MS = 10;
    private static final double CALL_LIMIT_MS = 2000;
    private static final double BOUND_MS = 7200 + 2 * 5500 + 2000;

    private static final class Call {
        final int node;
        final double at;
        boolean dead;

        Call(int node, double at) {
            this.node = node;
            this.at = at;
        }
    }

    private static final class Fleet {
        private final List<RuleCheckingHost> nodes = new ArrayList<>();
        private final int[] asked = new int[DISPATCHERS];
        private final Call[] out = new Call[DISPATCHERS];
        private final boolean[] watching = new boolean[DISPATCHERS];
        private final Deque<Call> queue = new ArrayDeque<>();
        private final double listMs;
        private final EndpointEntry[] entries = IntStream.range(0, SERVERS)
                .mapToObj(i -> RuleCheckingHost.entry("s" + i, 0, 0))
                .toArray(EndpointEntry[]::new);
        private boolean up = true;
        private double now;
        private double freeAt;
        private int answered;

        Fleet(double listsPerSecond, long seed) {
            listMs = 1000 / listsPerSecond;
            for (int i = 0; i < DISPATCHERS; i++) {
                RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                        RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL),
                        false,
                        DISPATCHERS,
                        i));
                h.policy = new DispatchPolicy(h.settings, seed + i, h);
                h.confirmsCachedList = false;
                h.receiveList(EndpointListKind.CACHED_SNAPSHOT, entries);
                nodes.add(h);
            }
        }

        void run(double ms) {
            for (double end = now + ms; now < end; ) {
                now += STEP_MS;
                for (int i = 0; i < DISPATCHERS; i++) {
                    step(i);
                }
                serve();
            }
        }

        private void step(int i) {
            RuleCheckingHost h = nodes.get(i);
            h.advance(STEP_MS);
            if (h.watchCalls > asked[i]) {
                asked[i] = h.watchCalls;
                if (out[i] == null && !watching[i]) {
                    out[i] = new Call(i, now);
                    if (up) {
                        queue.add(out[i]);
                    }
                }
            }
            if (out[i] != null && now - out[i].at >= CALL_LIMIT_MS) {
                out[i].dead = true;
                out[i] = null;
                h.listFailed(EndpointWatchFailure.NO_ANSWER);
            }
        }

        private void serve() {
            while (up && !queue.isEmpty() && freeAt <= now) {
                freeAt = Math.max(freeAt, now) + listMs;
                Call call = queue.remove();
                if (!call.dead) {
                    out[call.node] = null;
                    watching[call.node] = true;
                    answered++;
                    nodes.get(call.node).receiveList(EndpointListKind.FULL_SNAPSHOT, entries);
                }
            }
        }

        void down() {
            up = false;
            queue.clear();
            answered = 0;
            for (int i = 0; i < DISPATCHERS; i++) {
                if (watching[i]) {
                    watching[i] = false;
                    nodes.get(i).listFailed(EndpointWatchFailure.ENDED);
                }
            }
        }

        void back() {
            up = true;
            freeAt = now;
        }

        /** How long until all have been answered. */
        double untilAll() {
            double from = now;
            while (answered < DISPATCHERS && now - from < 120_000) {
                run(STEP_MS);
            }
            return now - from;
        }
    }

    private static void within(double took, String what) {
        assertTrue(took <= BOUND_MS, what + ": " + Math.round(took) + " ms");
    }

    @Test
    void allAreAnsweredCold() {
        for (double rate : new double[] {14, 16, 18}) {
            for (long seed = 1; seed <= 3; seed++) {
                within(new Fleet(rate, seed * 1000).untilAll(), "cold, " + rate + " lists a second");
            }
        }
    }

    @Test
    void allAreAnsweredAfterAnOutage() {
        for (double rate : new double[] {14, 16, 18}) {
            for (double outage : new double[] {2000, 8000, 20_000, 60_000}) {
                Fleet fleet = new Fleet(rate, Math.round(outage));
                fleet.untilAll();
                fleet.run(5000);
                fleet.down();
                fleet.run(outage);
                fleet.back();
                within(fleet.untilAll(), "after " + outage + " ms, " + rate + " lists a second");
            }
        }
    }

    /** A short restart of discovery meanwhile costs as much again at most. */
    @Test
    void aRestartInTheMiddleDoesNotBeginItAnew() {
        for (double rate : new double[] {14, 16, 18}) {
            Fleet fleet = new Fleet(rate, 77);
            fleet.untilAll();
            fleet.down();
            fleet.run(8000);
            fleet.back();
            fleet.run(3000);
            fleet.down();
            fleet.run(500);
            fleet.back();
            within(fleet.untilAll(), "after a restart in the middle, " + rate + " lists a second");
        }
    }
}

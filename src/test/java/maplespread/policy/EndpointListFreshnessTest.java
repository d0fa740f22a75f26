package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The freshness of the endpoint list in virtual time: combines a lost watch, an outage, slow answers, a drain, a
 * restart of the dispatcher and a move of discovery in every order, and compares with what discovery has. No request
 * may go to a drained worker after the drain counts as notified, and requests are still sent during an outage in which
 * discovery could report no change.
 */
class EndpointListFreshnessTest {
    private static final double STEP_MS = 50;

    /** Time after which discovery ends a poll that has no answer. */
    private static final double POLL_TIMEOUT_MS = 2000;

    /** Time after which the host takes a watch without messages for broken. */
    private static final double SILENCE_TIMEOUT_MS = 3200;

    /** Time after which a change counts as notified. */
    private static final double NOTIFIED_AFTER_MS = 6000;

    /** Time after which a change counts as notified that was known at the address to which discovery moved. */
    private static final double NOTIFIED_AFTER_MOVE_MS = 4000;

    /** How long after a drain was notified a request may still reach the worker. */
    private static final double DRAIN_GRACE_MS = 250;

    /** Time that a restart takes: long enough that changes missed meanwhile count as notified at the start. */
    private static final double RESTART_MS = 10_000;

    private static final double RUN_MS = 45_000;

    /** What happens to the watch after 5 s. */
    private enum Loss {
        NONE,
        SILENT,
        RESET,
        OUTAGE
    }

    /**
     * One combination of events; times in milliseconds.
     *
     * @param outageMs duration of the outage; 0 without one
     * @param slowMs additional time that an answer takes, from the loss of the watch or the end of the outage
     * @param drainAt when one worker begins to drain; negative: never
     * @param restartAt when the dispatcher restarts; negative: never
     * @param moveAt when discovery moves; negative: never
     * @param silentAfterMove whether discovery does not answer after its move
     */
    private record Play(
            Loss loss,
            double outageMs,
            double slowMs,
            double drainAt,
            double restartAt,
            double moveAt,
            boolean silentAfterMove) {}

    /** Discovery, one dispatcher and the check of its requests, in virtual time. */
    private static final class World {
        private final Play combination;
        private final List<String> violations = new ArrayList<>();
        private RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        private final double start = host.nowMs;

        /** When the current restart ends; negative: none. */
        private double restartUntil = -1;

        private boolean moved;
        private int pollsSeen;

        /** When the open poll began; negative: none is open. */
        private double polledAt = -1;

        private boolean watching;
        private double silentSince = -1;
        private double lastMessageAt;

        /** When the drain counts as notified. */
        private double notifiedAt = Double.MAX_VALUE;

        private long ids;
        private int sent;
        private int accepted;

        World(Play combination) {
            this.combination = combination;
            startDispatcher();
        }

        private double now() {
            return host.nowMs - start;
        }

        private void startDispatcher() {
            double now = host.nowMs;
            host = new RuleCheckingHost(host.settings);
            host.nowMs = now;
            host.confirmsCachedList = false;
            host.receiveList(
                    EndpointListKind.CACHED_SNAPSHOT,
                    RuleCheckingHost.entry("stays", 0, 0),
                    RuleCheckingHost.entry("drains", 0, 0));
            pollsSeen = 0;
            polledAt = -1;
            watching = false;
            silentSince = -1;
        }

        private boolean up() {
            return combination.loss != Loss.OUTAGE || now() < 5000 || now() >= 5000 + combination.outageMs;
        }

        private double answerMs() {
            double from = combination.loss == Loss.OUTAGE ? 5000 + combination.outageMs : 5000;
            boolean silent = combination.silentAfterMove && moved;
            return silent ? Double.MAX_VALUE : now() >= from ? 20 + combination.slowMs : 20;
        }

        void run() {
            while (now() < RUN_MS) {
                host.advance(STEP_MS);
                runEvents();
                if (now() < restartUntil) {
                    continue;
                }
                runHost();
                sendRequest();
            }
        }

        private boolean isDue(double at) {
            return at >= 0 && now() >= at && now() - STEP_MS < at;
        }

        private void runEvents() {
            if (isDue(combination.drainAt)) {
                // Discovery learns of a drain during an outage when the outage ends.
                double known = up() ? now() : 5000 + combination.outageMs;
                notifiedAt = Math.min(notifiedAt, known + NOTIFIED_AFTER_MS);
                if (silentSince >= 0) {
                    notifiedAt = Math.min(notifiedAt, Math.max(now(), silentSince + NOTIFIED_AFTER_MS));
                }
                if (watching && silentSince < 0) {
                    notifiedAt = now();
                    sendList();
                }
            }
            if (isDue(combination.restartAt)) {
                restartUntil = now() + RESTART_MS;
            }
            if (restartUntil > 0 && now() >= restartUntil) {
                restartUntil = -1;
                startDispatcher();
            }
            if (isDue(combination.moveAt)) {
                moved = true;
                if (combination.drainAt >= 0
                        && combination.drainAt < now()) { // the new address has known of the drain for long
                    notifiedAt = Math.min(notifiedAt, now() + NOTIFIED_AFTER_MOVE_MS);
                }
                watching = false;
                host.policy.endpointListUnconfirmed(host.nowUs(), EndpointListDoubt.MOVED, 0);
                polledAt = now();
            }
            if (isDue(5000)) {
                loseWatch();
            }
        }

        private void loseWatch() {
            if (!watching) {
                return;
            }
            switch (combination.loss) {
                case SILENT -> {
                    silentSince = now();
                    lastMessageAt = now();
                }
                case RESET, OUTAGE -> {
                    watching = false;
                    host.policy.endpointWatchFailed(host.nowUs(), EndpointWatchFailure.ENDED, 0);
                }
                default -> {}
            }
        }

        /** Runs the host's part: restarts a silent watch and polls discovery when the policy requests it. */
        private void runHost() {
            if (watching && silentSince >= 0 && now() - lastMessageAt >= SILENCE_TIMEOUT_MS) {
                host.policy.endpointListUnconfirmed(host.nowUs(), EndpointListDoubt.SILENT, now() - lastMessageAt);
                watching = false;
                polledAt = now();
            }
            if (host.watchCalls > pollsSeen) {
                pollsSeen = host.watchCalls;
                if (!watching && polledAt < 0) {
                    polledAt = now();
                }
            }
            if (polledAt < 0) {
                return;
            }
            if (up() && now() - polledAt >= answerMs()) {
                polledAt = -1;
                watching = true;
                silentSince = -1;
                sendList();
            } else if (now() - polledAt >= POLL_TIMEOUT_MS) {
                polledAt = -1;
                host.policy.endpointWatchFailed(host.nowUs(), EndpointWatchFailure.NO_ANSWER, POLL_TIMEOUT_MS);
            }
        }

        private void sendList() {
            boolean drains = combination.drainAt >= 0 && now() >= combination.drainAt;
            EndpointLifecycle lifecycle = drains ? EndpointLifecycle.DRAINING : EndpointLifecycle.ACTIVE;
            host.receiveList(
                    EndpointListKind.FULL_SNAPSHOT,
                    RuleCheckingHost.entry("stays", 0, 0),
                    new EndpointEntry("drains", lifecycle, 1, 0, 0, 0, 0));
            if (drains) {
                notifiedAt = Math.min(notifiedAt, now());
            }
        }

        private void sendRequest() {
            if ((ids + 1) % 4 != 0) {
                ids++;
                return;
            }
            RuleCheckingHost.TestRequest request = host.accept(++ids, 20);
            accepted++;
            if (request.attempts.isEmpty()) {
                return;
            }
            sent++;
            if (request.attempts.get(0).worker.equals("drains") && now() > notifiedAt + DRAIN_GRACE_MS) {
                violations.add(
                        Math.round(now() - notifiedAt) + " ms late at " + Math.round(now()) + " in " + combination);
            }
            host.endAttempt(ids, AttemptOutcome.SERVED);
        }
    }

    private static World runWorld(Play combination) {
        World world = new World(combination);
        world.run();
        return world;
    }

    private static List<Play> everyCombination() {
        List<Play> all = new ArrayList<>();
        double[] drains = {-1, 3000, 5500, 9000, 16_000, 24_000, 31_000};
        double[] restarts = {-1, 6000, 15_000, 30_000};
        for (Loss loss : Loss.values()) {
            for (double outage : loss == Loss.OUTAGE ? new double[] {500, 2000, 8000, 20_000} : new double[] {0}) {
                for (double slow : new double[] {0, 1500, 60_000}) {
                    if (slow > POLL_TIMEOUT_MS && (loss == Loss.RESET || loss == Loss.OUTAGE)) {
                        continue; // looks like an outage without an end, which the next test covers
                    }
                    for (double drain : drains) {
                        for (double restart : restarts) {
                            all.add(new Play(loss, outage, slow, drain, restart, -1, false));
                        }
                        all.add(new Play(loss, outage, slow, drain, -1, 7000, false));
                        all.add(new Play(loss, outage, slow, drain, -1, 13_000, true));
                    }
                }
            }
        }
        return all;
    }

    @Test
    void noRequestGoesToADrainedWorkerInAnyOrderOfEvents() {
        List<String> violations = new ArrayList<>();
        List<Play> combinations = everyCombination();
        for (Play combination : combinations) {
            violations.addAll(runWorld(combination).violations.stream().limit(1).toList());
        }
        assertTrue(combinations.size() > 500, "combinations " + combinations.size());
        assertEquals(List.of(), violations, violations.size() + " of " + combinations.size() + " combinations");
    }

    /** Discovery can report no drain during the outage, so rejecting requests would only cost service. */
    @Test
    void requestsAreSentDuringAnOutageOfDiscovery() {
        World world = runWorld(new Play(Loss.OUTAGE, 60_000, 0, -1, -1, -1, false));
        assertTrue(world.sent >= world.accepted - 5, world.sent + " of " + world.accepted + " sent");
    }

    /** Once the list is confirmed again, requests are sent at once. */
    @Test
    void requestsAreSentAtOnceAfterAnotherConfirmation() {
        World world = runWorld(new Play(Loss.SILENT, 0, 0, -1, -1, -1, false));
        assertTrue(world.sent >= world.accepted - 5, world.sent + " of " + world.accepted + " sent");
    }

    /**
     * Checks each state transition. Columns: whether the list is polled or pushed; the events as {@code time:event}, in
     * milliseconds; the state after them; whether a request may be sent at 11,000 ms.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ask  | 9000:no_answer | UNCONFIRMED | false",
                "ask  | 9000:refused | UNCONFIRMED | false",
                "push | 9000:no_answer | UNCONFIRMED | false",
                "ask  | 0:confirmed | CONFIRMED | true",
                "ask  | 0:confirmed 6000:silent | RENEWING | true",
                "ask  | 0:confirmed 5000:silent | STALE | false",
                "ask  | 0:confirmed 5000:silent 7000:no_answer | STALE | false",
                "ask  | 0:confirmed 5000:silent 7000:refused | STALE | false",
                "push | 0:confirmed 5000:silent 7000:no_answer | UNREACHABLE | true",
                "ask  | 0:confirmed 5000:ended | STALE | false",
                "ask  | 0:confirmed 5000:ended 8000:no_answer | UNREACHABLE | true",
                "ask  | 0:confirmed 5000:ended 8000:ended | UNREACHABLE | true",
                "ask  | 0:confirmed 5000:ended 8000:not_asked | STALE | false",
                "ask  | 0:confirmed 1000:ended 4000:refused 8000:refused | UNREACHABLE | true",
                "ask  | 0:confirmed 1000:ended 4000:refused | STALE | false",
                "ask  | 0:confirmed 1000:ended 4000:refused 6000:no_answer | STALE | false",
                "ask  | 0:confirmed 1000:ended 4000:refused 6000:no_answer 8000:refused | STALE | false",
                "ask  | 0:confirmed 7600:moved | RENEWING | true",
                "ask  | 0:confirmed 7400:moved | STALE | false",
                "ask  | 0:confirmed 5000:moved 7000:refused | UNREACHABLE | true",
                "ask  | 0:confirmed 5000:moved 7000:no_answer | STALE | false",
                "ask  | 0:confirmed 1000:ended 3000:no_answer 9000:moved | RENEWING | true",
                "ask  | 0:confirmed 1000:ended 3000:no_answer 7000:moved | STALE | false",
                "ask  | 0:confirmed 1000:silent 7000:no_answer 9000:refused 10000:confirmed | CONFIRMED | true",
            })
    void eachEventLeadsToTheStateInTheTable(String mode, String events, EndpointListState state, boolean usable) {
        EndpointListState[] now = {EndpointListState.UNCONFIRMED};
        EndpointListFreshness freshness = new EndpointListFreshness((from, to, age) -> now[0] = to);
        freshness.applySettings(mode.equals("push"), 10_000);
        for (String event : events.split(" ")) {
            double at = Double.parseDouble(event.substring(0, event.indexOf(':')));
            String kind = event.substring(event.indexOf(':') + 1);
            freshness.usable(at);
            switch (kind) {
                case "confirmed" -> freshness.confirmed(at);
                case "silent" -> freshness.silent(at, 0);
                case "moved" -> freshness.moved(at);
                default -> freshness.failed(at, EndpointWatchFailure.valueOf(kind.toUpperCase(Locale.ROOT)), 0);
            }
        }
        assertEquals(usable, freshness.usable(11_000));
        assertEquals(state, now[0]);
    }
}

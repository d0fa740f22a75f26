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
 * The list's freshness at any time of a life: every order of a lost watch, an outage, slow answers, a drain, a restart
 * and a move of discovery is played in virtual time against a judge that knows what discovery has. No request goes to
 * a drained server later than the rule's time, and service goes on through an outage in which nothing could be had.
 */
class EndpointListFreshnessTest {
    private static final double STEP_MS = 50;
    private static final double CALL_LIMIT_MS = 2000; // discovery cuts a call that has waited so long
    private static final double SILENCE_SEEN_MS = 3200;
    private static final double NOTIFIED_MS = 6000;
    private static final double MOVE_NOTIFIED_MS = 4000;
    private static final double GRACE_MS = 250;
    private static final double DEAD_MS = 10_000; // long enough for what it missed to be due at the start
    private static final double LENGTH_MS = 45_000;

    /** What befalls the watch at five seconds. */
    private enum Loss {
        NONE,
        SILENT,
        RESET,
        OUTAGE
    }

    /**
     * {@code slowMs}: from the loss on, or from the outage's end on, answers take so long; {@code drainAt}, {@code
     * restartAt}, {@code moveAt}: negative where there is none. Milliseconds.
     */
    private record Play(
            Loss loss, double outageMs, double slowMs, double drainAt, double restartAt, double moveAt, boolean mute) {}

    /** Discovery, the node and the judge, in virtual time. */
    private static final class World {
        private final Play play;
        private final List<String> breaks = new ArrayList<>();
        private RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 1));
        private final double start = host.nowMs;
        private double deadUntil = -1;
        private boolean moved;
        private int asked;
        private double callAt = -1; // of the call that is out; negative: none is
        private boolean watching;
        private double silentSince = -1;
        private double heardAt;
        private double notifiedAt = Double.MAX_VALUE; // of the drain
        private long ids;
        private int sent;
        private int taken;

        World(Play play) {
            this.play = play;
            boot();
        }

        private double now() {
            return host.nowMs - start;
        }

        private void boot() {
            double now = host.nowMs;
            host = new RuleCheckingHost(host.settings);
            host.nowMs = now;
            host.confirmsCachedList = false;
            host.receiveList(
                    EndpointListKind.CACHED_SNAPSHOT,
                    RuleCheckingHost.entry("stays", 0, 0),
                    RuleCheckingHost.entry("drains", 0, 0));
            asked = 0;
            callAt = -1;
            watching = false;
            silentSince = -1;
        }

        private boolean up() {
            return play.loss != Loss.OUTAGE || now() < 5000 || now() >= 5000 + play.outageMs;
        }

        private double answerTakes() {
            double from = play.loss == Loss.OUTAGE ? 5000 + play.outageMs : 5000;
            boolean muted = play.mute && moved;
            return muted ? Double.MAX_VALUE : now() >= from ? 20 + play.slowMs : 20;
        }

        void run() {
            while (now() < LENGTH_MS) {
                host.advance(STEP_MS);
                events();
                if (now() < deadUntil) {
                    continue;
                }
                conversation();
                request();
            }
        }

        private boolean crossed(double at) {
            return at >= 0 && now() >= at && now() - STEP_MS < at;
        }

        private void events() {
            if (crossed(play.drainAt)) {
                // What is had during an outage is had when discovery is back.
                double had = up() ? now() : 5000 + play.outageMs;
                notifiedAt = Math.min(notifiedAt, had + NOTIFIED_MS);
                if (silentSince >= 0) {
                    notifiedAt = Math.min(notifiedAt, Math.max(now(), silentSince + NOTIFIED_MS));
                }
                if (watching && silentSince < 0) {
                    notifiedAt = now();
                    tell();
                }
            }
            if (crossed(play.restartAt)) {
                deadUntil = now() + DEAD_MS;
            }
            if (deadUntil > 0 && now() >= deadUntil) {
                deadUntil = -1;
                boot();
            }
            if (crossed(play.moveAt)) {
                moved = true;
                if (play.drainAt >= 0 && play.drainAt < now()) { // the other address has had it for long
                    notifiedAt = Math.min(notifiedAt, now() + MOVE_NOTIFIED_MS);
                }
                watching = false;
                host.policy.endpointListUnconfirmed(host.nowUs(), EndpointListDoubt.MOVED, 0);
                callAt = now();
            }
            if (crossed(5000)) {
                lose();
            }
        }

        private void lose() {
            if (!watching) {
                return;
            }
            switch (play.loss) {
                case SILENT -> {
                    silentSince = now();
                    heardAt = now();
                }
                case RESET, OUTAGE -> {
                    watching = false;
                    host.policy.endpointWatchFailed(host.nowUs(), EndpointWatchFailure.ENDED, 0);
                }
                default -> {}
            }
        }

        /** The host's part: a silent watch is begun anew, and what the node asks for is carried out. */
        private void conversation() {
            if (watching && silentSince >= 0 && now() - heardAt >= SILENCE_SEEN_MS) {
                host.policy.endpointListUnconfirmed(host.nowUs(), EndpointListDoubt.SILENT, now() - heardAt);
                watching = false;
                callAt = now();
            }
            if (host.watchCalls > asked) {
                asked = host.watchCalls;
                if (!watching && callAt < 0) {
                    callAt = now();
                }
            }
            if (callAt < 0) {
                return;
            }
            if (up() && now() - callAt >= answerTakes()) {
                callAt = -1;
                watching = true;
                silentSince = -1;
                tell();
            } else if (now() - callAt >= CALL_LIMIT_MS) {
                callAt = -1;
                host.policy.endpointWatchFailed(host.nowUs(), EndpointWatchFailure.NO_ANSWER, CALL_LIMIT_MS);
            }
        }

        private void tell() {
            boolean drains = play.drainAt >= 0 && now() >= play.drainAt;
            EndpointLifecycle health = drains ? EndpointLifecycle.DRAINING : EndpointLifecycle.ACTIVE;
            host.receiveList(
                    EndpointListKind.FULL_SNAPSHOT,
                    RuleCheckingHost.entry("stays", 0, 0),
                    new EndpointEntry("drains", health, 1, 0, 0, 0, 0));
            if (drains) {
                notifiedAt = Math.min(notifiedAt, now());
            }
        }

        private void request() {
            if ((ids + 1) % 4 != 0) {
                ids++;
                return;
            }
            RuleCheckingHost.TestRequest call = host.accept(++ids, 20);
            taken++;
            if (call.attempts.isEmpty()) {
                return;
            }
            sent++;
            if (call.attempts.get(0).worker.equals("drains") && now() > notifiedAt + GRACE_MS) {
                breaks.add(Math.round(now() - notifiedAt) + " ms late at " + Math.round(now()) + " in " + play);
            }
            host.endAttempt(ids, AttemptOutcome.SERVED);
        }
    }

    private static World played(Play play) {
        World world = new World(play);
        world.run();
        return world;
    }

    private static List<Play> everyOrder() {
        List<Play> all = new ArrayList<>();
        double[] drains = {-1, 3000, 5500, 9000, 16_000, 24_000, 31_000};
        double[] restarts = {-1, 6000, 15_000, 30_000};
        for (Loss loss : Loss.values()) {
            for (double outage : loss == Loss.OUTAGE ? new double[] {500, 2000, 8000, 20_000} : new double[] {0}) {
                for (double slow : new double[] {0, 1500, 60_000}) {
                    if (slow > CALL_LIMIT_MS && (loss == Loss.RESET || loss == Loss.OUTAGE)) {
                        continue; // an outage that never ends, by all that can be seen: the test after this one
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
    void nothingGoesToADrainedServerInAnyOrderOfEvents() {
        List<String> breaks = new ArrayList<>();
        List<Play> plays = everyOrder();
        for (Play play : plays) {
            breaks.addAll(played(play).breaks.stream().limit(1).toList());
        }
        assertTrue(plays.size() > 500, "plays " + plays.size());
        assertEquals(List.of(), breaks, breaks.size() + " of " + plays.size() + " plays");
    }

    /** Nothing could be had: neither a drain nor its end, so refusing would only cost service. */
    @Test
    void serviceGoesOnThroughAnOutageInWhichNothingCouldBeHad() {
        World world = played(new Play(Loss.OUTAGE, 60_000, 0, -1, -1, -1, false));
        assertTrue(world.sent >= world.taken - 5, world.sent + " of " + world.taken + " sent");
    }

    /** The node is no worse off than its watch: confirmed again, it serves at once. */
    @Test
    void whatIsConfirmedAnewServesAtOnce() {
        World world = played(new Play(Loss.SILENT, 0, 0, -1, -1, -1, false));
        assertTrue(world.sent >= world.taken - 5, world.sent + " of " + world.taken + " sent");
    }

    /**
     * Each move of the state alone. Events are {@code time:event}, milliseconds; what follows is the state and whether
     * a request may be sent at 11,000 ms, after a confirmation at 0 where the row begins with one.
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
    void eachEventMovesTheStateAsItsTableSays(String mode, String events, EndpointListState state, boolean usable) {
        EndpointListState[] now = {EndpointListState.UNCONFIRMED};
        EndpointListFreshness freshness = new EndpointListFreshness((from, to, age) -> now[0] = to);
        freshness.applySettings(mode.equals("push"), 10_000);
        for (String event : events.split(" ")) {
            double at = Double.parseDouble(event.substring(0, event.indexOf(':')));
            String what = event.substring(event.indexOf(':') + 1);
            freshness.usable(at);
            switch (what) {
                case "confirmed" -> freshness.confirmed(at);
                case "silent" -> freshness.silent(at, 0);
                case "moved" -> freshness.moved(at);
                default -> freshness.failed(at, EndpointWatchFailure.valueOf(what.toUpperCase(Locale.ROOT)), 0);
            }
        }
        assertEquals(usable, freshness.usable(11_000));
        assertEquals(state, now[0]);
    }
}

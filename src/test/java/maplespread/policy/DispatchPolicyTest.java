package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The policy as a whole: the contract of its events, absurd figures, and long random sequences. */
class DispatchPolicyTest {
    @Test
    void contractBreaksAreRejectedPlainly() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.take(1, 300);
        assertThrows(
                IllegalStateException.class,
                () -> host.node.requestAccepted(host.us(), new PolicyRequest(1, 0, 0, 9999999, 1, 1, 0)));
        assertThrows(IllegalArgumentException.class, () -> host.node.timerExpired(0, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> host.node.requestAccepted(host.us(), new PolicyRequest(2, 9, 0, 9999999, 1, 1, 0)));
        assertThrows(
                IllegalArgumentException.class,
                () -> RuleCheckingHost.settings(
                        RuleCheckingHost.clazz(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL), false, 0));
        assertThrows(IllegalArgumentException.class, () -> new Tenant(-1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new PolicySettings(
                        1,
                        0,
                        0,
                        true,
                        true,
                        true,
                        0,
                        true,
                        2,
                        1,
                        -0.1,
                        host.set.classes(),
                        List.of(),
                        host.set.permissions(),
                        host.set.rules()));
    }

    @Test
    void absurdNumbersNeverReachTheValueFunction() {
        double[] odd = {Double.NaN, 0, -5, Double.POSITIVE_INFINITY, 1e300, Double.MIN_VALUE};
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                new EndpointEntry("a", EndpointLifecycle.ACTIVE, Double.NaN, -7, 3, 9, Double.NaN),
                new EndpointEntry("b", EndpointLifecycle.ACTIVE, -1, 0, 0, 0, 1e18));
        long id = 1;
        for (double x : odd) {
            RuleCheckingHost.TestRequest c = host.take(id, x);
            for (RuleCheckingHost.TestAttempt t : List.copyOf(c.tries)) {
                t.over = true;
                c.ended = true;
                host.node.attemptEnded(
                        host.us(), id, 0, t.worker, AttemptOutcome.SERVED, x, true, new LoadReport(x, x, x, x, x, x));
            }
            id++;
            host.pass(200);
        }
        host.pass(20000);
        assertFalse(host.take(id, 300).tries.isEmpty(), "end " + host.calls.get(id).end);
    }

    /**
     * Long legal sequences of every event and outcome in odd orders; the host asserts the rules on every
     * action.
     */
    @Test
    void rulesHoldOnLongRandomSequences() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            Idempotency effect = Idempotency.values()[seed % 3];
            DeduplicationScope group = DeduplicationScope.values()[seed / 3 % 3];
            RuleCheckingHost host = new RuleCheckingHost(
                    RuleCheckingHost.settings(RuleCheckingHost.clazz(effect, group), seed % 2 == 0, 1 + seed % 4));
            String[] ids = {"a", "b", "c", "d", "e"};
            host.list(
                    EndpointListKind.CACHED_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0),
                    RuleCheckingHost.entry("c", 1, 0));
            long next = 1;
            for (int step = 0; step < 1500; step++) {
                host.pass(random.nextInt(4) == 0 ? random.nextInt(300) : 0);
                for (var e : host.calls.entrySet()) { // the deadline's own time-out and the client's leaving
                    RuleCheckingHost.TestRequest c = e.getValue();
                    if (!c.ended && host.now >= c.deadline) {
                        host.now = Math.max(host.now, c.deadline);
                        assertTrue(c.tries.stream().anyMatch(t -> !t.over), "held past the deadline: lost");
                        c.deadline = host.now;
                        for (int n = 0; n < c.tries.size(); n++) {
                            if (!c.tries.get(n).over) {
                                host.settle(e.getKey(), n, AttemptOutcome.TIMED_OUT);
                            }
                        }
                        assertTrue(c.ended, "no answer at the deadline");
                    }
                }
                String w = ids[random.nextInt(ids.length)];
                switch (random.nextInt(9)) {
                    case 0, 1, 2 -> host.take(next++, random.nextInt(5) == 0 ? Double.NaN : random.nextInt(2000));
                    case 3, 4, 5 -> {
                        long id = 1 + random.nextLong(next);
                        RuleCheckingHost.TestRequest c = host.calls.get(id);
                        if (c != null && !c.tries.isEmpty() && !c.tries.get(c.tries.size() - 1).over) {
                            AttemptOutcome v = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                            host.settle(id, v == AttemptOutcome.TIMED_OUT ? AttemptOutcome.ERROR : v);
                        } else {
                            // repeated or unknown
                            host.node.attemptEnded(host.us(), id, 0, w, AttemptOutcome.SERVED, 1, true, null);
                        }
                    }
                    case 6 ->
                        host.list(
                                EndpointListKind.DELTA,
                                new EndpointEntry(
                                        w,
                                        EndpointLifecycle.values()[random.nextInt(3)],
                                        1,
                                        0,
                                        w.charAt(0) % 2,
                                        0,
                                        random.nextInt(3) == 0 ? host.now : 0));
                    case 7 -> host.node.probeEnded(host.us(), w, AttemptOutcome.values()[random.nextInt(8)], 1, null);
                    default -> {
                        host.node.attemptProgressed(
                                host.us(), 1 + random.nextLong(next), 0, w, random.nextBoolean(), random.nextDouble());
                        host.listFailed(EndpointWatchFailure.ENDED);
                    }
                }
            }
        }
    }
}

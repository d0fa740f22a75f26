package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The policy as a whole: the contract of its events, invalid figures, and long random sequences. */
class DispatchPolicyTest {
    @Test
    void eventsThatBreakTheContractThrow() {
        RuleCheckingHost host = RuleCheckingHost.withTwoWorkers();
        host.accept(1, 300);
        assertThrows(
                IllegalStateException.class,
                () -> host.policy.requestAccepted(host.nowUs(), new PolicyRequest(1, 0, 0, 9999999, 1, 1, 0)));
        assertThrows(IllegalArgumentException.class, () -> host.policy.timerExpired(0, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> host.policy.requestAccepted(host.nowUs(), new PolicyRequest(2, 9, 0, 9999999, 1, 1, 0)));
        assertThrows(
                IllegalArgumentException.class,
                () -> RuleCheckingHost.settings(
                        RuleCheckingHost.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL), false, 0));
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
                        host.settings.classes(),
                        List.of(),
                        host.settings.permissions(),
                        host.settings.rules()));
    }

    @Test
    void invalidFiguresDoNotStopThePolicy() {
        double[] invalidFigures = {Double.NaN, 0, -5, Double.POSITIVE_INFINITY, 1e300, Double.MIN_VALUE};
        RuleCheckingHost host = RuleCheckingHost.withWorkers(
                Idempotency.READ_LIKE,
                DeduplicationScope.ALL,
                new EndpointEntry("a", EndpointLifecycle.ACTIVE, Double.NaN, -7, 3, 9, Double.NaN),
                new EndpointEntry("b", EndpointLifecycle.ACTIVE, -1, 0, 0, 0, 1e18));
        long id = 1;
        for (double figure : invalidFigures) {
            RuleCheckingHost.TestRequest request = host.accept(id, figure);
            for (RuleCheckingHost.TestAttempt attempt : List.copyOf(request.attempts)) {
                attempt.ended = true;
                request.ended = true;
                host.policy.attemptEnded(
                        host.nowUs(),
                        id,
                        0,
                        attempt.worker,
                        AttemptOutcome.SERVED,
                        figure,
                        true,
                        new LoadReport(figure, figure, figure, figure, figure, figure));
            }
            id++;
            host.advance(200);
        }
        host.advance(20000);
        assertFalse(host.accept(id, 300).attempts.isEmpty(), "result " + host.requests.get(id).result);
    }

    /** Long random sequences of all events and outcomes; {@link RuleCheckingHost} asserts the rules on every action. */
    @Test
    void rulesHoldOnLongRandomSequences() {
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            Idempotency idempotency = Idempotency.values()[seed % 3];
            DeduplicationScope scope = DeduplicationScope.values()[seed / 3 % 3];
            RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                    RuleCheckingHost.requestClass(idempotency, scope), seed % 2 == 0, 1 + seed % 4));
            String[] ids = {"a", "b", "c", "d", "e"};
            host.receiveList(
                    EndpointListKind.CACHED_SNAPSHOT,
                    RuleCheckingHost.entry("a", 0, 0),
                    RuleCheckingHost.entry("b", 0, 0),
                    RuleCheckingHost.entry("c", 1, 0));
            long nextId = 1;
            for (int step = 0; step < 1500; step++) {
                host.advance(random.nextInt(4) == 0 ? random.nextInt(300) : 0);
                for (var entry : host.requests.entrySet()) { // attempts time out at the deadline
                    RuleCheckingHost.TestRequest request = entry.getValue();
                    if (!request.ended && host.nowMs >= request.deadlineMs) {
                        host.nowMs = Math.max(host.nowMs, request.deadlineMs);
                        assertTrue(
                                request.attempts.stream().anyMatch(attempt -> !attempt.ended),
                                "a parked request has no result after its deadline");
                        request.deadlineMs = host.nowMs;
                        for (int number = 0; number < request.attempts.size(); number++) {
                            if (!request.attempts.get(number).ended) {
                                host.endAttempt(entry.getKey(), number, AttemptOutcome.TIMED_OUT);
                            }
                        }
                        assertTrue(request.ended, "no result at the deadline");
                    }
                }
                String worker = ids[random.nextInt(ids.length)];
                switch (random.nextInt(9)) {
                    case 0, 1, 2 -> host.accept(nextId++, random.nextInt(5) == 0 ? Double.NaN : random.nextInt(2000));
                    case 3, 4, 5 -> {
                        long id = 1 + random.nextLong(nextId);
                        RuleCheckingHost.TestRequest request = host.requests.get(id);
                        if (request != null
                                && !request.attempts.isEmpty()
                                && !request.attempts.get(request.attempts.size() - 1).ended) {
                            AttemptOutcome outcome =
                                    AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                            host.endAttempt(id, outcome == AttemptOutcome.TIMED_OUT ? AttemptOutcome.ERROR : outcome);
                        } else {
                            // a repeated outcome, or one of an unknown request
                            host.policy.attemptEnded(host.nowUs(), id, 0, worker, AttemptOutcome.SERVED, 1, true, null);
                        }
                    }
                    case 6 ->
                        host.receiveList(
                                EndpointListKind.DELTA,
                                new EndpointEntry(
                                        worker,
                                        EndpointLifecycle.values()[random.nextInt(3)],
                                        1,
                                        0,
                                        worker.charAt(0) % 2,
                                        0,
                                        random.nextInt(3) == 0 ? host.nowMs : 0));
                    case 7 ->
                        host.policy.probeEnded(
                                host.nowUs(), worker, AttemptOutcome.values()[random.nextInt(8)], 1, null);
                    default -> {
                        host.policy.attemptProgressed(
                                host.nowUs(),
                                1 + random.nextLong(nextId),
                                0,
                                worker,
                                random.nextBoolean(),
                                random.nextDouble());
                        host.listFailed(EndpointWatchFailure.ENDED);
                    }
                }
            }
        }
    }
}

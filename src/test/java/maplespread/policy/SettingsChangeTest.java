package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Settings that change while requests are in flight; the host asserts each request's own rules at every send. */
class SettingsChangeTest {
    private static PolicySettings settings(Idempotency idempotency, int maxAttempts) {
        PolicySettings current =
                RuleCheckingHost.settings(RuleCheckingHost.requestClass(idempotency, DeduplicationScope.ALL), true, 1);
        return new PolicySettings(
                1,
                0,
                0,
                true,
                true,
                true,
                1000,
                true,
                2,
                0.1,
                0,
                current.classes(),
                List.of(),
                new SitePermissions(true, true, true, maxAttempts, 250, 2000, 5000),
                current.rules());
    }

    private static RuleCheckingHost host(PolicySettings settings) {
        RuleCheckingHost host = new RuleCheckingHost(settings);
        host.receiveList(
                EndpointListKind.CACHED_SNAPSHOT,
                IntStream.range(0, 5)
                        .mapToObj(i -> RuleCheckingHost.entry("w" + i, 0, 0))
                        .toArray(EndpointEntry[]::new));
        return host;
    }

    /** A request ends by the settings under which it was accepted, however its class changes meanwhile. */
    @Property(tries = 300)
    void aRequestKeepsTheSettingsUnderWhichItWasAccepted(
            @ForAll Idempotency idempotencyBefore,
            @ForAll Idempotency idempotencyAfter,
            @ForAll @IntRange(min = 1, max = 4) int maxAttemptsBefore,
            @ForAll @IntRange(min = 1, max = 4) int maxAttemptsAfter,
            @ForAll boolean mayHaveRun) {
        PolicySettings before = settings(idempotencyBefore, maxAttemptsBefore);
        PolicySettings after = settings(idempotencyAfter, maxAttemptsAfter);
        RuleCheckingHost host = host(before);
        host.accept(1, 100);
        host.changeSettings(after);
        host.acceptUnder(before, 2);
        host.accept(3, 100);
        for (int i = 0; i < 300; i++) { // longer than the deadlines
            for (Map.Entry<Long, RuleCheckingHost.TestRequest> e : host.requests.entrySet()) {
                List<RuleCheckingHost.TestAttempt> attempts = e.getValue().attempts;
                if (!attempts.isEmpty() && !attempts.get(attempts.size() - 1).ended) {
                    host.endAttempt(e.getKey(), mayHaveRun ? AttemptOutcome.ERROR : AttemptOutcome.REJECTED);
                }
            }
            host.advance(50);
        }
        for (long id = 1; id <= 3; id++) {
            RuleCheckingHost.TestRequest request = host.requests.get(id);
            Idempotency idempotency = id == 3 ? idempotencyAfter : idempotencyBefore;
            int expectedAttempts = mayHaveRun && idempotency == Idempotency.NON_IDEMPOTENT
                    ? 1
                    : id == 3 ? maxAttemptsAfter : maxAttemptsBefore;
            assertEquals(expectedAttempts, request.attempts.size(), "attempts of " + id);
            assertEquals(
                    mayHaveRun && idempotency == Idempotency.NON_IDEMPOTENT ? "failed" : "rejected", request.result);
        }
    }

    private static int sentToAWorkerInSlowStart(PolicySettings settings) {
        RuleCheckingHost host = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 4));
        host.changeSettings(settings);
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("cold", 0, host.nowMs));
        int sent = 0;
        for (int i = 1; i <= 400; i++) {
            RuleCheckingHost.TestRequest request = host.accept(i, 10);
            host.advance(5);
            if (!request.attempts.isEmpty()) {
                sent += request.attempts.get(0).worker.equals("cold") ? 1 : 0;
                host.endAttempt(i, AttemptOutcome.SERVED);
            }
        }
        return sent;
    }

    /** During an upgrade, the two processes of one dispatcher send a worker in slow start no more than one would. */
    @Test
    void twoProcessesOfOneDispatcherKeepToTheSlowStartBudgetOfOne() {
        PolicySettings current = RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 4);
        PolicySettings single = new PolicySettings(
                4,
                0,
                0,
                true,
                true,
                true,
                1000,
                true,
                2,
                0.1,
                0,
                current.classes(),
                List.of(),
                current.permissions(),
                new PlatformRules(1000, 10000, 0.3, 9000, 1, 1500, 8)); // a worker in slow start is easily overloaded
        int byOne = sentToAWorkerInSlowStart(single);
        int byEach = sentToAWorkerInSlowStart(single.sharedByTwoProcesses());
        assertTrue(byOne > 6 && byEach > 0 && 2 * byEach <= byOne * 1.3, "twice " + byEach + ", alone " + byOne);
    }

    /** A worker that is avoided stays avoided after a change, and a change may add classes but not remove them. */
    @Test
    void workerStatesSurviveAChangeAndClassesAreOnlyAdded() {
        RuleCheckingHost host = host(settings(Idempotency.READ_LIKE, 4));
        String unreachable = host.accept(1, 100).attempts.get(0).worker;
        host.silentWorkers.add(unreachable);
        host.endAttempt(1, AttemptOutcome.CONNECT_FAILED);
        int avoided = host.policy.avoidedWorkers();
        assertTrue(avoided >= 1);
        RequestClass existing = host.settings.classes().get(0);
        host.changeSettings(host.settings.withClasses(
                List.of(existing, RuleCheckingHost.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL))));
        assertEquals(avoided, host.policy.avoidedWorkers());
        RuleCheckingHost.TestRequest request = host.accept(2, 1, 100, 0);
        host.endAttempt(2, AttemptOutcome.ERROR);
        host.advance(1000);
        assertEquals("failed", request.result, "the new class has its own idempotency");
        PolicySettings fewer = settings(Idempotency.NON_IDEMPOTENT, 1);
        assertThrows(IllegalArgumentException.class, () -> host.policy.settingsChanged(host.nowUs(), fewer));
    }
}

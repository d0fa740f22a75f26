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

/**
 * Settings that change while requests are in work; the host asserts each request's own rules at every send.
 */
class SettingsChangeTest {
    private static PolicySettings settings(Idempotency effect, int tries) {
        PolicySettings s =
                RuleCheckingHost.settings(RuleCheckingHost.requestClass(effect, DeduplicationScope.ALL), true, 1);
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
                s.classes(),
                List.of(),
                new SitePermissions(true, true, true, tries, 250, 2000, 5000),
                s.rules());
    }

    private static RuleCheckingHost host(PolicySettings set) {
        RuleCheckingHost h = new RuleCheckingHost(set);
        h.receiveList(
                EndpointListKind.CACHED_SNAPSHOT,
                IntStream.range(0, 5)
                        .mapToObj(i -> RuleCheckingHost.entry("w" + i, 0, 0))
                        .toArray(EndpointEntry[]::new));
        return h;
    }

    /** Whatever a class becomes, a request in flight ends by the settings under which it was accepted. */
    @Property(tries = 300)
    void aRequestKeepsTheRulesItWasTakenUnder(
            @ForAll Idempotency was,
            @ForAll Idempotency becomes,
            @ForAll @IntRange(min = 1, max = 4) int triesWere,
            @ForAll @IntRange(min = 1, max = 4) int triesBecome,
            @ForAll boolean mayHaveRun) {
        PolicySettings before = settings(was, triesWere);
        PolicySettings after = settings(becomes, triesBecome);
        RuleCheckingHost h = host(before);
        h.accept(1, 100);
        h.changeSettings(after);
        h.acceptUnder(before, 2);
        h.accept(3, 100);
        for (int i = 0; i < 300; i++) { // longer than their deadlines
            for (Map.Entry<Long, RuleCheckingHost.TestRequest> e : h.requests.entrySet()) {
                List<RuleCheckingHost.TestAttempt> tries = e.getValue().attempts;
                if (!tries.isEmpty() && !tries.get(tries.size() - 1).ended) {
                    h.endAttempt(e.getKey(), mayHaveRun ? AttemptOutcome.ERROR : AttemptOutcome.REJECTED);
                }
            }
            h.advance(50);
        }
        for (long id = 1; id <= 3; id++) {
            RuleCheckingHost.TestRequest request = h.requests.get(id);
            Idempotency effect = id == 3 ? becomes : was;
            int most = mayHaveRun && effect == Idempotency.NON_IDEMPOTENT ? 1 : id == 3 ? triesBecome : triesWere;
            assertEquals(most, request.attempts.size(), "attempts of " + id);
            assertEquals(mayHaveRun && effect == Idempotency.NON_IDEMPOTENT ? "failed" : "rejected", request.result);
        }
    }

    private static int sentToACold(PolicySettings set) {
        RuleCheckingHost h = new RuleCheckingHost(RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 4));
        h.changeSettings(set);
        h.receiveList(EndpointListKind.CACHED_SNAPSHOT, RuleCheckingHost.entry("cold", 0, h.nowMs));
        int sent = 0;
        for (int i = 1; i <= 400; i++) {
            RuleCheckingHost.TestRequest request = h.accept(i, 10);
            h.advance(5);
            if (!request.attempts.isEmpty()) {
                sent += request.attempts.get(0).worker.equals("cold") ? 1 : 0;
                h.endAttempt(i, AttemptOutcome.SERVED);
            }
        }
        return sent;
    }

    /** Two processes of one dispatcher, in an upgrade, send a worker in slow start no more than the one would. */
    @Test
    void twoProcessesOfOneNodeSendAColdWorkerWhatOneWould() {
        PolicySettings s = RuleCheckingHost.settings(
                RuleCheckingHost.requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), true, 4);
        PolicySettings one = new PolicySettings(
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
                s.classes(),
                List.of(),
                s.permissions(),
                new PlatformRules(1000, 10000, 0.3, 9000, 1, 1500, 8)); // easily overloaded
        int alone = sentToACold(one);
        int each = sentToACold(one.sharedByTwoProcesses());
        assertTrue(alone > 6 && each > 0 && 2 * each <= alone * 1.3, "twice " + each + ", alone " + alone);
    }

    /** What was learnt survives a change: a worker that is avoided stays so. */
    @Test
    void whatIsKnownOfWorkersSurvivesAndClassesOnlyCome() {
        RuleCheckingHost h = host(settings(Idempotency.READ_LIKE, 4));
        String down = h.accept(1, 100).attempts.get(0).worker;
        h.silentWorkers.add(down);
        h.endAttempt(1, AttemptOutcome.CONNECT_FAILED);
        int avoided = h.policy.avoidedWorkers();
        assertTrue(avoided >= 1);
        RequestClass one = h.settings.classes().get(0);
        h.changeSettings(h.settings.withClasses(
                List.of(one, RuleCheckingHost.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL))));
        assertEquals(avoided, h.policy.avoidedWorkers());
        RuleCheckingHost.TestRequest request = h.accept(2, 1, 100, 0);
        h.endAttempt(2, AttemptOutcome.ERROR);
        h.advance(1000);
        assertEquals("failed", request.result, "the new class has its own effect");
        PolicySettings fewer = settings(Idempotency.NON_IDEMPOTENT, 1);
        assertThrows(IllegalArgumentException.class, () -> h.policy.settingsChanged(h.nowUs(), fewer));
    }
}

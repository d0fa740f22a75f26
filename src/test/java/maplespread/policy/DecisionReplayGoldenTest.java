package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Replays seeded fleets and compares a hash of all decisions, to the last bit of their figures, with the one recorded
 * from the code as it was before it was split into modules. A change of behaviour that is meant records the lines anew:
 * the failure shows them. The logarithms of the JVM on x86-64 are part of the hash.
 */
class DecisionReplayGoldenTest {
    private static final String EXPECTED = "/golden/decision/replay.txt";

    @Test
    void allDecisionsAreAsRecorded() throws IOException {
        StringBuilder actual = new StringBuilder();
        for (ReplayFleet.Plan plan : plans()) {
            for (int seed = 1; seed <= 2; seed++) {
                actual.append(plan.name()).append(" seed=").append(seed).append(' ');
                actual.append(new ReplayFleet(plan, seed).play()).append('\n');
            }
        }
        try (InputStream in = DecisionReplayGoldenTest.class.getResourceAsStream(EXPECTED)) {
            assertEquals(new String(in.readAllBytes(), StandardCharsets.UTF_8), actual.toString());
        }
    }

    static List<ReplayFleet.Plan> plans() {
        ReplayFleet.ReportFields none = ReplayFleet.ReportFields.NONE;
        ReplayFleet.ReportFields active = ReplayFleet.ReportFields.ACTIVE_AND_FREE_SLOTS;
        ReplayFleet.ReportFields free = ReplayFleet.ReportFields.FREE_SLOTS;
        ReplayFleet.ReportFields service = ReplayFleet.ReportFields.SERVICE_TIME;
        Site alone = new Site();
        Site six = new Site();
        six.balancers = 6;
        six.asks = false;
        six.tellsStart = false;
        six.byWork = false;
        Site hundred = new Site();
        hundred.balancers = 100;
        hundred.index = 37;
        hundred.crossZone = 0.05;
        Site hundredWithoutProbes = new Site();
        hundredWithoutProbes.balancers = 100;
        hundredWithoutProbes.index = 99;
        hundredWithoutProbes.probing = false;
        hundredWithoutProbes.cancel = false;
        hundredWithoutProbes.maxPauseMs = 0;
        Site plain = new Site();
        plain.tellsStart = false;
        plain.progressMs = 0;
        plain.inOrder = false;
        plain.coldFrom = 1;
        plain.tries = 2;
        Site sixAsking = new Site();
        sixAsking.balancers = 6;
        sixAsking.index = 5;
        sixAsking.progressMs = 0;
        sixAsking.coldFrom = 0.05;
        sixAsking.warmMs = 6000;
        return List.of(
                new ReplayFleet.Plan("alone", alone.settings(), 6, 2, 0.7, false, active, 30),
                new ReplayFleet.Plan("alone-keyed", alone.settings(), 8, 2, 0.9, true, free, 30),
                new ReplayFleet.Plan("six-pushed", six.settings(), 8, 2, 0.8, true, service, 30),
                new ReplayFleet.Plan("six-pushed-free", six.settings(), 8, 3, 1.1, false, free, 20),
                new ReplayFleet.Plan("six-asking", sixAsking.settings(), 10, 2, 0.6, true, active, 30),
                new ReplayFleet.Plan("hundred", hundred.settings(), 60, 2, 0.1, true, free, 20),
                new ReplayFleet.Plan("hundred-one-slot", hundred.settings(), 45, 1, 0.15, false, active, 20),
                new ReplayFleet.Plan("no-probes", hundredWithoutProbes.settings(), 30, 2, 0.2, true, none, 20),
                new ReplayFleet.Plan("plain", plain.settings(), 5, 2, 1.4, false, none, 30),
                new ReplayFleet.Plan("plain-service", plain.settings(), 5, 4, 0.8, true, service, 20));
    }

    /** The settings that the plans vary. */
    private static final class Site {
        int balancers = 1;
        int index;
        boolean asks = true;
        boolean byWork = true;
        boolean tellsStart = true;
        double progressMs = 40;
        boolean inOrder = true;
        double crossZone;
        boolean cancel = true;
        boolean probing = true;
        int tries = 4;
        double maxPauseMs = 2000;
        double coldFrom = 0.2;
        double warmMs = 3000;

        PolicySettings settings() {
            SitePermissions permissions = new SitePermissions(cancel, probing, false, tries, 100, maxPauseMs, 3000);
            PlatformRules rules = new PlatformRules(500, 4000, coldFrom, warmMs, 4, 1500, 8);
            return new PolicySettings(
                    balancers,
                    index,
                    0,
                    asks,
                    byWork,
                    tellsStart,
                    progressMs,
                    inOrder,
                    2,
                    0.1,
                    crossZone,
                    classes(),
                    List.of(new Tenant(0), new Tenant(100)),
                    permissions,
                    rules);
        }

        private static List<RequestClass> classes() {
            List<RequestClass> classes = new ArrayList<>();
            classes.add(spec(200, 2, 1500, 1, 0, Idempotency.READ_LIKE, DeduplicationScope.ALL, false, -1));
            classes.add(spec(300, 0, 2500, 2, 0.3, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, false, -1));
            classes.add(spec(250, 3, 2000, 0.5, 0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, false, 1));
            classes.add(spec(250, 1, 2000, 4, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, false, -1));
            classes.add(spec(220, 2, 1800, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, false, 0));
            classes.add(spec(400, 2, 3000, 1, 0, Idempotency.READ_LIKE, DeduplicationScope.ALL, true, -1));
            return classes;
        }

        private static RequestClass spec(
                double aimMs,
                double stretch,
                double deadlineMs,
                double worth,
                double lateShare,
                Idempotency effect,
                DeduplicationScope group,
                boolean streaming,
                int kind) {
            return new RequestClass(aimMs, stretch, deadlineMs, worth, lateShare, effect, group, 1200, streaming, kind);
        }
    }
}

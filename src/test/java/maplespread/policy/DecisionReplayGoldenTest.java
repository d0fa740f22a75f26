package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Replays seeded fleets and compares a hash of all decisions, with the exact bits of their figures, with the recorded
 * one, which dates from before the code was split into modules. An intended change of behaviour replaces the recorded
 * lines by those that the failure shows. The hash depends on the JVM's logarithms on x86-64.
 */
class DecisionReplayGoldenTest {
    private static final String EXPECTED = "/golden/decision/replay.txt";

    @Test
    void allDecisionsAreAsRecorded() throws IOException {
        StringBuilder actual = new StringBuilder();
        for (ReplayFleet.Plan plan : plans()) {
            for (int seed = 1; seed <= 2; seed++) {
                actual.append(plan.name()).append(" seed=").append(seed).append(' ');
                actual.append(new ReplayFleet(plan, seed).run()).append('\n');
            }
        }
        try (InputStream in = DecisionReplayGoldenTest.class.getResourceAsStream(EXPECTED)) {
            assertEquals(new String(in.readAllBytes(), StandardCharsets.UTF_8), actual.toString());
        }
    }

    static List<ReplayFleet.Plan> plans() {
        ReplayFleet.ReportFields noReports = ReplayFleet.ReportFields.NONE;
        ReplayFleet.ReportFields activeAndFreeSlots = ReplayFleet.ReportFields.ACTIVE_AND_FREE_SLOTS;
        ReplayFleet.ReportFields freeSlots = ReplayFleet.ReportFields.FREE_SLOTS;
        ReplayFleet.ReportFields serviceTime = ReplayFleet.ReportFields.SERVICE_TIME;
        Site alone = new Site();
        Site sixPushed = new Site();
        sixPushed.dispatchers = 6;
        sixPushed.pollsDiscovery = false;
        sixPushed.workersReportStart = false;
        sixPushed.weightPerWork = false;
        Site hundred = new Site();
        hundred.dispatchers = 100;
        hundred.dispatcherIndex = 37;
        hundred.crossZoneCost = 0.05;
        Site hundredWithoutProbes = new Site();
        hundredWithoutProbes.dispatchers = 100;
        hundredWithoutProbes.dispatcherIndex = 99;
        hundredWithoutProbes.probing = false;
        hundredWithoutProbes.cancellation = false;
        hundredWithoutProbes.maxRetryAfterMs = 0;
        Site plain = new Site();
        plain.workersReportStart = false;
        plain.progressIntervalMs = 0;
        plain.fifoWorkers = false;
        plain.slowStartCapacityShare = 1;
        plain.maxAttempts = 2;
        Site sixPolling = new Site();
        sixPolling.dispatchers = 6;
        sixPolling.dispatcherIndex = 5;
        sixPolling.progressIntervalMs = 0;
        sixPolling.slowStartCapacityShare = 0.05;
        sixPolling.slowStartMs = 6000;
        return List.of(
                new ReplayFleet.Plan("alone", alone.settings(), 6, 2, 0.7, false, activeAndFreeSlots, 30),
                new ReplayFleet.Plan("alone-keyed", alone.settings(), 8, 2, 0.9, true, freeSlots, 30),
                new ReplayFleet.Plan("six-pushed", sixPushed.settings(), 8, 2, 0.8, true, serviceTime, 30),
                new ReplayFleet.Plan("six-pushed-free", sixPushed.settings(), 8, 3, 1.1, false, freeSlots, 20),
                new ReplayFleet.Plan("six-asking", sixPolling.settings(), 10, 2, 0.6, true, activeAndFreeSlots, 30),
                new ReplayFleet.Plan("hundred", hundred.settings(), 60, 2, 0.1, true, freeSlots, 20),
                new ReplayFleet.Plan(
                        "hundred-one-slot", hundred.settings(), 45, 1, 0.15, false, activeAndFreeSlots, 20),
                new ReplayFleet.Plan("no-probes", hundredWithoutProbes.settings(), 30, 2, 0.2, true, noReports, 20),
                new ReplayFleet.Plan("plain", plain.settings(), 5, 2, 1.4, false, noReports, 30),
                new ReplayFleet.Plan("plain-service", plain.settings(), 5, 4, 0.8, true, serviceTime, 20));
    }

    /** The settings that differ between the plans. */
    private static final class Site {
        int dispatchers = 1;
        int dispatcherIndex;
        boolean pollsDiscovery = true;
        boolean weightPerWork = true;
        boolean workersReportStart = true;
        double progressIntervalMs = 40;
        boolean fifoWorkers = true;
        double crossZoneCost;
        boolean cancellation = true;
        boolean probing = true;
        int maxAttempts = 4;
        double maxRetryAfterMs = 2000;
        double slowStartCapacityShare = 0.2;
        double slowStartMs = 3000;

        PolicySettings settings() {
            SitePermissions permissions =
                    new SitePermissions(cancellation, probing, false, maxAttempts, 100, maxRetryAfterMs, 3000);
            PlatformRules rules = new PlatformRules(500, 4000, slowStartCapacityShare, slowStartMs, 4, 1500, 8);
            return new PolicySettings(
                    dispatchers,
                    dispatcherIndex,
                    0,
                    pollsDiscovery,
                    weightPerWork,
                    workersReportStart,
                    progressIntervalMs,
                    fifoWorkers,
                    2,
                    0.1,
                    crossZoneCost,
                    classes(),
                    List.of(new Tenant(0), new Tenant(100)),
                    permissions,
                    rules);
        }

        private static List<RequestClass> classes() {
            List<RequestClass> classes = new ArrayList<>();
            classes.add(requestClass(200, 2, 1500, 1, 0, Idempotency.READ_LIKE, DeduplicationScope.ALL, false, -1));
            classes.add(
                    requestClass(300, 0, 2500, 2, 0.3, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL, false, -1));
            classes.add(
                    requestClass(250, 3, 2000, 0.5, 0, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE, false, 1));
            classes.add(requestClass(
                    250, 1, 2000, 4, 0.5, Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL, false, -1));
            classes.add(requestClass(220, 2, 1800, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, false, 0));
            classes.add(requestClass(400, 2, 3000, 1, 0, Idempotency.READ_LIKE, DeduplicationScope.ALL, true, -1));
            return classes;
        }

        private static RequestClass requestClass(
                double latencyObjectiveMs,
                double stretchFactor,
                double deadlineMs,
                double priorityWeight,
                double lateWeightShare,
                Idempotency idempotency,
                DeduplicationScope scope,
                boolean streaming,
                int requiredWorkerKind) {
            return new RequestClass(
                    latencyObjectiveMs,
                    stretchFactor,
                    deadlineMs,
                    priorityWeight,
                    lateWeightShare,
                    idempotency,
                    scope,
                    1200,
                    streaming,
                    requiredWorkerKind);
        }
    }
}

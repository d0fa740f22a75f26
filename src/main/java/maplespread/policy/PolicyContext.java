package maplespread.policy;

import java.util.SplittableRandom;

/**
 * State shared by all modules of one {@link DispatchPolicy}: the time of the event being handled, the settings in
 * force, the random source and the host's actions. Only {@link DispatchPolicy} writes it, before any module handles the
 * event. Times are ms on the host's clock.
 */
final class PolicyContext {
    final PolicyActions actions;

    /** Random source. The order of its draws is part of the behaviour: the simulator's figures depend on it. */
    final SplittableRandom random;

    /** Time of the event being handled. */
    double nowMs = Double.NEGATIVE_INFINITY;

    PolicySettings settings;
    PlatformRules rules;
    SitePermissions permissions;

    /** Shortest latency objective of all classes: the time scale of probes, backoff and staleness. */
    double objectiveMs;

    /** Shortest deadline of all classes: the time constant of the estimators. */
    double memoryMs;

    /** Time between two ticks: half the objective, which gives a few scans of the fleet per request. */
    double tickPeriodMs;

    PolicyContext(long seed, PolicyActions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    /** Applies new settings. */
    void apply(PolicySettings next) {
        settings = next;
        rules = next.rules();
        permissions = next.permissions();
        objectiveMs = Double.POSITIVE_INFINITY;
        memoryMs = Double.POSITIVE_INFINITY;
        for (RequestClass requestClass : next.classes()) {
            objectiveMs = Math.min(objectiveMs, requestClass.latencyObjectiveMs());
            memoryMs = Math.min(memoryMs, requestClass.deadlineMs());
        }
        tickPeriodMs = Math.max(next.tickMs(), objectiveMs / 2);
    }
}

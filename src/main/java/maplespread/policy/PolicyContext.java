package maplespread.policy;

import java.util.SplittableRandom;

/**
 * What all modules of one {@link DispatchPolicy} share: the time of the event being handled, the settings in force, the
 * random source and the host's actions. Written by {@link DispatchPolicy} alone, before any module handles the event.
 * Times are ms of the host's clock.
 */
final class PolicyContext {
    final PolicyActions actions;
    /** Every draw moves it, so the order of draws is part of the behaviour: the simulator's figures depend on it. */
    final SplittableRandom random;

    /** Time of the event being handled. */
    double nowMs = Double.NEGATIVE_INFINITY;

    PolicySettings settings;
    PlatformRules rules;
    SitePermissions permissions;

    /** Shortest latency objective of all classes: the time scale of probes, backoff and staleness. */
    double objectiveMs;

    /** Shortest deadline of all classes: how long the estimators remember. */
    double memoryMs;

    /** Time between two rounds of upkeep: half the objective, which is a few looks at the fleet a request. */
    double tickPeriodMs;

    PolicyContext(long seed, PolicyActions actions) {
        this.actions = actions;
        random = new SplittableRandom(seed);
    }

    /** Puts settings into force. */
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

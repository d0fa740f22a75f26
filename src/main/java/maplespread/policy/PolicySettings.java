package maplespread.policy;

import java.util.List;

/**
 * The settings of one dispatcher's policy.
 *
 * @param dispatcherCount dispatchers that share the workers
 * @param dispatcherIndex this dispatcher's place among them, from 0
 * @param zone this dispatcher's zone
 * @param pollsDiscovery the endpoint list comes only when it is asked for; else an agent pushes it
 * @param weightPerWork the priority weight counts per ms of work, not per request
 * @param workersReportStart workers report when a request starts to run
 * @param progressIntervalMs time between two progress reports of a worker; 0: there are none
 * @param fifoWorkers workers start waiting requests in the order in which they came
 * @param tickMs resolution of the host's timers
 * @param overQuotaWeight weight of a request beyond its tenant's quota
 * @param crossZoneCost cost of a send to another zone, as a share of a request
 * @param classes the request classes; requests name them by index
 * @param tenants the tenants; requests name them by index
 * @param permissions what the site allows
 * @param rules the platform's rules
 */
public record PolicySettings(
        int dispatcherCount,
        int dispatcherIndex,
        int zone,
        boolean pollsDiscovery,
        boolean weightPerWork,
        boolean workersReportStart,
        double progressIntervalMs,
        boolean fifoWorkers,
        double tickMs,
        double overQuotaWeight,
        double crossZoneCost,
        List<RequestClass> classes,
        List<Tenant> tenants,
        SitePermissions permissions,
        PlatformRules rules) {
    /** A request with less time left than its deadline, by more than this share of the objective, was seen before. */
    private static final double TRANSIT_OBJECTIVES = 1.0 / 8;

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if one is missing or out of range
     */
    public PolicySettings {
        Preconditions.require(dispatcherCount >= 1, "balancers must be at least 1");
        Preconditions.require(!classes.isEmpty(), "at least one class is needed");
        Preconditions.require(permissions != null && rules != null, "permissions and rules are needed");
        Preconditions.require(overQuotaWeight >= 0 && crossZoneCost >= 0, "worths and prices must not be negative");
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /**
     * The same for each of two processes that are one dispatcher during an upgrade: what dispatchers share out among
     * them, such as the work for a worker in slow start, is halved.
     */
    public PolicySettings sharedByTwoProcesses() {
        return withDispatcherCount(2 * dispatcherCount);
    }

    /** The same where so many dispatchers share each of the workers. */
    public PolicySettings withDispatcherCount(int dispatchers) {
        return with(dispatchers, classes);
    }

    /** The same with other classes. */
    public PolicySettings withClasses(List<RequestClass> others) {
        return with(dispatcherCount, others);
    }

    private PolicySettings with(int dispatchers, List<RequestClass> requestClasses) {
        return new PolicySettings(
                dispatchers,
                dispatcherIndex,
                zone,
                pollsDiscovery,
                weightPerWork,
                workersReportStart,
                progressIntervalMs,
                fifoWorkers,
                tickMs,
                overQuotaWeight,
                crossZoneCost,
                requestClasses,
                tenants,
                permissions,
                rules);
    }

    /**
     * Whether a request of the class with so long to go is its client's first attempt: a later one has less time left
     * than its class's deadline, by more than an eighth of the shortest objective.
     */
    public boolean isFirstAttempt(int classIndex, double leftMs) {
        double shortestObjectiveMs = Double.MAX_VALUE;
        for (RequestClass requestClass : classes) {
            shortestObjectiveMs = Math.min(shortestObjectiveMs, requestClass.latencyObjectiveMs());
        }
        return leftMs >= classes.get(classIndex).deadlineMs() - shortestObjectiveMs * TRANSIT_OBJECTIVES;
    }
}

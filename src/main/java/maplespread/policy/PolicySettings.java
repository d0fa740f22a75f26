package maplespread.policy;

import java.util.List;

/**
 * The settings of one dispatcher's policy.
 *
 * @param dispatcherCount number of dispatchers that share the workers
 * @param dispatcherIndex this dispatcher's index among them, from 0
 * @param zone this dispatcher's zone
 * @param pollsDiscovery whether the dispatcher has to ask for the endpoint list; otherwise an agent pushes it
 * @param weightPerWork whether the priority weight counts per ms of work, not per request
 * @param workersReportStart whether workers report when a request starts to run
 * @param progressIntervalMs time between two progress reports of a worker; 0: there are none
 * @param fifoWorkers whether workers start waiting requests in the order of their arrival
 * @param tickMs resolution of the host's timers
 * @param overQuotaWeight weight factor of a request beyond its tenant's quota
 * @param crossZoneCost cost of sending a request to another zone, as a share of a request
 * @param classes the request classes; requests refer to them by index
 * @param tenants the tenants; requests refer to them by index
 * @param permissions the site's permissions
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
    /** Maximum transit time of a client's first attempt, in objectives; with less time left it is a later attempt. */
    private static final double MAX_TRANSIT_OBJECTIVES = 1.0 / 8;

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException if one is missing or out of range
     */
    public PolicySettings {
        Preconditions.require(dispatcherCount >= 1, "balancers must be at least 1");
        Preconditions.require(!classes.isEmpty(), "at least one class is needed");
        Preconditions.require(permissions != null && rules != null, "permissions and rules are needed");
        Preconditions.require(
                overQuotaWeight >= 0 && crossZoneCost >= 0,
                "overShareWorth and penalties.crossZone must not be negative");
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /**
     * Returns the settings for each of two processes that form one dispatcher during an upgrade: what dispatchers
     * divide among them, such as the work for a worker in slow start, is halved.
     */
    public PolicySettings sharedByTwoProcesses() {
        return withDispatcherCount(2 * dispatcherCount);
    }

    /** Returns these settings for this number of dispatchers that share the workers. */
    public PolicySettings withDispatcherCount(int dispatchers) {
        return with(dispatchers, classes);
    }

    /** Returns these settings with other classes. */
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
     * Whether a request of the class with this time left is its client's first attempt: a later one has less time left
     * than its class's deadline, by more than an eighth of the shortest objective.
     */
    public boolean isFirstAttempt(int classIndex, double remainingMs) {
        double shortestObjectiveMs = Double.MAX_VALUE;
        for (RequestClass requestClass : classes) {
            shortestObjectiveMs = Math.min(shortestObjectiveMs, requestClass.latencyObjectiveMs());
        }
        return remainingMs >= classes.get(classIndex).deadlineMs() - shortestObjectiveMs * MAX_TRANSIT_OBJECTIVES;
    }
}

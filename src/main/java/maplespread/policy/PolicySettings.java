package maplespread.policy;

import java.util.List;

/**
 * The settings of a node. {@code balancers}: nodes in the tier; {@code zone}: this node's zone; {@code
 * ask}: the list comes only when asked for; {@code byWork}: worth counts per unit of work; {@code
 * tellsStart} and {@code progressMs}: which notes workers send (0: no progress notes); {@code
 * inOrder}: workers start waiting jobs in the order in which they came; {@code
 * overShare}: worth of a request beyond its tenant's share; {@code crossZone}: price of a send to
 * another zone, as a share of a request.
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
    public PolicySettings {
        Preconditions.require(dispatcherCount >= 1, "balancers must be at least 1");
        Preconditions.require(!classes.isEmpty(), "at least one class is needed");
        Preconditions.require(permissions != null && rules != null, "permissions and rules are needed");
        Preconditions.require(overQuotaWeight >= 0 && crossZoneCost >= 0, "worths and prices must not be negative");
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /**
     * The same for each of two processes that are one node: what nodes share out among them, such as the
     * work for a cold worker, is halved, so that both together take what the one would.
     */
    public PolicySettings sharedByTwoProcesses() {
        return withDispatcherCount(2 * dispatcherCount);
    }

    /** The same where so many nodes share each of the workers. */
    public PolicySettings withDispatcherCount(int nodes) {
        return new PolicySettings(
                nodes,
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
                classes,
                tenants,
                permissions,
                rules);
    }

    /**
     * Whether a request with so long to go is its client's first try: one with less time left than its
     * class's deadline, by more than an eighth of the shortest aim, is a later try of one seen before.
     */
    public boolean isFirstAttempt(int cls, double leftMs) {
        double aim = Double.MAX_VALUE;
        for (RequestClass c : classes) {
            aim = Math.min(aim, c.latencyObjectiveMs());
        }
        return leftMs >= classes.get(cls).deadlineMs() - aim / 8;
    }

    /** The same with other classes. */
    public PolicySettings withClasses(List<RequestClass> others) {
        return new PolicySettings(
                dispatcherCount,
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
                others,
                tenants,
                permissions,
                rules);
    }
}

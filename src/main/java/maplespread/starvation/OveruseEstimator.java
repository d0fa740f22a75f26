package maplespread.starvation;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates what share of each tenant's requests is beyond its allowance. A window of some of the fleet is due
 * the larger of two parts of an allowance: the plain part of the dispatchers that reported, and what the other
 * tenants' traffic in it is of their allowances.
 */
final class OveruseEstimator {
    private final FleetLayout layout;

    OveruseEstimator(FleetLayout layout) {
        this.layout = layout;
    }

    /**
     * By tenant the share of its requests beyond its allowance; tenants without any are left out. {@code slackMs}:
     * requests that come at once within this time are no overuse.
     */
    Map<Integer, Double> shares(FleetWindow window, int reportingProcesses, double slackMs) {
        Map<Integer, Double> shares = new HashMap<>();
        double seconds = window.seconds(reportingProcesses);
        int tenants = layout.allowancesPerS().length;
        double limitedRate = 0;
        for (int tenant = 0; tenant < tenants; tenant++) {
            limitedRate += layout.allowance(tenant) > 0 ? window.requests(tenant) / seconds : 0;
        }
        for (int tenant = 0; tenant < tenants && seconds > 0; tenant++) {
            double duePerS = layout.allowance(tenant) * part(window, tenant, seconds, limitedRate, reportingProcesses);
            double overuse = duePerS > 0 ? window.maxOveruse(tenant, duePerS, slackMs) : 0;
            if (overuse > 0) {
                shares.put(tenant, overuse / window.requests(tenant));
            }
        }
        return shares;
    }

    /** The part of its allowance that is due to the tenant in this window. */
    private double part(FleetWindow window, int tenant, double seconds, double limitedRate, int reportingProcesses) {
        double rate = window.requests(tenant) / seconds;
        double othersAllowance = layout.allowances() - layout.allowance(tenant);
        double othersPart = othersAllowance > 0 ? Math.min(1, (limitedRate - rate) / othersAllowance) : 0;
        return Math.max((double) reportingProcesses / layout.processes(), othersPart);
    }
}

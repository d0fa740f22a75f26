package maplespread.facade;

import java.util.List;
import maplespread.policy.PolicySettings;
import maplespread.policy.Tenant;
import maplespread.quota.TenantQuota;

/**
 * Weighs requests: below 1 for a request beyond its tenant's quota, above 1 for one whose tenant is boosted. The quota
 * is guarded by the service's lock; any thread may set boosts.
 */
final class RequestWeights {
    /** The tenants' quotas; null: not enforced. */
    private TenantQuota quota;

    /** Weight of boosted requests by tenant, 1 or more. */
    private volatile double[] boosts = {};

    RequestWeights(boolean quotaEnforced, List<Tenant> tenants) {
        quota = quotaEnforced ? new TenantQuota(tenants) : null;
    }

    /** Sets the weights of future requests by tenant, 1 or more; tenants beyond the array's end are not boosted. */
    void setBoosts(double[] weights) {
        boosts = weights.clone();
    }

    /** Resets all quotas to full buckets if the tenants differ from those {@code before}. */
    void tenantsChanged(List<Tenant> before, List<Tenant> tenants) {
        if (quota != null && !tenants.equals(before)) {
            quota = new TenantQuota(tenants);
        }
    }

    /** The request's weight, from 0.01 up to the tenant's boost; a request beyond its quota is not boosted. */
    double of(InFlightRequest request, PolicySettings settings, long nowUs) {
        double weight = quotaWeight(request, settings, nowUs);
        double[] boostByTenant = boosts;
        boolean boosted = weight >= 1 && request.tenant >= 0 && request.tenant < boostByTenant.length;
        return boosted ? boostByTenant[request.tenant] : weight;
    }

    private double quotaWeight(InFlightRequest request, PolicySettings settings, long nowUs) {
        if (quota == null) {
            return 1;
        }
        double remainingMs = (request.deadlineUs - nowUs) / 1000.0;
        // A tenant's traffic is spread over all dispatchers, so this is the count of all of them; the policy may count
        // only those that share its workers.
        return quota.weight(
                nowUs / 1000.0,
                request.id,
                request.tenant,
                settings.isFirstAttempt(request.requestClass, remainingMs),
                settings.dispatcherCount());
    }

    /** The request received its final response. */
    void requestCompleted(InFlightRequest request, boolean rejectedOrFailed) {
        if (quota != null) {
            quota.requestCompleted(request.id, rejectedOrFailed);
        }
    }

    /** The client has left; the request does not count towards the rejected share. */
    void clientLeft(InFlightRequest request) {
        if (quota != null) {
            quota.clientLeft(request.id);
        }
    }
}

package maplespread.facade;

import java.util.List;
import maplespread.policy.PolicySettings;
import maplespread.policy.Tenant;
import maplespread.quota.TenantQuota;

/**
 * What each request counts for: less beyond its tenant's quota, more where its tenant is boosted. The quota is guarded
 * by the service's lock; boosts may be set by any thread.
 */
final class RequestWeights {
    private TenantQuota quota; // null: requests beyond a quota count like all others
    private volatile double[] boosts = {};

    RequestWeights(boolean quotaEnforced, List<Tenant> tenants) {
        quota = quotaEnforced ? new TenantQuota(tenants) : null;
    }

    /** Weights of requests to come by tenant, 1 or more each; tenants beyond the array's end are not boosted. */
    void setBoosts(double[] weights) {
        boosts = weights.clone();
    }

    /** Other tenants begin with full quotas. */
    void tenantsChanged(List<Tenant> before, List<Tenant> tenants) {
        if (quota != null && !tenants.equals(before)) {
            quota = new TenantQuota(tenants);
        }
    }

    /** From 0.01, far beyond the quota, over 1 to the boost; a request beyond its quota is not boosted. */
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
        // The count of all dispatchers: the policy may count only those that share its workers, while a tenant's
        // traffic is spread over all.
        return quota.weight(
                nowUs / 1000.0,
                request.id,
                request.tenant,
                settings.isFirstAttempt(request.requestClass, remainingMs),
                settings.dispatcherCount());
    }

    /** The request has its final response. */
    void requestCompleted(InFlightRequest request, boolean rejectedOrFailed) {
        if (quota != null) {
            quota.requestCompleted(request.id, rejectedOrFailed);
        }
    }

    /** The client has left, which tells nothing of rejections. */
    void clientLeft(InFlightRequest request) {
        if (quota != null) {
            quota.clientLeft(request.id);
        }
    }
}

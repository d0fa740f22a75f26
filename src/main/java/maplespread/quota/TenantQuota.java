package maplespread.quota;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplespread.policy.Tenant;

/**
 * Weighs requests by their tenants' quotas. A token bucket for each tenant fills at this dispatcher's part of the
 * tenant's quota. How large that part is, no dispatcher can know: one of N has 1/N of the traffic on the mean,
 * and some have several times that. So a bucket fills by the larger of two: the plain 1/N, which is right where
 * all dispatchers have alike, and what the other tenants' traffic here is of their quotas, which is right where
 * this one has more than others. A tenant's own traffic says nothing of its part, or asking more would raise it.
 *
 * <p>A request beyond its tenant's quota has its full weight as long as no request within its quota is rejected
 * for it. As more of those are, its weight falls, down to nearly nothing at {@link #MAX_REJECTED_SHARE}: then the
 * policy, which weighs a request by its priority, rejects it first. Not thread-safe.
 */
public final class TenantQuota {
    private static final double MS_PER_SECOND = 1000;

    /** A bucket holds what it is filled by in this time, */
    private static final double BURST_MS = 1000;

    /** and so many requests at the least. */
    private static final double MIN_BURST = 3;

    /** Time constant of the rates that are seen here. */
    private static final double RATE_MEMORY_MS = 2000;

    /** Weight of one completed request in the rejected share: about 50 are remembered. */
    private static final double REJECTED_SHARE_STEP = 0.02;

    /** Share of requests within their quota that are rejected from which those beyond it have the least weight. */
    private static final double MAX_REJECTED_SHARE = 0.01;

    private static final double MIN_WEIGHT = 0.01;

    /** By tenant, a second, over all dispatchers; 0: no limit. */
    private final double[] quotas;

    private final double quotaSum;
    private final double[] tokens;
    /** By tenant when its bucket was last filled; NaN: never. */
    private final double[] filledAtMs;

    /** By tenant its requests a second that are seen here. */
    private final double[] rates;

    private double limitedRate; // of all tenants that have a quota
    private double ratesAtMs = Double.NaN;
    private final Set<Long> inFlightWithinQuota = new HashSet<>();
    private double rejectedShare; // of requests within their quota, lately

    /** The quotas are those of the tenants, in order. */
    public TenantQuota(List<Tenant> tenants) {
        quotas = tenants.stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        tokens = new double[quotas.length];
        filledAtMs = new double[tokens.length];
        rates = new double[tokens.length];
        Arrays.fill(filledAtMs, Double.NaN);
        quotaSum = Arrays.stream(quotas).sum();
    }

    /**
     * The request's weight, from 0.01 to 1. {@code first}: not a later attempt of a request that was counted
     * before; those are weighed and not counted again. {@code dispatchers}: among how many the tenants' traffic
     * is spread.
     */
    public double weight(double nowMs, long id, int tenant, boolean first, int dispatchers) {
        if (tenant < 0 || tenant >= quotas.length || quotas[tenant] <= 0) {
            return 1;
        }
        if (first) {
            countRequest(nowMs, tenant);
        }
        fillBucket(nowMs, tenant, dispatchers);
        if (tokens[tenant] < 1) {
            return Math.max(MIN_WEIGHT, 1 - rejectedShare / MAX_REJECTED_SHARE);
        }
        if (first) {
            tokens[tenant]--;
        }
        inFlightWithinQuota.add(id);
        return 1;
    }

    private void countRequest(double nowMs, int tenant) {
        double decay = Double.isNaN(ratesAtMs) ? 0 : Math.exp(-(nowMs - ratesAtMs) / RATE_MEMORY_MS);
        limitedRate = 0;
        for (int i = 0; i < rates.length; i++) {
            rates[i] = rates[i] * decay + (i == tenant ? MS_PER_SECOND / RATE_MEMORY_MS : 0);
            limitedRate += quotas[i] > 0 ? rates[i] : 0;
        }
        ratesAtMs = nowMs;
    }

    private void fillBucket(double nowMs, int tenant, int dispatchers) {
        double othersQuota = quotaSum - quotas[tenant];
        double othersPart = othersQuota > 0 ? Math.min(1, (limitedRate - rates[tenant]) / othersQuota) : 0;
        double fillPerMs = quotas[tenant] * Math.max(1.0 / dispatchers, othersPart) / MS_PER_SECOND;
        double capacity = Math.max(MIN_BURST, fillPerMs * BURST_MS);
        double elapsedMs = Double.isNaN(filledAtMs[tenant]) ? BURST_MS : nowMs - filledAtMs[tenant];
        tokens[tenant] = Math.min(capacity, tokens[tenant] + elapsedMs * fillPerMs);
        filledAtMs[tenant] = nowMs;
    }

    /** The request has its final response; {@code rejected}: it was rejected or has failed. */
    public void requestCompleted(long id, boolean rejected) {
        if (inFlightWithinQuota.remove(id)) {
            rejectedShare += REJECTED_SHARE_STEP * ((rejected ? 1 : 0) - rejectedShare);
        }
    }

    /** The client has left: its request tells nothing. */
    public void clientLeft(long id) {
        inFlightWithinQuota.remove(id);
    }
}

package maplespread.quota;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplespread.policy.ReproducibleMath;
import maplespread.policy.Tenant;

/**
 * Weighs requests by their tenants' quotas. Each tenant has a token bucket that fills at this dispatcher's share of the
 * tenant's quota. A dispatcher cannot know that share: of N dispatchers, each receives 1/N of the traffic on average,
 * and some receive several times that. The bucket therefore fills at the larger of two estimates: 1/N, which is right
 * if the traffic is spread evenly, and the ratio of the other tenants' traffic here to their quotas, which is right if
 * this dispatcher receives more than others. A tenant's own traffic is excluded:
 * otherwise a tenant would raise its share by sending more.
 *
 * <p>A request beyond its tenant's quota has its full weight as long as no request within a quota is rejected. As the
 * share of such rejections rises to {@link #MAX_REJECTED_SHARE}, that weight falls to {@link #MIN_WEIGHT}: the policy,
 * which weighs a request by its priority, then rejects requests beyond a quota first. Not thread-safe.
 */
public final class TenantQuota {
    private static final double MS_PER_SECOND = 1000;

    /** A bucket's capacity as the time, in milliseconds, that it takes to fill. */
    private static final double BURST_MS = 1000;

    /** A bucket's least capacity, in requests. */
    private static final double MIN_BURST_REQUESTS = 3;

    /** Time constant, in milliseconds, of the exponentially decaying request rates. */
    private static final double RATE_TIME_CONSTANT_MS = 2000;

    /** Weight of one completed request in the moving average of rejections, which covers about 50 requests. */
    private static final double REJECTED_SHARE_STEP = 0.02;

    /** Rejected share of the requests within a quota from which requests beyond a quota have the least weight. */
    private static final double MAX_REJECTED_SHARE = 0.01;

    /** Least weight of a request beyond its tenant's quota. */
    private static final double MIN_WEIGHT = 0.01;

    /** Quotas by tenant, in requests a second over all dispatchers; 0: no limit. */
    private final double[] quotas;

    /** Sum of all quotas, in requests a second. */
    private final double quotaSum;

    /** Tokens in each tenant's bucket, in requests. */
    private final double[] tokens;

    /** When each tenant's bucket was last filled, in milliseconds; NaN: never. */
    private final double[] filledAtMs;

    /** Rates by tenant, in requests a second at this dispatcher. */
    private final double[] rates;

    /** Sum of the rates of all tenants that have a quota. */
    private double limitedRate;

    /** When the rates were last updated, in milliseconds; NaN: never. */
    private double ratesAtMs = Double.NaN;

    /** Ids of the requests in flight that were within their tenant's quota. */
    private final Set<Long> inFlightWithinQuota = new HashSet<>();

    /** Moving average, 0 to 1, of the share of rejected or failed requests among those within a quota. */
    private double rejectedShare;

    /** Creates buckets for the tenants, which are numbered by their index in the list. */
    public TenantQuota(List<Tenant> tenants) {
        quotas = tenants.stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        tokens = new double[quotas.length];
        filledAtMs = new double[tokens.length];
        rates = new double[tokens.length];
        Arrays.fill(filledAtMs, Double.NaN);
        quotaSum = Arrays.stream(quotas).sum();
    }

    /**
     * Returns the request's weight, from 0.01 to 1.
     *
     * @param tenant the tenant's index; 1 is returned if it has no quota
     * @param first whether this is the client's first attempt; a later attempt is weighed but not counted again
     * @param dispatchers the number of dispatchers over which the tenants' traffic is spread
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
        double decay = Double.isNaN(ratesAtMs) ? 0 : ReproducibleMath.exp(-(nowMs - ratesAtMs) / RATE_TIME_CONSTANT_MS);
        limitedRate = 0;
        for (int i = 0; i < rates.length; i++) {
            rates[i] = rates[i] * decay + (i == tenant ? MS_PER_SECOND / RATE_TIME_CONSTANT_MS : 0);
            limitedRate += quotas[i] > 0 ? rates[i] : 0;
        }
        ratesAtMs = nowMs;
    }

    private void fillBucket(double nowMs, int tenant, int dispatchers) {
        double othersQuota = quotaSum - quotas[tenant];
        double othersShare = othersQuota > 0 ? Math.min(1, (limitedRate - rates[tenant]) / othersQuota) : 0;
        double fillPerMs = quotas[tenant] * Math.max(1.0 / dispatchers, othersShare) / MS_PER_SECOND;
        double capacity = Math.max(MIN_BURST_REQUESTS, fillPerMs * BURST_MS);
        double elapsedMs = Double.isNaN(filledAtMs[tenant]) ? BURST_MS : nowMs - filledAtMs[tenant];
        tokens[tenant] = Math.min(capacity, tokens[tenant] + elapsedMs * fillPerMs);
        filledAtMs[tenant] = nowMs;
    }

    /**
     * The request received its final response.
     *
     * @param rejected whether it was rejected or failed
     */
    public void requestCompleted(long id, boolean rejected) {
        if (inFlightWithinQuota.remove(id)) {
            rejectedShare += REJECTED_SHARE_STEP * ((rejected ? 1 : 0) - rejectedShare);
        }
    }

    /** The client has left; the request does not count towards the rejected share. */
    public void clientLeft(long id) {
        inFlightWithinQuota.remove(id);
    }
}

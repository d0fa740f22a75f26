package maplespread.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import maplespread.policy.ReproducibleMath;
import maplespread.policy.Tenant;
import org.junit.jupiter.api.Test;

/** Which tenants' requests are beyond their quota at one of N dispatchers, with seeded traffic. */
class TenantQuotaTest {
    private static final List<Tenant> TENANTS = List.of(new Tenant(60), new Tenant(30), new Tenant(10), new Tenant(0));

    /**
     * Returns, by tenant, the share of requests with reduced weight.
     *
     * @param rates requests a second at this dispatcher, by tenant
     * @param noRejections whether no request is rejected
     */
    private static double[] shareBeyondQuota(double[] rates, int dispatchers, boolean noRejections, long seed) {
        TenantQuota quota = new TenantQuota(TENANTS);
        SplittableRandom random = new SplittableRandom(seed);
        double[] nextAtMs = new double[rates.length];
        double[] requests = new double[rates.length];
        double[] reduced = new double[rates.length];
        long id = 0;
        for (double nowMs = 0; nowMs < 60_000; nowMs++) {
            for (int tenant = 0; tenant < rates.length; tenant++) {
                for (;
                        rates[tenant] > 0 && nextAtMs[tenant] <= nowMs;
                        nextAtMs[tenant] += -ReproducibleMath.log(1 - random.nextDouble()) * 1000 / rates[tenant]) {
                    boolean counted = nowMs > 10_000;
                    double weight = quota.weight(nowMs, ++id, tenant, true, dispatchers);
                    assertTrue(weight > 0 && weight <= 1);
                    requests[tenant] += counted ? 1 : 0;
                    reduced[tenant] += counted && weight < 1 ? 1 : 0;
                    quota.requestCompleted(id, !noRejections && random.nextInt(10) == 0);
                }
            }
        }
        for (int tenant = 0; tenant < rates.length; tenant++) {
            reduced[tenant] /= Math.max(1, requests[tenant]);
        }
        return reduced;
    }

    /**
     * Columns: dispatchers, traffic at this one relative to the mean, the first tenant's traffic relative to its quota,
     * and the expected share of its requests beyond the quota.
     */
    @Test
    void onlyATenantThatExceedsItsQuotaIsBeyondIt() {
        double[][] rows = {{1, 1, 3, 0.66}, {5, 1, 3, 0.6}, {5, 4, 3, 0.5}, {20, 3, 4, 0.5}, {200, 50, 4, 0.5}};
        for (double[] row : rows) {
            double factor = row[1] / row[0];
            String what = row[0] + " dispatchers, " + row[1] + " times the mean here";
            double[] reduced = shareBeyondQuota(
                    new double[] {60 * row[2] * factor, 27 * factor, 9 * factor, 20}, (int) row[0], false, 3);
            assertTrue(reduced[0] > row[3] - 0.25 && reduced[0] < 0.9, what + ": " + reduced[0]);
            assertTrue(reduced[1] < 0.25 && reduced[2] < 0.25, what + ": " + reduced[1] + ", " + reduced[2]);
            assertEquals(0, reduced[3], what + ": a tenant without a quota is never beyond it");
        }
    }

    @Test
    void withoutRejectionsAllRequestsHaveFullWeight() {
        double[] reduced = shareBeyondQuota(new double[] {180, 27, 9, 5}, 1, true, 4);
        for (double share : reduced) {
            assertEquals(0, share);
        }
    }

    @Test
    void aLaterAttemptIsWeighedAndNotCounted() {
        TenantQuota quota = new TenantQuota(List.of(new Tenant(2)));
        for (int id = 0; id < 50; id++) {
            assertEquals(1, quota.weight(0, id, 0, false, 1), "later attempts take no tokens");
        }
        for (int id = 50; id < 58; id++) {
            assertEquals(1, quota.weight(0, id, 0, true, 1));
        }
        quota.clientLeft(50);
        quota.requestCompleted(51, true); // a request within the quota is rejected
        assertTrue(quota.weight(0, 60, 0, true, 1) < 0.1);
        assertEquals(1, quota.weight(2000, 61, 0, true, 1), "the bucket fills");
        assertEquals(1, quota.weight(2000, 62, 7, true, 1), "no such tenant");
    }
}

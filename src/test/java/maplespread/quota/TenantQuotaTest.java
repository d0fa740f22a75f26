package maplespread.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import maplespread.policy.Tenant;
import org.junit.jupiter.api.Test;

/** Who is taken for beyond its share at one of N dispatchers, with seeds. */
class TenantQuotaTest {
    private static final List<Tenant> TENANTS = List.of(new Tenant(60), new Tenant(30), new Tenant(10), new Tenant(0));

    /**
     * The share of each tenant's requests that count for less; {@code rates}: a second, at this dispatcher.
     */
    private static double[] beyond(double[] rates, int dispatchers, boolean enough, long seed) {
        TenantQuota shares = new TenantQuota(TENANTS);
        SplittableRandom random = new SplittableRandom(seed);
        double[] next = new double[rates.length];
        double[] asked = new double[rates.length];
        double[] less = new double[rates.length];
        long id = 0;
        for (double now = 0; now < 60_000; now++) {
            for (int t = 0; t < rates.length; t++) {
                for (;
                        rates[t] > 0 && next[t] <= now;
                        next[t] += -Math.log(1 - random.nextDouble()) * 1000 / rates[t]) {
                    boolean counted = now > 10_000;
                    double counts = shares.weight(now, ++id, t, true, dispatchers);
                    assertTrue(counts > 0 && counts <= 1);
                    asked[t] += counted ? 1 : 0;
                    less[t] += counted && counts < 1 ? 1 : 0;
                    shares.requestCompleted(id, !enough && random.nextInt(10) == 0);
                }
            }
        }
        for (int t = 0; t < rates.length; t++) {
            less[t] /= Math.max(1, asked[t]);
        }
        return less;
    }

    /** Rows: dispatchers, the traffic here over the mean, the first tenant's greed, its requests beyond. */
    @Test
    void onlyWhoTakesMoreThanItsShareIsBeyond() {
        double[][] rows = {{1, 1, 3, 0.66}, {5, 1, 3, 0.6}, {5, 4, 3, 0.5}, {20, 3, 4, 0.5}, {200, 50, 4, 0.5}};
        for (double[] r : rows) {
            double f = r[1] / r[0];
            String what = r[0] + " dispatchers, " + r[1] + " times the mean here";
            double[] less = beyond(new double[] {60 * r[2] * f, 27 * f, 9 * f, 20}, (int) r[0], false, 3);
            assertTrue(less[0] > r[3] - 0.25 && less[0] < 0.9, what + ": " + less[0]);
            assertTrue(less[1] < 0.25 && less[2] < 0.25, what + ": " + less[1] + ", " + less[2]);
            assertEquals(0, less[3], what + ": without an allowance nobody is beyond it");
        }
    }

    @Test
    void whereThereIsEnoughForAllAllCountInFull() {
        double[] less = beyond(new double[] {180, 27, 9, 5}, 1, true, 4);
        for (double x : less) {
            assertEquals(0, x);
        }
    }

    @Test
    void aLaterTryIsJudgedAndNotCounted() {
        TenantQuota shares = new TenantQuota(List.of(new Tenant(2)));
        for (int id = 0; id < 50; id++) {
            assertEquals(1, shares.weight(0, id, 0, false, 1), "later tries take nothing");
        }
        for (int id = 50; id < 58; id++) {
            assertEquals(1, shares.weight(0, id, 0, true, 1));
        }
        shares.clientLeft(50);
        shares.requestCompleted(51, true); // one within is turned away
        assertTrue(shares.weight(0, 60, 0, true, 1) < 0.1);
        assertEquals(1, shares.weight(2000, 61, 0, true, 1), "the bucket fills");
        assertEquals(1, shares.weight(2000, 62, 7, true, 1), "no such tenant");
    }
}

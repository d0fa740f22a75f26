package maplespread.quota;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplespread.policy.Tenant;

/**
 * What requests count for under their tenants' shares. Token buckets by tenant are filled at this
 * dispatcher's part of each allowance. What part that is, nobody tells: one node in N has 1/N of the traffic
 * on the mean, and some have several times that. So a bucket fills by the larger of two: the plain 1/N, and
 * what the other tenants' traffic here is of their allowances. The first is right where all dispatchers have
 * alike, the second where this one has more than others; a tenant's own traffic says nothing of its part, or
 * greed would make room for itself.
 *
 * <p>Who is beyond its share counts in full as long as nobody within is turned away for it. As more of those
 * within are, it counts for less, down to nearly nothing at {@link #SHORT}: then the module, which weighs a
 * request by its worth, turns it away first.
 *
 * <p>Guards against a tenant's burst that every dispatcher takes for its own small part of it, against a
 * tenant that is thought greedy at a dispatcher where simply more of all arrives, and against a price for
 * being beyond on days when there is enough for all.
 */
public final class TenantQuota {
    private static final double BURST_MS = 1000; // a bucket holds its fill of so long
    private static final double MEMORY_MS = 2000; // of the rate that is seen here
    private static final double STEP = 0.02; // of one end: about 50 are remembered
    private static final double SHORT = 0.01; // of those within, turned away: too many
    private static final double LEAST = 0.01;
    private final double[] allowances; // a second, over all nodes; 0: no limit
    private final double[] tokens;
    private final double[] filled; // when each bucket was last looked at
    private final double sum;
    private final Set<Long> within = new HashSet<>(); // open requests that are within their share
    private final double[] rates; // seen here, a second, by tenant
    private double rate; // of all that have an allowance
    private double rateAt = Double.NaN;
    private double turnedAway; // of those within, lately

    public TenantQuota(List<Tenant> tenants) {
        allowances = tenants.stream().mapToDouble(Tenant::quotaPerSecond).toArray();
        tokens = new double[allowances.length];
        filled = new double[tokens.length];
        rates = new double[tokens.length];
        Arrays.fill(filled, Double.NaN);
        sum = Arrays.stream(allowances).sum();
    }

    /**
     * What the request counts for, from 0.01 to 1. {@code first}: not a later try of one that was counted
     * before; those are judged and not counted again. {@code dispatchers}: among how many the tenants'
     * traffic is spread.
     */
    public double weight(double nowMs, long id, int tenant, boolean first, int dispatchers) {
        if (tenant < 0 || tenant >= allowances.length || allowances[tenant] <= 0) {
            return 1;
        }
        if (first) {
            double keep = Double.isNaN(rateAt) ? 0 : Math.exp(-(nowMs - rateAt) / MEMORY_MS);
            rate = 0;
            for (int t = 0; t < rates.length; t++) {
                rates[t] = rates[t] * keep + (t == tenant ? 1000 / MEMORY_MS : 0);
                rate += allowances[t] > 0 ? rates[t] : 0;
            }
            rateAt = nowMs;
        }
        double others = sum - allowances[tenant];
        double part = others > 0 ? Math.min(1, (rate - rates[tenant]) / others) : 0;
        double fill = allowances[tenant] * Math.max(1.0 / dispatchers, part) / 1000;
        double most = Math.max(3, fill * BURST_MS);
        double age = Double.isNaN(filled[tenant]) ? BURST_MS : nowMs - filled[tenant];
        tokens[tenant] = Math.min(most, tokens[tenant] + age * fill);
        filled[tenant] = nowMs;
        if (tokens[tenant] < 1) {
            return Math.max(LEAST, 1 - turnedAway / SHORT);
        }
        if (first) {
            tokens[tenant]--;
        }
        within.add(id);
        return 1;
    }

    /** The request has its answer; {@code away}: it was turned away or failed. */
    public void requestCompleted(long id, boolean away) {
        if (within.remove(id)) {
            turnedAway += STEP * ((away ? 1 : 0) - turnedAway);
        }
    }

    /** Nobody waits for the request any more: it tells nothing. */
    public void clientLeft(long id) {
        within.remove(id);
    }
}

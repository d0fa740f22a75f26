package maplespread.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The workers in places without gaps, with a share and a cost by place and the shares' sum. Coming and going
 * costs the same whatever their number: the last one takes the place of one that goes. Decides nothing.
 */
final class WorkerTable<W extends WorkerTable.Indexed> {
    /** What has a place; -1 while it has none. */
    static class Indexed {
        int at = -1;
    }

    private final List<W> all = new ArrayList<>();
    private double[] shares = {};
    private double[] costs = {};
    private double total;

    int size() {
        return all.size();
    }

    W get(int at) {
        return all.get(at);
    }

    List<W> all() {
        return all;
    }

    /** Has it in or out. */
    void put(W w, boolean in) {
        if (in && w.at < 0) {
            w.at = all.size();
            all.add(w);
            if (w.at >= shares.length) {
                shares = Arrays.copyOf(shares, 2 * w.at + 8);
                costs = Arrays.copyOf(costs, shares.length);
            }
        } else if (!in && w.at >= 0) {
            share(w, 0);
            W last = all.remove(all.size() - 1);
            if (last != w) {
                all.set(w.at, last);
                shares[w.at] = shares[last.at];
                costs[w.at] = costs[last.at];
                shares[last.at] = 0;
                last.at = w.at;
            }
            w.at = -1;
        }
    }

    /** Sets its share of the sum; passed over for one without a place. */
    void share(W w, double share) {
        if (w.at >= 0) {
            total += share - shares[w.at];
            shares[w.at] = share;
        }
    }

    double share(int at) {
        return shares[at];
    }

    /** The sum of the shares, made anew: without that, roundings add up. */
    double sum() {
        total = 0;
        for (int i = 0; i < all.size(); i++) {
            total += shares[i];
        }
        return total;
    }

    double total() {
        return total;
    }

    double cost(W w) {
        return costs[w.at];
    }

    void cost(W w, double cost) {
        costs[w.at] = cost;
    }

    /** The first of the least cost, if any costs less than the limit; else null. */
    W cheapest(double limit) {
        int best = -1;
        for (int i = 0; i < all.size(); i++) {
            best = costs[i] < (best < 0 ? limit : costs[best]) ? i : best;
        }
        return best < 0 ? null : all.get(best);
    }

    /** The same among these. */
    W cheapest(List<W> among, double limit) {
        W best = null;
        for (W w : among) {
            best = cost(w) < (best == null ? limit : cost(best)) ? w : best;
        }
        return best;
    }
}

package maplespread.partition;

/**
 * The transition from the previous routing table to the one in force. A request that the previous table orders by
 * another key, or not at all, waits until all requests sent under the previous table must be over; all others are sent
 * at once. Not thread-safe: the caller holds one lock around all calls. Times are milliseconds of one clock, which is
 * passed in.
 */
public final class RoutingTableTransition {
    /** Earliest send time of a request that does not wait for the transition. */
    private static final long AT_ONCE = Long.MIN_VALUE;

    private RoutingTable table;
    private RoutingTable previousTable;
    /** Epoch of the table in force; -1: no tables were learned yet. */
    private long tableEpoch = -1;
    /** Time at which the transition ends. */
    private long settledAtMs;

    /**
     * The decision of the table in force on a request.
     *
     * @param key the key by which the request is ordered; null: its rule has no order, or the request lacks the
     *     attribute
     * @param sendAllowedFrom the earliest time in milliseconds at which the request may be sent
     */
    public record RoutingDecision(Rule rule, String key, long sendAllowedFrom) {}

    /**
     * Adopts the tables of an agreed assignment, if they are later than the known ones.
     *
     * @param epoch the epoch of the next table
     * @param holdMs {@link LeaseSettings#holdMs} for both tables
     */
    public void learn(long nowMs, long epoch, RoutingTable next, RoutingTable previous, long holdMs) {
        if (epoch > tableEpoch) {
            tableEpoch = epoch;
            table = next;
            previousTable = previous;
            settledAtMs = nowMs + holdMs;
        }
    }

    /** The longest time in milliseconds that an ordered request can run under either table. */
    public static long maxRunMs(RoutingTable next, RoutingTable previous) {
        return Math.max(next.maxRunMs(), previous.maxRunMs());
    }

    /**
     * Whether another table may be put in force. Of three tables within one hold time, the first would not be known
     * here, although requests sent under it may still run.
     */
    public boolean mayChange(long nowMs) {
        return nowMs >= settledAtMs;
    }

    /** Decides on a request. Requires that tables were learned. */
    public RoutingDecision decide(long nowMs, RequestAttributes request) {
        Rule rule = table.decide(request);
        String key = key(rule, request);
        boolean keyChanges =
                key != null && nowMs < settledAtMs && !key.equals(key(previousTable.decide(request), request));
        return new RoutingDecision(rule, key, keyChanges ? settledAtMs : AT_ONCE);
    }

    private static String key(Rule rule, RequestAttributes request) {
        return rule.isOrdered() ? rule.keyOf(request) : null;
    }
}

package maplespread.partition;

/**
 * The routing table in force and the one before it. A request that the earlier one orders by another key, or not at
 * all, waits until all that was sent under the earlier one is surely over; all others go on at once. Not thread-safe:
 * the caller holds one lock around all calls. Times are milliseconds of one clock, which is passed in.
 */
public final class RoutingTableTransition {
    /** Of a request that does not wait for a change of tables. */
    private static final long AT_ONCE = Long.MIN_VALUE;

    private RoutingTable table;
    private RoutingTable previousTable;
    private long tableEpoch = -1;
    private long settledAtMs;

    /**
     * What the table says of a request.
     *
     * @param key by which it is ordered; null: its rule has no order, or it lacks the attribute
     * @param sendAllowedFrom the earliest time in milliseconds at which it may be sent
     */
    public record RoutingDecision(Rule rule, String key, long sendAllowedFrom) {}

    /**
     * Takes up the tables of an agreed value, if they are later than the known ones.
     *
     * @param epoch that of the table
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

    /** The longest in milliseconds that an ordered request under either table can run. */
    public static long maxRunMs(RoutingTable next, RoutingTable previous) {
        return Math.max(next.maxRunMs(), previous.maxRunMs());
    }

    /** Whether the next table may come: two changes within a hold time would hide the first of three tables. */
    public boolean mayChange(long nowMs) {
        return nowMs >= settledAtMs;
    }

    /** To be called only once tables were learned. */
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

package maplespread.partition;

/**
 * The table that counts and the one before it. A job that the earlier one orders by another key, or not at
 * all, waits until all that went out under the earlier one is surely over; all other jobs go on at once.
 */
public final class RoutingTableTransition {
    private RoutingTable table;
    private RoutingTable before;
    private long since = -1;
    private long settledAt;

    /** What the table says of a job; {@code from}: it may not go out earlier; {@code key} null: see rule. */
    public record RoutingDecision(Rule rule, String key, long sendAllowedFrom) {}

    /** Those of an agreed value; {@code epoch}: that of the table; {@code holdMs}: {@link LeaseSettings}. */
    public void learn(long now, long epoch, RoutingTable next, RoutingTable earlier, long holdMs) {
        if (epoch > since) {
            since = epoch;
            table = next;
            before = earlier;
            settledAt = now + holdMs;
        }
    }

    /** The longest that an ordered job under either table can run. */
    public static long maxRunMs(RoutingTable next, RoutingTable earlier) {
        return Math.max(next.maxRunMs(), earlier.maxRunMs());
    }

    /** Whether the next table may come: two changes within a hold time would hide a third from those away. */
    public boolean mayChange(long now) {
        return now >= settledAt;
    }

    public RoutingDecision decide(long now, RequestAttributes job) {
        Rule rule = table.decide(job);
        String key = key(rule, job);
        boolean changed = key != null && now < settledAt && !key.equals(key(before.decide(job), job));
        return new RoutingDecision(rule, key, changed ? settledAt : Long.MIN_VALUE);
    }

    private static String key(Rule rule, RequestAttributes job) {
        return rule.isOrdered() ? rule.keyOf(job) : null;
    }
}

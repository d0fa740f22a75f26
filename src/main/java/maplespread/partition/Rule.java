package maplespread.partition;

import java.util.List;

/**
 * One row of the routing table.
 *
 * @param name as the table has it, else the rule's number from 1; stands in errors
 * @param when conditions, all of which must hold; empty: every request matches
 * @param partition the name of the workers' partition that requests go to
 * @param key the attribute that requests are ordered by
 * @param maxRunMs how long after it was sent a request can still run at most
 * @param perKeyLimits on what waits in the line of one key
 * @param spill partitions to be tried in this order where the own one has no worker; empty: reject
 */
public record Rule(
        String name,
        List<Condition> when,
        String partition,
        Order order,
        String key,
        OnFailure onFailure,
        long maxRunMs,
        QueueLimits perKeyLimits,
        List<String> spill) {
    /** One condition on one attribute. */
    public record Condition(String attribute, AttributeMatcher matcher) {}

    /** Whether requests are sent one by one. The table has the constants in lower case. */
    public enum Order {
        /** Requests are sent as they come. */
        NONE,
        /** Of one key one request at a time, in the order in which they were accepted. */
        BY_KEY,
        /** The same, and a failure stops the key. */
        BY_KEY_STOP
    }

    /** What follows for a key when a request of it has failed. The table has the constants in lower case. */
    public enum OnFailure {
        /** The next request is sent. */
        GO_ON,
        /** What waited behind it is rejected; what comes later is sent. */
        SKIP,
        /** What waits and what comes is rejected until an operator starts the key. */
        STOP
    }

    /** Whether requests that match are sent one by one. */
    public boolean isOrdered() {
        return order != Order.NONE;
    }

    /**
     * The request's key under this rule; null: it lacks the attribute. Rules with the same attribute share keys, so a
     * request that comes under another of them stays in its line.
     */
    public String keyOf(RequestAttributes request) {
        Object value = request.get(key);
        return value == null ? null : key + "=" + value;
    }
}

package maplespread.partition;

import java.util.List;

/**
 * One rule of the routing table.
 *
 * @param name the name in the table, or the rule's number from 1 if it has none; used in errors
 * @param when conditions, all of which must hold; empty: every request matches
 * @param partition the name of the partition of workers that requests go to
 * @param key the attribute that requests are ordered by
 * @param maxRunMs the longest time that a request can still run after it was sent
 * @param perKeyLimits limits on the requests that wait for one key
 * @param spill partitions to try, in this order, while the rule's own partition has no worker; empty: reject
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

    /** Whether requests are sent one at a time. The table has the constants in lower case. */
    public enum Order {
        /** Requests are sent as they arrive. */
        NONE,
        /** One request of a key at a time, in the order in which they were accepted. */
        BY_KEY,
        /** Like {@link #BY_KEY}, and a failure stops the key. */
        BY_KEY_STOP
    }

    /** What happens to a key after a request of it has failed. The table has the constants in lower case. */
    public enum OnFailure {
        /** The next request is sent. */
        GO_ON,
        /** Requests that waited behind it are rejected; later ones are sent. */
        SKIP,
        /** Waiting and new requests are rejected until an operator starts the key. */
        STOP
    }

    /** Whether requests that match are sent one at a time for each key. */
    public boolean isOrdered() {
        return order != Order.NONE;
    }

    /**
     * The request's key under this rule; null: it lacks the attribute. Rules with the same attribute share keys, so a
     * request that matches another of these rules keeps its place in the order of its key.
     */
    public String keyOf(RequestAttributes request) {
        Object value = request.get(key);
        return value == null ? null : key + "=" + value;
    }
}

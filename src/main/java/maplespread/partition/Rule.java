package maplespread.partition;

import java.util.List;

/**
 * One row of the table. {@code key}: the attribute that jobs are ordered by; {@code runsMs}: how long after
 * it was sent a job can still run at most; {@code spill}: partitions to be tried in this order where the own
 * one has no worker, empty: refuse.
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
    /** One condition; all of a rule's must hold. */
    public record Condition(String attribute, AttributeMatcher matcher) {}

    public enum Order {
        NONE,
        BY_KEY,
        BY_KEY_STOP
    }

    /** What follows for a key when its head has failed. */
    public enum OnFailure {
        /** The next job goes out. */
        GO_ON,
        /** What waited behind it is refused; what comes later goes out. */
        SKIP,
        /** What waits and what comes is refused until the key is started again by call. */
        STOP
    }

    public boolean isOrdered() {
        return order != Order.NONE;
    }

    /**
     * The job's key under this rule; null: it lacks the attribute. Rules with the same attribute share keys,
     * so a job that comes under another of them stays in its line.
     */
    public String keyOf(RequestAttributes job) {
        Object value = job.get(key);
        return value == null ? null : key + "=" + value;
    }
}

package maplespread.policy;

/**
 * A class of requests: its deadline, its objective and what may be done with its requests.
 *
 * @param latencyObjectiveMs a response within it is on time
 * @param stretchFactor the objective grows by this multiple of the request's own work; 0: it does not
 * @param deadlineMs the client waits no longer
 * @param priorityWeight what a served request is worth, over others
 * @param lateWeightShare share of that weight, 0 to 1, for a response after the objective and before the deadline
 * @param idempotency whether a request may be repeated once it may have run
 * @param deduplicationScope which workers drop a repeat of a request with an idempotency key
 * @param deduplicationWindowMs how long they drop it
 * @param streaming whether responses are streamed
 * @param requiredWorkerKind the kind of worker that it must run on; -1: any
 */
public record RequestClass(
        double latencyObjectiveMs,
        double stretchFactor,
        double deadlineMs,
        double priorityWeight,
        double lateWeightShare,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        boolean streaming,
        int requiredWorkerKind) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMs > 0 && deadlineMs > 0, "a class needs an aim and a deadline above zero");
        Preconditions.require(
                stretchFactor >= 0 && priorityWeight >= 0 && deduplicationWindowMs >= 0,
                "stretch, worth and window must not be negative");
        Preconditions.require(lateWeightShare >= 0 && lateWeightShare <= 1, "lateShare must lie in 0..1");
        Preconditions.require(idempotency != null && deduplicationScope != null, "a class needs an effect and a group");
    }

    /** Whether a request may be sent again so long after its first attempt that may have run. */
    public boolean mayRepeatAfter(double sinceMs) {
        return idempotency == Idempotency.READ_LIKE
                || idempotency == Idempotency.IDEMPOTENCY_KEY && sinceMs <= deduplicationWindowMs;
    }
}

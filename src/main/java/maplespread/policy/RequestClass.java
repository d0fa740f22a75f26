package maplespread.policy;

/**
 * A class of requests: their deadline, their latency objective and how they may be handled.
 *
 * @param latencyObjectiveMs time within which a response is on time
 * @param stretchFactor multiple of the request's own work by which the objective is extended; 0: it is not
 * @param deadlineMs time after which the client no longer waits
 * @param priorityWeight value of a served request relative to others
 * @param lateWeightShare share of that weight, 0 to 1, for a response after the objective and before the deadline
 * @param idempotency whether a request may be repeated once it may have run
 * @param deduplicationScope which workers drop a repeat of a request with an idempotency key
 * @param deduplicationWindowMs time during which these workers drop a repeat
 * @param streaming whether responses are streamed
 * @param requiredWorkerKind the kind of worker on which requests must run; -1: any
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
     * Checks the values.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMs > 0 && deadlineMs > 0, "a class needs an aim and a deadline above zero");
        Preconditions.require(
                stretchFactor >= 0 && priorityWeight >= 0 && deduplicationWindowMs >= 0,
                "aimStretch, worth and repeatWindowMs must not be negative");
        Preconditions.require(lateWeightShare >= 0 && lateWeightShare <= 1, "lateShare must lie in 0..1");
        Preconditions.require(
                idempotency != null && deduplicationScope != null, "a class needs an effect and a dedupScope");
    }

    /** Whether a request may be sent again {@code sinceMs} after an attempt that may have run. */
    public boolean mayRepeatAfter(double sinceMs) {
        return idempotency == Idempotency.READ_LIKE
                || idempotency == Idempotency.IDEMPOTENCY_KEY && sinceMs <= deduplicationWindowMs;
    }
}

package maplespread.policy;

/**
 * A class of requests. {@code stretch}: the aim grows by this multiple of the request's own work (0:
 * it does not); {@code kind}: the worker kind it must run on, or -1; {@code lateShare}: share of the
 * worth paid for an answer after the aim and before the deadline.
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
    public RequestClass {
        Preconditions.require(
                latencyObjectiveMs > 0 && deadlineMs > 0, "a class needs an aim and a deadline above zero");
        Preconditions.require(
                stretchFactor >= 0 && priorityWeight >= 0 && deduplicationWindowMs >= 0,
                "stretch, worth and window must not be negative");
        Preconditions.require(lateWeightShare >= 0 && lateWeightShare <= 1, "lateShare must lie in 0..1");
        Preconditions.require(idempotency != null && deduplicationScope != null, "a class needs an effect and a group");
    }

    /** Whether a job may be sent again so long after its first attempt that may have run. */
    public boolean mayRepeatAfter(double sinceMs) {
        return idempotency == Idempotency.READ_LIKE
                || idempotency == Idempotency.IDEMPOTENCY_KEY && sinceMs <= deduplicationWindowMs;
    }
}

package maplespread.policy;

/**
 * Decides whether a request may be attempted, for the first time or again, and whether it may be rejected. Both depend
 * on whether an earlier attempt may have run. Such a request is repeated only where its class's {@link Idempotency}
 * makes that harmless, and rejected (which invites the client to repeat it) only where any worker may get the repeat.
 */
final class RetryPolicy {
    private final PolicyContext context;

    RetryPolicy(PolicyContext context) {
        this.context = context;
    }

    /**
     * Checks the conditions of a send that depend on the request and its earlier attempts.
     *
     * @return {@link Eligibility#ELIGIBLE} or the first condition that fails
     */
    Eligibility check(PendingRequest request, Worker worker) {
        if (request.ended || request.responseStarted) {
            return Eligibility.REQUEST_ENDED;
        }
        if (context.nowMs >= request.deadlineMs) {
            return Eligibility.DEADLINE_PASSED;
        }
        if (request.attemptsInFlight > 0) {
            return Eligibility.ATTEMPT_IN_FLIGHT;
        }
        if (request.attempts.size() >= request.maxAttempts) {
            return Eligibility.ATTEMPTS_USED;
        }
        RequestClass requestClass = request.requestClass;
        for (InFlightAttempt earlier : request.attempts) {
            if (earlier.neverRan) {
                continue;
            }
            if (!requestClass.mayRepeatAfter(context.nowMs - earlier.sentAtMs)) {
                return Eligibility.MAY_HAVE_RUN;
            }
            if (!isRepeatSafe(earlier, worker, requestClass)) {
                return Eligibility.OUTSIDE_DEDUPLICATION_SCOPE;
            }
        }
        return Eligibility.ELIGIBLE;
    }

    /** Whether a rejection is safe: the client may then send the request again, to any dispatcher and worker. */
    boolean mayReject(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        if (requestClass.idempotency() == Idempotency.READ_LIKE) {
            return true;
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL) {
            return true;
        }
        for (InFlightAttempt attempt : request.attempts) {
            if (!attempt.neverRan) {
                return false;
            }
        }
        return true;
    }

    /** Whether the worker drops a repeat of the earlier attempt, or running the request twice does no harm. */
    private static boolean isRepeatSafe(InFlightAttempt earlier, Worker worker, RequestClass requestClass) {
        if (requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return true;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> earlier.worker.zone == worker.zone;
            case CELL -> earlier.worker.cell == worker.cell;
        };
    }
}

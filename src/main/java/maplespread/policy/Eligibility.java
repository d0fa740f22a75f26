package maplespread.policy;

/**
 * Whether a request may be sent to a worker at this moment, or the first condition that fails, in the order in which
 * {@link EligibilityFilter} and {@link RetryPolicy} check them. Every send checks all conditions again.
 */
enum Eligibility {
    /** All conditions hold. */
    ELIGIBLE,

    /** The endpoint list shows the worker as draining or removed. Only active workers get requests. */
    WORKER_NOT_ACTIVE,

    /**
     * The endpoint list may be out of date (see {@link EndpointListFreshness}): it may still name workers whose removal
     * counts as notified.
     */
    LIST_NOT_CONFIRMED,

    /** The request's class needs another kind of worker ({@link RequestClass#requiredWorkerKind}). */
    WRONG_WORKER_KIND,

    /** The request needs more slots or memory units than the worker has slots. */
    REQUEST_TOO_LARGE,

    /** The request is restricted to other workers ({@link PolicyRequest#eligibleWorkers}). */
    NOT_AMONG_ALLOWED_WORKERS,

    /** The request has ended, or its response has started: a request gets exactly one response. */
    REQUEST_ENDED,

    /** The request's deadline has passed: its client no longer waits. */
    DEADLINE_PASSED,

    /** Another attempt of the request is in flight: a request has at most one at a time. */
    ATTEMPT_IN_FLIGHT,

    /** The request has used all attempts that its settings allow ({@link SitePermissions#maxAttempts}). */
    ATTEMPTS_USED,

    /**
     * An earlier attempt may have run, and requests of its class must not be repeated, or no longer ({@link
     * RequestClass#mayRepeatAfter}).
     */
    MAY_HAVE_RUN,

    /** An earlier attempt may have run, and this worker does not drop its repeat ({@link DeduplicationScope}). */
    OUTSIDE_DEDUPLICATION_SCOPE,

    /**
     * The worker is in slow start, and this dispatcher has used its share of the work that the worker may be sent
     * ({@link SlowStartBudget}).
     */
    SLOW_START_BUDGET_USED
}

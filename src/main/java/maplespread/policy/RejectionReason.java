package maplespread.policy;

/**
 * Why a request is ended unserved. {@link AdmissionControl} decides it, but for FAULT and for a request that had no decision by
 * its deadline (OUT_OF_TIME), which the host ends. Log lines and metrics print the names. Whether the request is rejected (the
 * client may safely try again) or failed is decided apart, by {@link RetryPolicy}.
 */
public enum RejectionReason {
    /** Some worker may take it, but at each the expected loss of this and later requests is above a rejection's. */
    OVERLOADED,

    /**
     * No worker passed {@link EligibilityFilter}: each one is inactive, of another kind, too small, not among those allowed,
     * outside the scope or window of a repeat, or without slow-start budget ({@link Eligibility} has the conditions).
     */
    NO_SERVER,

    /** Nothing may be sent by the endpoint list, which may be out of date ({@link EndpointListFreshness}). */
    LIST_NOT_CONFIRMED,

    /** The request has had all attempts that its settings allow ({@link SitePermissions#maxAttempts}). */
    ATTEMPTS_USED,

    /** No worker may be used now, and the deadline is within two ticks, too near for another wait. */
    OUT_OF_TIME,

    /** An attempt may have run, and the request's class is not idempotent: it must not run twice. */
    MAY_HAVE_RUN,

    /** The policy failed: a fault of this program. */
    FAULT
}

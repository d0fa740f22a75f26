package maplespread.policy;

/**
 * Why a request is ended unserved. {@link AdmissionControl} decides the reason, except for requests that the host ends:
 * with FAULT, or with OUT_OF_TIME if there was no decision by the deadline. Log lines and metrics print the names.
 * {@link RetryPolicy} decides separately whether a request is rejected (the client may safely try again) or failed.
 */
public enum RejectionReason {
    /** Some worker may take it, but at each one the expected loss of this and later requests exceeds a rejection's. */
    OVERLOADED,

    /**
     * No worker passed {@link EligibilityFilter}: each one is inactive, of another kind, too small, not among those
     * allowed, outside the scope or window of a repeat, or without slow-start budget ({@link Eligibility} lists the
     * conditions).
     */
    NO_SERVER,

    /** The endpoint list may be out of date and must not be used ({@link EndpointListFreshness}). */
    LIST_NOT_CONFIRMED,

    /** The request has used all attempts that its settings allow ({@link SitePermissions#maxAttempts}). */
    ATTEMPTS_USED,

    /** No worker may be used now, and the deadline is within two ticks, too close for the request to wait. */
    OUT_OF_TIME,

    /** An attempt may have run, and the request's class is not idempotent: it must not run twice. */
    MAY_HAVE_RUN,

    /** The policy failed, due to a defect of this program. */
    FAULT
}

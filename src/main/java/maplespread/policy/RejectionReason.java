package maplespread.policy;

/**
 * Why a request is ended unserved; {@link AdmissionControl} decides it. Log lines and metrics print the names. Whether
 * the request is rejected (the client may safely try again) or failed is decided apart, by {@link RetryPolicy}.
 */
public enum RejectionReason {
    /** Some worker may take it, but at each the expected loss of this and later requests is above a rejection's. */
    OVERLOADED,

    /**
     * No worker may be used, by a list that counts: none is active, of the needed kind, or has slow-start budget left.
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

package maplespread.policy;

/** Why a request is ended unserved. Log lines and metrics print the names. */
public enum RejectionReason {
    /** Any attempt would cost more than the rejection. */
    OVERLOADED,

    /** No worker may be used. */
    NO_SERVER,

    /** No worker may be used by a list that may be out of date. */
    LIST_NOT_CONFIRMED,

    /** The request has had all its attempts. */
    ATTEMPTS_USED,

    /** Its deadline is too near for another wait. */
    OUT_OF_TIME,

    /** An attempt may have run, and the request must not run twice. */
    MAY_HAVE_RUN,

    /** The policy failed: a fault of this program. */
    FAULT
}

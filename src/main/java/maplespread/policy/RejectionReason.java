package maplespread.policy;

/**
 * Why a request is ended unserved. OVERLOADED: any attempt would cost more than the refusal; NO_SERVER: none may be
 * used; LIST_NOT_CONFIRMED: none may be used by a list that may be out of date; FAULT: the module failed.
 */
public enum RejectionReason {
    OVERLOADED,
    NO_SERVER,
    LIST_NOT_CONFIRMED,
    ATTEMPTS_USED,
    OUT_OF_TIME,
    MAY_HAVE_RUN,
    FAULT
}

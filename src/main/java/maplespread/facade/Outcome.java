package maplespread.facade;

/** How an attempt or a probe ended. */
public enum Outcome {
    /** The worker sent a complete result. */
    SERVED,
    /** The worker answered with an error: the request may have run. */
    ERROR,
    /** The worker rejected it, or returned it before starting it: it never ran. */
    REJECTED,
    /** No response arrived in time: the request may have run. */
    TIMED_OUT,
    /** No connection could be established: it never ran. */
    CONNECT_FAILED,
    /** The connection broke: the request may have run. */
    RESET,
    /**
     * A pooled connection broke before the worker sent any byte: the request may have run, and the worker need not be
     * at fault.
     */
    STALE_CONNECTION_RESET,
    /** This dispatcher cancelled it: the request may have run. */
    CANCELLED,
    /** Its last byte was never written: it never ran. */
    NEVER_SENT
}

package maplespread.facade;

/** How an attempt or a probe ended. */
public enum Outcome {
    /** A whole result came. */
    SERVED,
    /** The worker answered with an error: the request may have run. */
    ERROR,
    /** The worker rejected it, or handed it back unstarted: it never ran. */
    REJECTED,
    /** No answer came in time: the request may have run. */
    TIMED_OUT,
    /** No connection could be had: it never ran. */
    CONNECT_FAILED,
    /** The connection broke: the request may have run. */
    RESET,
    /**
     * A pooled connection broke before the worker had said anything: the request may have run, and nothing is known of
     * the worker.
     */
    STALE_CONNECTION_RESET,
    /** It was given up by this dispatcher: the request may have run. */
    CANCELLED,
    /** Its last byte was never written: it never ran. */
    NEVER_SENT
}

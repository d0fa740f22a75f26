package maplespread.policy;

/** How an attempt or a probe ended. */
public enum AttemptOutcome {
    /** The worker answered with a result. */
    SERVED,

    /** The worker answered with an error. */
    ERROR,

    /** The worker rejected it without running it. */
    REJECTED,

    /** No answer came in time. */
    TIMED_OUT,

    /** No connection could be opened: it never ran. */
    CONNECT_FAILED,

    /** The connection broke. */
    RESET,

    /** It was cancelled. */
    CANCELLED,

    /** It was never sent. */
    NEVER_SENT,

    /**
     * An idle connection broke before the worker sent a byte of the response, which does not indicate a fault of the
     * worker.
     */
    STALE_CONNECTION_RESET;

    /** Whether this outcome proves that the attempt never ran, so that a repeat is safe for any class. */
    public boolean provesNeverRan() {
        return this == REJECTED || this == CONNECT_FAILED || this == NEVER_SENT;
    }
}

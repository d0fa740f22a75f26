package maplespread.policy;

/**
 * How an attempt or probe ended. FULL, NO_CONNECTION and MOOT prove that it never ran. CUT is a RESET of
 * a connection kept from before, on which the worker had not said anything: it tells nothing of the
 * worker.
 */
public enum AttemptOutcome {
    SERVED,
    ERROR,
    REJECTED,
    TIMED_OUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NEVER_SENT,
    STALE_CONNECTION_RESET;

    /** Whether this outcome proves that the attempt never ran. */
    public boolean provesNeverRan() {
        return this == REJECTED || this == CONNECT_FAILED || this == NEVER_SENT;
    }
}

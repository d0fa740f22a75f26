package maplespread.facade;

/**
 * How a branch or a probe ended. TURNED_AWAY, NOT_CONNECTED and NEVER_SENT prove that it never ran. CUT: a
 * connection kept from before was reset and had brought nothing, so it may have run, and the worker is well.
 */
public enum Outcome {
    SERVED,
    ERROR,
    REJECTED,
    TIMED_OUT,
    CONNECT_FAILED,
    RESET,
    STALE_CONNECTION_RESET,
    CANCELLED,
    NEVER_SENT
}

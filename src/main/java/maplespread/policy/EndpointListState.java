package maplespread.policy;

/** Whether the endpoint list can be relied on. Log lines and admin responses print the names. */
public enum EndpointListState {
    /** Discovery has sent nothing since this process started: the list is not used to send requests. */
    UNCONFIRMED,

    /** A watch reports all changes. */
    CONFIRMED,

    /** There has been no watch for a short while: the list is still used. */
    RENEWING,

    /** There is no watch, and discovery is down, so there are no changes to learn of: the list is still used. */
    UNREACHABLE,

    /** Changes that count as notified may have been missed: the list is not used to send requests. */
    STALE
}

package maplespread.policy;

/** How far the endpoint list can be relied on. Log lines and admin answers print the names. */
public enum EndpointListState {
    /** Discovery has said nothing since this process started: nothing is sent by the list. */
    UNCONFIRMED,

    /** A watch reports all changes. */
    CONFIRMED,

    /** There is no watch since a short while: the list still counts. */
    RENEWING,

    /** There is no watch, and discovery is down, so that there is no change to know of: the list still counts. */
    UNREACHABLE,

    /** Changes may have been missed that this dispatcher is held to: nothing is sent by the list. */
    STALE
}

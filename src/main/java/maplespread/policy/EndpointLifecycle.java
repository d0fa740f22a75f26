package maplespread.policy;

/** How the endpoint list shows a worker. */
public enum EndpointLifecycle {
    /** It takes requests. */
    ACTIVE,

    /** It finishes its requests and takes no new ones. */
    DRAINING,

    /** It is no longer on the list. */
    REMOVED
}

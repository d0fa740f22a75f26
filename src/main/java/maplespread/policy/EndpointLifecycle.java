package maplespread.policy;

/** How the endpoint list shows a worker. */
public enum EndpointLifecycle {
    /** It takes requests. */
    ACTIVE,

    /** It finishes what it has and takes nothing new. */
    DRAINING,

    /** It is not on the list any more. */
    REMOVED
}

package maplespread.policy;

/** How a worker appears on the list. */
public enum EndpointLifecycle {
    ACTIVE,
    DRAINING,
    REMOVED
}

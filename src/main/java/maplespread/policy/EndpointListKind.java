package maplespread.policy;

/**
 * CHANGES: only entries that changed. FULL: all entries. HELD: all, as last held, possibly out of
 * date.
 */
public enum EndpointListKind {
    DELTA,
    FULL_SNAPSHOT,
    CACHED_SNAPSHOT
}

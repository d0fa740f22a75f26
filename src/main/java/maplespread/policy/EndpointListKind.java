package maplespread.policy;

/** What the entries of an endpoint list message stand for. */
public enum EndpointListKind {
    /** Only entries that changed. */
    DELTA,

    /** All entries: a worker that is absent has been removed. */
    FULL_SNAPSHOT,

    /** All entries as last known, from the configuration or a cache, possibly out of date. */
    CACHED_SNAPSHOT
}

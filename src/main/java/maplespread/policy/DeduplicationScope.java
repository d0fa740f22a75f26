package maplespread.policy;

/** Which workers drop a repeat of a keyed request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}

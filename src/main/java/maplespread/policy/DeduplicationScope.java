package maplespread.policy;

/** Which workers know that a request with an idempotency key ran at one of them, and drop its repeat. */
public enum DeduplicationScope {
    /** All workers. */
    ALL,

    /** Workers of the same zone. */
    ZONE,

    /** Workers of the same cell. */
    CELL
}

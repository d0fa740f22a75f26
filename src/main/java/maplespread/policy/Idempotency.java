package maplespread.policy;

/** Whether a request of a class may be repeated once an attempt may have run. */
public enum Idempotency {
    /** Running it twice does no harm: it may be repeated anywhere, at any time. */
    READ_LIKE,

    /** Workers drop a repeat by its key, within a time and a {@link DeduplicationScope}. */
    IDEMPOTENCY_KEY,

    /** It is never sent again once it may have run. */
    NON_IDEMPOTENT
}

package maplespread.policy;

/** May a request of the class be repeated once an attempt may have run? */
public enum Idempotency {
    READ_LIKE,
    IDEMPOTENCY_KEY,
    NON_IDEMPOTENT
}

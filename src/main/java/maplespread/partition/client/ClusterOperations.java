package maplespread.partition.client;

/** What ordered dispatch needs of the rest of the fleet. */
interface ClusterOperations {
    /** Where a member takes requests, {@code HOST:PORT}; null: not known. Must not block. */
    String address(String member);

    /**
     * Has it stored that the key is stopped; false: that is not known. Blocks for at most {@code waitMs}, so it must
     * not be called under the {@link OrderingLock}.
     */
    boolean storeStop(String key, long waitMs);

    /** The longest pause in milliseconds that clients may be advised. */
    double maxRetryAfterMs();
}

package maplespread.partition.client;

/** What ordered dispatch needs from the rest of the dispatcher. */
interface ClusterOperations {
    /** The address, {@code HOST:PORT}, where a member accepts requests; null if it is not known. Must not block. */
    String address(String member);

    /**
     * Stores that the key is stopped; returns false if it is not known whether the stop was stored. Blocks for at most
     * {@code waitMs}, so it must not be called under the {@link OrderingLock}.
     */
    boolean storeStop(String key, long waitMs);

    /** The longest retry delay in milliseconds that clients may be advised; 0 if none is advised. */
    double maxRetryAfterMs();
}

package maplespread.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * The ids of the requests in flight and of recently completed requests. A second request with the same id may come from
 * another client: it must not reach a worker, and its sender must not receive the result of the first. Clients generate
 * a new id for every request, including retries. Thread-safe.
 */
final class RecentRequestIds {
    /** Number of ids above which completed ids are removed before the end of their retention. */
    private static final int MAX_IDS = 20_000;

    private static final long NANOS_PER_MS = 1_000_000;
    private static final Long IN_FLIGHT = Long.MAX_VALUE;

    /** The completion time of each request by its id, on System.nanoTime, or IN_FLIGHT. */
    private final Map<String, Long> completedNanos = new ConcurrentHashMap<>();

    private final LongSupplier retentionMs;

    /**
     * Creates an empty set of ids.
     *
     * @param retentionMs how long the id of a completed request is kept, in milliseconds
     */
    RecentRequestIds(LongSupplier retentionMs) {
        this.retentionMs = retentionMs;
    }

    /** Registers the id of a request; false if the id was used before. */
    boolean register(String id) {
        return completedNanos.putIfAbsent(id, IN_FLIGHT) == null;
    }

    /** Records that the request has completed; without effect if its id is no longer registered. */
    void complete(String id) {
        completedNanos.replace(id, System.nanoTime());
    }

    /** Removes the id of a request that was not accepted, so that the client may use the id again. */
    void unregister(String id) {
        completedNanos.remove(id);
    }

    /** Removes the ids of requests that completed longer ago than the retention. */
    void removeExpired() {
        long nowNanos = System.nanoTime();
        long retentionNanos = completedNanos.size() > MAX_IDS ? 0 : retentionMs.getAsLong() * NANOS_PER_MS;
        completedNanos.values().removeIf(at -> !at.equals(IN_FLIGHT) && nowNanos - at > retentionNanos);
    }
}

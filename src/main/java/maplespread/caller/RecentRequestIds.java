package maplespread.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * The ids of the requests in flight and of those completed lately. A second request under an id may be another client's: a
 * worker must not get it, nor must its sender get the first one's result. Clients make a new id for every request, retries
 * included. Thread-safe.
 */
final class RecentRequestIds {
    /** Beyond this count, completed ids are forgotten early. */
    private static final int MAX_IDS = 20_000;

    private static final long NANOS_PER_MS = 1_000_000;
    private static final Long IN_FLIGHT = Long.MAX_VALUE;

    /** When each was completed, on System.nanoTime, or IN_FLIGHT. */
    private final Map<String, Long> completedNanos = new ConcurrentHashMap<>();

    private final LongSupplier retentionMs;

    /** {@code retentionMs}: how long a completed one is remembered, in milliseconds. */
    RecentRequestIds(LongSupplier retentionMs) {
        this.retentionMs = retentionMs;
    }

    /** False where the id was used before. */
    boolean register(String id) {
        return completedNanos.putIfAbsent(id, IN_FLIGHT) == null;
    }

    /** The request has completed; without effect where its id is no longer registered. */
    void complete(String id) {
        completedNanos.replace(id, System.nanoTime());
    }

    /** The request was not accepted after all: the same one may come again. */
    void unregister(String id) {
        completedNanos.remove(id);
    }

    /** Forgets those completed longer ago than the retention. */
    void removeExpired() {
        long nowNanos = System.nanoTime();
        long retentionNanos = completedNanos.size() > MAX_IDS ? 0 : retentionMs.getAsLong() * NANOS_PER_MS;
        completedNanos.values().removeIf(at -> !at.equals(IN_FLIGHT) && nowNanos - at > retentionNanos);
    }
}

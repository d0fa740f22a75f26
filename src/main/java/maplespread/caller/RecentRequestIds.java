package maplespread.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * The ids of the requests in work and of those lately ended. Guards against a second request under an id that
 * is another client's: a worker must not get it, nor must its sender get the first one's result. Clients make
 * a new id for every request, retries included.
 */
final class RecentRequestIds {
    private static final int MAX_IDS = 20_000; // then the ended ones are forgotten early
    private final Map<String, Long> endedAt = new ConcurrentHashMap<>(); // IN_WORK, or nanoseconds
    private static final Long IN_WORK = Long.MAX_VALUE;
    private final LongSupplier retentionMs;

    /** {@code keepMs}: how long an ended one is remembered. */
    RecentRequestIds(LongSupplier keepMs) {
        this.retentionMs = keepMs;
    }

    /** False where the id was used before. */
    boolean register(String id) {
        return endedAt.putIfAbsent(id, IN_WORK) == null;
    }

    void complete(String id) {
        endedAt.replace(id, System.nanoTime()); // not one that was not taken after all
    }

    /** Its request was not taken: the same one may come again. */
    void unregister(String id) {
        endedAt.remove(id);
    }

    /** Forgets what ended long ago. */
    void removeExpired() {
        long now = System.nanoTime();
        long keep = endedAt.size() > MAX_IDS ? 0 : retentionMs.getAsLong() * 1_000_000;
        endedAt.values().removeIf(at -> !at.equals(IN_WORK) && now - at > keep);
    }
}

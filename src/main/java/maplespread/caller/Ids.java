package maplespread.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * The ids of the requests in work and of those lately ended. Guards against a second request under an id that
 * is another client's: a worker must not get it, nor must its sender get the first one's result. Clients make
 * a new id for every request, retries included.
 */
final class Ids {
    private static final int MOST = 20_000; // then the ended ones are forgotten early
    private final Map<String, Long> endedAt = new ConcurrentHashMap<>(); // IN_WORK, or nanoseconds
    private static final Long IN_WORK = Long.MAX_VALUE;
    private final LongSupplier keepMs;

    /** {@code keepMs}: how long an ended one is remembered. */
    Ids(LongSupplier keepMs) {
        this.keepMs = keepMs;
    }

    /** False where the id was used before. */
    boolean take(String id) {
        return endedAt.putIfAbsent(id, IN_WORK) == null;
    }

    void ended(String id) {
        endedAt.replace(id, System.nanoTime()); // not one that was not taken after all
    }

    /** Its request was not taken: the same one may come again. */
    void untaken(String id) {
        endedAt.remove(id);
    }

    /** Forgets what ended long ago. */
    void sweep() {
        long now = System.nanoTime();
        long keep = endedAt.size() > MOST ? 0 : keepMs.getAsLong() * 1_000_000;
        endedAt.values().removeIf(at -> !at.equals(IN_WORK) && now - at > keep);
    }
}

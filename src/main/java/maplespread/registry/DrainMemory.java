package maplespread.registry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which starts of workers were published as draining. After another history (a registry restored from
 * a backup) such a drain holds until the worker is written again or has another start, also for a worker that
 * was gone meanwhile. The least recently used of more than 50,000 drains are forgotten. Not thread-safe.
 */
final class DrainMemory {
    private static final int MAX_DRAINS = 50_000;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /** One start of a worker. */
    private record Start(String worker, double startedAtMs) {}

    /** Drains, and up to which reading of an entry each holds whatever the entry says; 0: none. */
    private final Map<Start, Long> drains = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Start, Long> eldest) {
            return size() > MAX_DRAINS;
        }
    };

    /** The start has been published as serving. */
    void recordServing(String worker, double startedAtMs) {
        drains.remove(new Start(worker, startedAtMs));
    }

    /** The start has been published as draining. */
    void recordDrain(String worker, double startedAtMs) {
        drains.putIfAbsent(new Start(worker, startedAtMs), 0L);
    }

    /** Another history has begun: only entries read after the reading of this number undo a drain. */
    void holdBefore(long reading) {
        drains.replaceAll((start, before) -> reading);
    }

    /** Whether a drain holds against an entry of this start that was read as the reading of this number. */
    boolean holds(String worker, double startedAtMs, long reading) {
        return reading <= drains.getOrDefault(new Start(worker, startedAtMs), 0L);
    }
}

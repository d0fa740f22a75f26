package maplespread.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Measures for how long named conditions have held continuously. A condition holds as long as it is queried in each
 * round; the timer of one that was not queried in a round restarts at its next query.
 */
final class ConditionTimers {
    private final long staggerMs;
    private final Map<String, Long> heldSinceMs = new HashMap<>();
    private final Set<String> queriedInRound = new HashSet<>();
    private long nowMs;
    private long rank;

    /** {@code staggerMs} is the additional delay of each instance after the one of the previous rank. */
    ConditionTimers(long staggerMs) {
        this.staggerMs = staggerMs;
    }

    /**
     * Begins a round of queries.
     *
     * @param timeMs the time of a clock that is the same in all rounds
     * @param instancesBefore the number of instances that act before this one
     */
    void beginRound(long timeMs, long instancesBefore) {
        nowMs = timeMs;
        rank = instancesBefore;
        queriedInRound.clear();
    }

    void endRound() {
        heldSinceMs.keySet().retainAll(queriedInRound);
    }

    /** Restarts the timers of all conditions. */
    void reset() {
        heldSinceMs.clear();
    }

    /** Whether the condition has held for this duration. The first query starts its timer. */
    boolean heldFor(String condition, long durationMs) {
        queriedInRound.add(condition);
        return nowMs - heldSinceMs.computeIfAbsent(condition, key -> nowMs) >= durationMs;
    }

    /** Whether the condition has held for this duration plus the stagger of the instances before this one. */
    boolean heldForStaggered(String condition, long durationMs) {
        return heldFor(condition, durationMs + rank * staggerMs);
    }
}

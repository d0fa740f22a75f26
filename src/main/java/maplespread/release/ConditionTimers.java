package maplespread.release;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Measures for how long named conditions have held without a break. A condition holds as long as it is asked about in
 * each round; one that a round does not ask about begins anew when it is asked about again.
 */
final class ConditionTimers {
    private final long staggerMs;
    private final Map<String, Long> heldSinceMs = new HashMap<>();
    private final Set<String> askedInRound = new HashSet<>();
    private long nowMs;
    private long rank;

    /** {@code staggerMs}: how much longer each instance waits than the one before it. */
    ConditionTimers(long staggerMs) {
        this.staggerMs = staggerMs;
    }

    /** {@code time}: of the clock of every round, in ms; {@code instancesBefore}: how many act before this one. */
    void beginRound(long time, long instancesBefore) {
        nowMs = time;
        rank = instancesBefore;
        askedInRound.clear();
    }

    void endRound() {
        heldSinceMs.keySet().retainAll(askedInRound);
    }

    /** All conditions begin anew. */
    void reset() {
        heldSinceMs.clear();
    }

    /** Whether the condition has held for this long. The first call starts its timer; a round that does not ask resets it. */
    boolean heldFor(String condition, long durationMs) {
        askedInRound.add(condition);
        return nowMs - heldSinceMs.computeIfAbsent(condition, key -> nowMs) >= durationMs;
    }

    /** The same, and for as much longer as instances before this one are given to act first. */
    boolean heldForStaggered(String condition, long durationMs) {
        return heldFor(condition, durationMs + rank * staggerMs);
    }
}

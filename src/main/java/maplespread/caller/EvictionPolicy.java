package maplespread.caller;

import java.util.Collection;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Chooses the connection that gives way to another one: of those that can be evicted, the one idle longest, where the
 * idle time of a connection that is not validated counts {@link #UNVALIDATED_IDLE_FACTOR} times. Holds no state.
 */
final class EvictionPolicy {
    /** Factor on the idle time of a connection that is not validated. */
    private static final int UNVALIDATED_IDLE_FACTOR = 10;

    /**
     * Idle time in milliseconds up to which a validated connection keeps its place while unvalidated ones stand beside
     * it: a crowd that connects anew all the time is never idle for long.
     */
    private static final long PROTECTED_IDLE_MS = 1000;

    private static final long NANOS_PER_MS = 1_000_000;

    /** A connection as far as the choice depends on it. Its state may change at any time. */
    interface Candidate {
        /** Whether the connection has brought an acceptable request. */
        boolean isValidated();

        /** Whether the connection can be evicted now. */
        boolean isEvictable();

        /** The time at which a request last began or ended, on System.nanoTime. */
        long lastActivityNanos();
    }

    private final LongSupplier nanoTime;

    EvictionPolicy(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    /** Returns the connection that gives way to a new one. */
    <T extends Candidate> Optional<T> chooseForNew(Collection<T> candidates) {
        boolean crowd = candidates.stream().anyMatch(candidate -> !candidate.isValidated());
        return choose(candidates, crowd ? PROTECTED_IDLE_MS : 0, UNVALIDATED_IDLE_FACTOR);
    }

    /** Returns the validated connection that gives way where there are too many of these. */
    <T extends Candidate> Optional<T> chooseValidated(Collection<T> candidates) {
        return choose(candidates, 0, 0);
    }

    private <T extends Candidate> Optional<T> choose(
            Collection<T> candidates, long protectedIdleMs, int unvalidatedFactor) {
        T longestIdle = null;
        long longestNanos = 0;
        for (T candidate : candidates) {
            long lastActivityNanos = candidate.lastActivityNanos(); // read before the clock: it may change meanwhile
            long idleNanos = nanoTime.getAsLong() - lastActivityNanos;
            long countedNanos = candidate.isValidated()
                    ? idleNanos - protectedIdleMs * NANOS_PER_MS
                    : idleNanos * unvalidatedFactor;
            if (countedNanos > longestNanos && candidate.isEvictable()) {
                longestIdle = candidate;
                longestNanos = countedNanos;
            }
        }
        return Optional.ofNullable(longestIdle);
    }
}

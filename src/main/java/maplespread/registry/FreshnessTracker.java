package maplespread.registry;

import java.util.Arrays;

/**
 * Tracks, by target, when the local copy was last known to miss nothing, and reports when the oldest of these
 * times passes the staleness limit and when it is back within it. Not thread-safe.
 */
final class FreshnessTracker {
    private final long stalenessLimitMs;
    private final long[] confirmedAtMs;
    private boolean stale;

    FreshnessTracker(long stalenessLimitMs, int targets, long nowMs) {
        this.stalenessLimitMs = stalenessLimitMs;
        confirmedAtMs = new long[targets];
        Arrays.fill(confirmedAtMs, nowMs);
    }

    /** When nothing was last missing in the target that is worst off. */
    long confirmedAtMs() {
        long oldest = confirmedAtMs[0];
        for (long atMs : confirmedAtMs) {
            oldest = Math.min(oldest, atMs);
        }
        return oldest;
    }

    /** When nothing was last missing in the target. */
    long confirmedAtMs(int target) {
        return confirmedAtMs[target];
    }

    /** Nothing was missing in the target at that time. */
    void confirm(int target, long atMs) {
        confirmedAtMs[target] = atMs;
    }

    /** Nothing was missing in any target at that time. */
    void confirmAll(long atMs) {
        Arrays.fill(confirmedAtMs, atMs);
    }

    /** Whether the copy has become stale since it was last asked. */
    boolean becameStale(long nowMs) {
        if (stale || nowMs - confirmedAtMs() <= stalenessLimitMs) {
            return false;
        }
        stale = true;
        return true;
    }

    /** Whether the copy has stopped being stale since it was last asked. */
    boolean becameFresh(long nowMs) {
        if (!stale || nowMs - confirmedAtMs() > stalenessLimitMs) {
            return false;
        }
        stale = false;
        return true;
    }
}

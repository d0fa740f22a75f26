package maplespread.registry;

import java.util.SplittableRandom;

/**
 * Randomizes waits, so that dispatchers that lose one registry together do not return in step. Backoffs follow
 * decorrelated jitter (Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). All times are
 * milliseconds. Not thread-safe.
 */
final class DecorrelatedJitter {
    private static final int BACKOFF_GROWTH = 3;
    private static final int JITTER_PART = 10;

    private final SplittableRandom random;

    DecorrelatedJitter(SplittableRandom random) {
        this.random = random;
    }

    /** The backoff after one of {@code lastMs}: from the base to three times the last one, at most the cap. */
    long nextBackoffMs(long baseMs, long lastMs, long capMs) {
        long upperMs = Math.min(capMs, Math.max(baseMs + 1, lastMs * BACKOFF_GROWTH));
        return upperMs <= baseMs ? upperMs : baseMs + random.nextLong(upperMs - baseMs + 1);
    }

    /** The span, shortened by at most one {@code part}-th of it. */
    long shortened(long spanMs, int part) {
        return Math.max(1, spanMs - random.nextLong(spanMs / part + 1));
    }

    /** The span, lengthened or shortened by at most a tenth of it. */
    long jittered(long spanMs) {
        long halfWidthMs = spanMs / JITTER_PART;
        return Math.max(1, spanMs - halfWidthMs + random.nextLong(Math.max(1, spanMs / (JITTER_PART / 2))));
    }
}

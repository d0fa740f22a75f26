package maplespread.registry;

import java.util.SplittableRandom;

/**
 * Holds requests to a rate, and spreads repeated attempts by decorrelated jitter (Brooker, "Exponential
 * Backoff And Jitter", AWS Architecture Blog 2015): dispatchers that lose one registry together must
 * not return in step.
 */
final class RequestRateLimiter {
    private static final double BURST = 2; // a check and its watch go together
    private final SplittableRandom random;
    private final double perMs;
    private double tokens = BURST;
    private long filledAt;

    /** {@code perS}: requests a second; may be below one. */
    RequestRateLimiter(double perS, SplittableRandom random) {
        this.perMs = perS / 1000;
        this.random = random;
    }

    /** 0 where a request may go now, and it is counted; else when to ask again. */
    long acquire(long now) {
        if (filledAt != 0) {
            tokens = Math.min(BURST, tokens + Math.max(0, now - filledAt) * perMs);
        }
        filledAt = now;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return now + Math.max(1, (long) Math.ceil((1 - tokens) / perMs));
    }

    /** The wait after one of {@code last}: from base to three times the last, cap at most. */
    long nextBackoffMs(long base, long last, long cap) {
        long top = Math.min(cap, Math.max(base + 1, last * 3));
        return top <= base ? top : base + random.nextLong(top - base + 1);
    }

    /** At most the span, less by up to this part of it: what begins in step does not end so. */
    long shortened(long span, int part) {
        return Math.max(1, span - random.nextLong(span / part + 1));
    }

    /** Within a tenth of the span, so that long waits do not end in step either. */
    long jittered(long span) {
        return Math.max(1, span - span / 10 + random.nextLong(Math.max(1, span / 5)));
    }
}

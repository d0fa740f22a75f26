package maplespread.registry;

/** A token bucket: holds requests to a registry to a rate, with a burst of two. Not thread-safe. */
final class RequestRateLimiter {
    /** A history verification and the watch after it are sent together. */
    private static final double BURST_REQUESTS = 2;

    private static final double MS_PER_SECOND = 1000;

    private final double permitsPerMs;
    private double permits = BURST_REQUESTS;
    private long refilledAtMs;

    /** {@code requestsPerSecond} may be below one. */
    RequestRateLimiter(double requestsPerSecond) {
        permitsPerMs = requestsPerSecond / MS_PER_SECOND;
    }

    /** Takes a permit and returns 0, or returns the time at which to ask again. */
    long acquire(long nowMs) {
        if (refilledAtMs != 0) {
            permits = Math.min(BURST_REQUESTS, permits + Math.max(0, nowMs - refilledAtMs) * permitsPerMs);
        }
        refilledAtMs = nowMs;
        if (permits >= 1) {
            permits--;
            return 0;
        }
        return nowMs + Math.max(1, (long) Math.ceil((1 - permits) / permitsPerMs));
    }
}

package maplespread.release.client;

/** The clock for all durations in this package. */
final class MonotonicClock {
    private static final long NANOS_PER_MS = 1_000_000;

    private MonotonicClock() {}

    /** Milliseconds since an arbitrary moment; never goes back. */
    static long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}

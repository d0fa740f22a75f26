package maplespread.partition.client;

/** The package's monotonic clock, in milliseconds from an arbitrary origin: not comparable across processes. */
final class MonotonicTime {
    private static final long NANOS_PER_MS = 1_000_000;

    private MonotonicTime() {}

    static long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}

package maplespread.partition.client;

/** The clock of this package: milliseconds that never go back and mean nothing to other processes. */
final class MonotonicTime {
    private static final long NANOS_PER_MS = 1_000_000;

    private MonotonicTime() {}

    static long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}

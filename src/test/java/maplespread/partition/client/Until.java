package maplespread.partition.client;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads bring about; the limit only ends a test that hangs. */
final class Until {
    private static final long LIMIT_S = 60;

    private Until() {}

    static void until(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, "condition not met in time: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}

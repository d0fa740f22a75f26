package maplespread.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Permits for requests in flight; how many there are may change while some are in use. Thread-safe. */
final class ConcurrencyLimit {
    private final IntSupplier maxInUse;
    private final AtomicInteger inUse = new AtomicInteger();

    /** {@code maxInUse}: asked at each acquisition. */
    ConcurrencyLimit(IntSupplier maxInUse) {
        this.maxInUse = maxInUse;
    }

    /** Takes a permit if one is left; never blocks. */
    boolean tryAcquire() {
        int limit = maxInUse.getAsInt();
        return inUse.getAndUpdate(count -> count < limit ? count + 1 : count) < limit;
    }

    /** Gives a permit back. */
    void release() {
        inUse.decrementAndGet();
    }
}

package maplespread.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Permits for requests in flight; their number may change while some are in use. Thread-safe. */
final class ConcurrencyLimit {
    private final IntSupplier maxInUse;
    private final AtomicInteger inUse = new AtomicInteger();

    /**
     * Creates a limit with all permits available.
     *
     * @param maxInUse the number of permits, evaluated at each acquisition
     */
    ConcurrencyLimit(IntSupplier maxInUse) {
        this.maxInUse = maxInUse;
    }

    /** Acquires a permit if one is available; never blocks. */
    boolean tryAcquire() {
        int limit = maxInUse.getAsInt();
        return inUse.getAndUpdate(count -> count < limit ? count + 1 : count) < limit;
    }

    /** Releases a permit. */
    void release() {
        inUse.decrementAndGet();
    }
}

package maplespread.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Places for transactions in work; how many there are may change while some are taken. */
final class ConcurrencyLimit {
    private final IntSupplier maxInUse;
    private final AtomicInteger inUse = new AtomicInteger();

    ConcurrencyLimit(IntSupplier maxInUse) {
        this.maxInUse = maxInUse;
    }

    boolean tryAcquire() {
        int limit = maxInUse.getAsInt();
        return inUse.getAndUpdate(n -> n < limit ? n + 1 : n) < limit;
    }

    void release() {
        inUse.decrementAndGet();
    }
}

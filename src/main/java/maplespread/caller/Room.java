package maplespread.caller;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Places for transactions in work; how many there are may change while some are taken. */
final class Room {
    private final IntSupplier most;
    private final AtomicInteger taken = new AtomicInteger();

    Room(IntSupplier most) {
        this.most = most;
    }

    boolean tryAcquire() {
        int limit = most.getAsInt();
        return taken.getAndUpdate(n -> n < limit ? n + 1 : n) < limit;
    }

    void release() {
        taken.decrementAndGet();
    }
}

package maplespread.partition.client;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** The one lock around all that requests are ordered by; held for moments only, and never while something blocks. */
final class OrderingLock {
    private final ReentrantLock lock = new ReentrantLock();

    /** Does the work under the lock. */
    <T> T locked(Supplier<T> work) {
        lock.lock();
        try {
            return work.get();
        } finally {
            lock.unlock();
        }
    }

    /** The same for work without a result. */
    void runLocked(Runnable work) {
        lock.lock();
        try {
            work.run();
        } finally {
            lock.unlock();
        }
    }

    /** For a thread that waits for a condition; {@link #unlock} must follow. */
    void lockInterruptibly() throws InterruptedException {
        lock.lockInterruptibly();
    }

    void unlock() {
        lock.unlock();
    }

    Condition newCondition() {
        return lock.newCondition();
    }
}

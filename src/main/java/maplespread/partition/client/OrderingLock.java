package maplespread.partition.client;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** The lock around all state that requests are ordered by. Held only briefly and never across a blocking call. */
final class OrderingLock {
    private final ReentrantLock lock = new ReentrantLock();

    /** Runs {@code work} under the lock and returns its result. */
    <T> T locked(Supplier<T> work) {
        lock.lock();
        try {
            return work.get();
        } finally {
            lock.unlock();
        }
    }

    /** Runs {@code work}, which has no result, under the lock. */
    void runLocked(Runnable work) {
        lock.lock();
        try {
            work.run();
        } finally {
            lock.unlock();
        }
    }

    /** Acquires the lock for a thread that waits for a condition. {@link #unlock} must follow. */
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

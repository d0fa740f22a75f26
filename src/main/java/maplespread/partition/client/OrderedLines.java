package maplespread.partition.client;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.function.ToIntFunction;
import maplespread.partition.LeaseSettings;
import maplespread.partition.Partition;
import maplespread.partition.PerKeyQueue;

/**
 * The queued and in-flight requests of the keys that this member owns, and the stops of these keys. Guarded by the
 * {@link OrderingLock}: the methods of the first two sections are called under it, the others acquire it themselves.
 *
 * <p>Used by the request threads, the coordinator's thread ({@link #storePendingStops}), the thread that runs {@link
 * #runDueLoop}, threads that change the {@link OrderingState}, and the admin server's threads for statistics.
 */
final class OrderedLines implements PerKeyQueue.Callbacks {
    /** Longest wait of {@link #runDueLoop} before it checks again for due work. */
    private static final long MAX_DUE_WAIT_MS = 1000;

    private final OrderingLock lock;
    private final ClusterOperations operations;
    private final PerKeyQueue queue;
    /** Signalled when {@link #dueAtMs} has become earlier. */
    private final Condition dueSooner;
    /** Requests that are queued or in flight, by id. */
    private final Map<Long, OrderedRequest> requests = new HashMap<>();
    /** Keys whose stop some thread is storing. */
    private final Set<String> stopsBeingStored = new HashSet<>();

    private long lastId;
    /** When the queue next has due work, on {@link MonotonicTime}; {@code Long.MAX_VALUE} if none is known. */
    private long dueAtMs = Long.MAX_VALUE;

    OrderedLines(OrderingLock lock, LeaseSettings settings, ClusterOperations operations) {
        this.lock = lock;
        this.operations = operations;
        queue = new PerKeyQueue(settings, this);
        dueSooner = lock.newCondition();
    }

    // ------------------------------------------------------------ under the lock

    Condition newCondition() {
        return lock.newCondition();
    }

    long nextId() {
        return ++lastId;
    }

    /** Makes the request known to the callbacks. {@link #withdraw} must follow. */
    void register(OrderedRequest ordered) {
        requests.put(ordered.id, ordered);
        ordered.request.queued = ordered;
    }

    /** Appends a registered request to its key's queue; the request may be sent or rejected at once. */
    void enqueue(long nowMs, OrderedRequest ordered) {
        queue.enqueue(
                nowMs,
                new PerKeyQueue.QueuedRequest(
                        ordered.id,
                        ordered.key,
                        ordered.rule,
                        ordered.request.workMs,
                        ordered.request.deadlineMs,
                        nowMs));
        runDue();
    }

    /** Called when the request's thread stops waiting; removes the request from its queue unless it was sent. */
    void withdraw(OrderedRequest ordered) {
        ordered.request.queued = null;
        if (!ordered.sent) {
            queue.cancel(MonotonicTime.nowMs(), ordered.id);
            requests.remove(ordered.id);
            runDue();
        }
    }

    /** Replaces the known partitions. */
    void updatePartitions(Collection<Partition> partitions) {
        queue.updatePartitions(partitions);
    }

    /** Replaces the set of keys that are stored as stopped. */
    void updateStoppedKeys(Set<String> stored) {
        queue.updateStoppedKeys(stored);
    }

    /** Checks all queued requests again after a change of the lease, the assignment or the tables. */
    void reevaluateAll(long nowMs) {
        queue.reevaluateAll(nowMs);
        runDue();
    }

    /** Slots with a request that is in flight or may still run, or with a stop that is not stored yet. */
    Set<Integer> busySlots(long nowMs, ToIntFunction<String> slotOf) {
        return queue.busySlots(nowMs, slotOf);
    }

    // ------------------------------------------------------------ the queue's callbacks, under the lock

    @Override
    public long sendAllowedFrom(PerKeyQueue.QueuedRequest queued) {
        return requests.get(queued.id()).sendAllowedFrom(MonotonicTime.nowMs());
    }

    @Override
    public void send(PerKeyQueue.QueuedRequest queued) {
        OrderedRequest ordered = requests.get(queued.id());
        ordered.sent = true;
        ordered.decided.signal();
    }

    @Override
    public void reject(PerKeyQueue.QueuedRequest queued, PerKeyQueue.Rejection why) {
        OrderedRequest ordered = requests.get(queued.id());
        ordered.rejection = why;
        ordered.decided.signal();
    }

    /** Runs due work. Must be called after every change that may make work due earlier. */
    private void runDue() {
        long nextMs = queue.runDue(MonotonicTime.nowMs());
        if (nextMs < dueAtMs) {
            dueAtMs = nextMs;
            dueSooner.signal();
        }
    }

    // ------------------------------------------------------------ completions, due work and stops

    /** Completes a request that was sent; returns whether the caller must store the stop of its key. */
    boolean complete(OrderedRequest ordered, PerKeyQueue.ExecutionResult result) {
        return lock.locked(() -> {
            requests.remove(ordered.id);
            queue.complete(MonotonicTime.nowMs(), ordered.id, result);
            boolean stopToStore = result == PerKeyQueue.ExecutionResult.FAILED
                    && queue.unstoredStops().contains(ordered.key)
                    && stopsBeingStored.add(ordered.key);
            runDue();
            return stopToStore;
        });
    }

    /** Runs due work on a dedicated thread until it is interrupted. */
    void runDueLoop() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (true) {
                dueAtMs = queue.runDue(MonotonicTime.nowMs());
                long waitMs = Math.min(MAX_DUE_WAIT_MS, dueAtMs - MonotonicTime.nowMs());
                dueSooner.await(Math.max(1, waitMs), TimeUnit.MILLISECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Stores the stops that no other thread is storing. Blocks for at most {@code waitMs} per key. */
    void storePendingStops(long waitMs) {
        Set<String> keys = lock.locked(() -> {
            Set<String> pending = queue.unstoredStops();
            pending.removeIf(key -> !stopsBeingStored.add(key));
            return pending;
        });
        keys.forEach(key -> storeStop(key, waitMs));
    }

    /**
     * Stores the stop of a key. Returns false if it is not known whether the stop was stored; the key's queue then
     * continues. Blocks, so it must not be called under the lock.
     */
    boolean storeStop(String key, long waitMs) {
        boolean stored = false;
        try {
            stored = operations.storeStop(key, waitMs);
        } finally {
            boolean queueContinues = !stored;
            lock.runLocked(() -> {
                stopsBeingStored.remove(key);
                if (queueContinues) {
                    queue.stopNotStored(MonotonicTime.nowMs(), key);
                    runDue();
                }
            });
        }
        return stored;
    }

    // ------------------------------------------------------------ statistics

    /** The number of queued requests. */
    int waitingCount() {
        return lock.locked(queue::waitingCount);
    }

    /** The estimated work, in milliseconds, of a partition's queued requests. */
    double waitingWorkMs(String partition) {
        return lock.locked(() -> queue.waitingWorkMs(partition));
    }
}

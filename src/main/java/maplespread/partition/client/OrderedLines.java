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
 * The requests in the lines of the keys that this member owns, and the stops of these keys. Guarded by the {@link
 * OrderingLock}: methods of the first part are called under it, the others take it themselves.
 *
 * <p>Threads that come here: each request's own, the coordinator's ({@link #storePendingStops}), the one that runs
 * {@link #runDueLoop}, whoever changes the {@link OrderingState}, and the admin server's for figures.
 */
final class OrderedLines implements PerKeyQueue.Callbacks {
    /** The longest sleep of the thread that runs what is due. */
    private static final long MAX_DUE_WAIT_MS = 1000;

    private final OrderingLock lock;
    private final ClusterOperations operations;
    private final PerKeyQueue queue;
    /** Something is due earlier than {@link #dueAtMs} was. */
    private final Condition dueSooner;
    /** Those that wait in line or are in flight, by id. */
    private final Map<Long, OrderedRequest> requests = new HashMap<>();
    /** Keys whose stop some thread is having stored. */
    private final Set<String> stopsBeingStored = new HashSet<>();

    private long lastId;
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

    /** The callbacks find the request from now on; {@link #withdraw} must follow. */
    void register(OrderedRequest ordered) {
        requests.put(ordered.id, ordered);
        ordered.request.queued = ordered;
    }

    /** Puts a registered request in the line of its key, whereby it may be sent or rejected at once. */
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

    /** Its thread waits no longer; one that was not sent leaves its line. */
    void withdraw(OrderedRequest ordered) {
        ordered.request.queued = null;
        if (!ordered.sent) {
            queue.cancel(MonotonicTime.nowMs(), ordered.id);
            requests.remove(ordered.id);
            runDue();
        }
    }

    /** These partitions there are now. */
    void updatePartitions(Collection<Partition> partitions) {
        queue.updatePartitions(partitions);
    }

    /** The keys that are stored as stopped. */
    void updateStoppedKeys(Set<String> stored) {
        queue.updateStoppedKeys(stored);
    }

    /** The lease, the assignment or the tables have changed. */
    void reevaluateAll(long nowMs) {
        queue.reevaluateAll(nowMs);
        runDue();
    }

    /** Slots of which a request is in flight or may still run, or a stop is to be stored. */
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

    /** To be called after whatever may have changed what is due when. */
    private void runDue() {
        long nextMs = queue.runDue(MonotonicTime.nowMs());
        if (nextMs < dueAtMs) {
            dueAtMs = nextMs;
            dueSooner.signal();
        }
    }

    // ------------------------------------------------------------ what ends, and what is due

    /** A request that was sent has ended. Whether the caller is to have the stop of its key stored. */
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

    /** Runs what is due, for ever, on a thread for that alone; ends by an interrupt. */
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

    /** Has those stops stored that no request's thread waits for. Blocks, for {@code waitMs} a key at most. */
    void storePendingStops(long waitMs) {
        Set<String> keys = lock.locked(() -> {
            Set<String> pending = queue.unstoredStops();
            pending.removeIf(key -> !stopsBeingStored.add(key));
            return pending;
        });
        keys.forEach(key -> storeStop(key, waitMs));
    }

    /** Has a stop stored; false: that is not known, and the key goes on. Blocks: not under the lock. */
    boolean storeStop(String key, long waitMs) {
        boolean stored = false;
        try {
            stored = operations.storeStop(key, waitMs);
        } finally {
            boolean keyGoesOn = !stored;
            lock.runLocked(() -> {
                stopsBeingStored.remove(key);
                if (keyGoesOn) {
                    queue.stopNotStored(MonotonicTime.nowMs(), key);
                    runDue();
                }
            });
        }
        return stored;
    }

    // ------------------------------------------------------------ figures

    /** How many requests wait for their turn. */
    int waitingCount() {
        return lock.locked(queue::waitingCount);
    }

    /** Milliseconds of estimated work that wait for a partition. */
    double waitingWorkMs(String partition) {
        return lock.locked(() -> queue.waitingWorkMs(partition));
    }
}

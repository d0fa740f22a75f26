package maplespread.partition.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.Supplier;
import maplespread.log.Event;
import maplespread.partition.FencingCheck;
import maplespread.partition.LeaseSettings;
import maplespread.partition.Partition;
import maplespread.partition.PerKeyQueue;
import maplespread.partition.RequestAttributes;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableTransition;
import maplespread.partition.RoutingTableTransition.RoutingDecision;
import maplespread.partition.SlotAssignment;

/**
 * What this member knows and has in hand of ordered requests: its fencing check, the routing tables, and the
 * requests in the lines of its keys. All of it is guarded by one lock, which is held for moments only.
 *
 * <p>Threads that come here: each request's own, the lease thread ({@link #startRenewal}), the transport's
 * receiving thread ({@link #recordGrant}), whoever learns an agreed value ({@link #learn}), the coordinator's
 * ({@link #drainedSlots}, {@link #openedSlots}, {@link #storePendingStops}), the one that runs {@link
 * #runDueLoop}, and the admin server's for figures.
 */
final class OrderingState implements PerKeyQueue.Callbacks {
    /** The longest sleep of the thread that runs what is due. */
    private static final long MAX_DUE_WAIT_MS = 1000;

    /** A question to all electors: its number, and the epoch that it is about. */
    record LeaseRound(long number, long epoch) {}

    private final LeaseSettings settings;
    private final PartitionEndpoints endpoints;
    private final ClusterOperations operations;

    private final ReentrantLock lock = new ReentrantLock();
    /** The lease, the assignment or the tables have changed. */
    private final Condition changed = lock.newCondition();
    /** Something is due earlier than {@link #dueAtMs} was. */
    private final Condition dueSooner = lock.newCondition();

    private final PerKeyQueue queue;
    /** Those that wait in line or are out, by id. */
    private final Map<Long, OrderedRequest> requests = new HashMap<>();
    /** Keys whose stop some thread is having stored. */
    private final Set<String> stopsBeingStored = new HashSet<>();

    private String member = "";
    /** Null until this member has joined the group. */
    private FencingCheck fencing;
    /** Null until a value was agreed on. */
    private RoutingTableTransition tables;
    /** The table in force; the configured one until a value was agreed on. */
    private RoutingTable table;

    private long tablesVersion;
    private long lastId;
    private boolean leaseHeld;
    private long dueAtMs = Long.MAX_VALUE;

    OrderingState(
            LeaseSettings settings,
            RoutingTable configured,
            PartitionEndpoints endpoints,
            ClusterOperations operations) {
        this.settings = settings;
        this.table = configured;
        this.endpoints = endpoints;
        this.operations = operations;
        queue = new PerKeyQueue(settings, this);
    }

    /** Does the work under the lock. */
    <T> T locked(Supplier<T> work) {
        lock.lock();
        try {
            return work.get();
        } finally {
            lock.unlock();
        }
    }

    private void runLocked(Runnable work) {
        locked(() -> {
            work.run();
            return null;
        });
    }

    // ------------------------------------------------------------ for requests, under the lock

    /** For a request's own thread, which decides and waits under the lock. */
    void lockInterruptibly() throws InterruptedException {
        lock.lockInterruptibly();
    }

    void unlock() {
        lock.unlock();
    }

    Condition newCondition() {
        return lock.newCondition();
    }

    /** Waits until lease, assignment or tables have changed, or for so long; may return earlier than that. */
    void awaitChange(long limitMs) throws InterruptedException {
        changed.await(limitMs, TimeUnit.MILLISECONDS);
    }

    long nextId() {
        return ++lastId;
    }

    /** Grows with each table that is learned. */
    long tablesVersion() {
        return tablesVersion;
    }

    String member() {
        return member;
    }

    /** By the tables that were agreed on; empty: none were yet. */
    Optional<RoutingDecision> decide(long nowMs, RequestAttributes attributes) {
        return tables == null ? Optional.empty() : Optional.of(tables.decide(nowMs, attributes));
    }

    /** The table in force, or the configured one while none was agreed on. */
    RoutingTable tableInForce() {
        return table;
    }

    /** The assignment that requests go by; only once {@link #decide} has an answer. */
    SlotAssignment assignmentInForce() {
        return fencing.assignment();
    }

    /** From when on this member may send for the slot; {@link FencingCheck#NEVER}: it may not. */
    long slotAllowsFrom(long nowMs, int slot, long ownedSinceEpoch) {
        return fencing.sendAllowedFrom(nowMs, slot, ownedSinceEpoch);
    }

    /** The same for the slot of a key. */
    long slotAllowsFrom(long nowMs, String key, long ownedSinceEpoch) {
        return fencing.sendAllowedFrom(nowMs, fencing.assignment().slotOf(key), ownedSinceEpoch);
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

    // ------------------------------------------------------------ the lines' callbacks, under the lock

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
        return locked(() -> {
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
        Set<String> keys = locked(() -> {
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
            runLocked(() -> {
                stopsBeingStored.remove(key);
                if (keyGoesOn) {
                    queue.stopNotStored(MonotonicTime.nowMs(), key);
                    runDue();
                }
            });
        }
        return stored;
    }

    // ------------------------------------------------------------ what the fleet agrees on

    /** This member is in the group now, under this name. */
    void join(String asMember, int slots) {
        runLocked(() -> {
            member = asMember;
            fencing = new FencingCheck(settings, asMember, SlotAssignment.initial(slots, "", 0));
        });
    }

    /** Takes up a value that was agreed on, with its tables; false: it is no later than the known one. */
    boolean learn(SlotAssignment next, RoutingTable current, RoutingTable previous) {
        return locked(() -> {
            long nowMs = MonotonicTime.nowMs();
            long maxRunMs = RoutingTableTransition.maxRunMs(current, previous);
            if (!fencing.learn(nowMs, next, maxRunMs)) {
                return false;
            }
            if (tables == null || table != current) {
                tables = tables == null ? new RoutingTableTransition() : tables;
                table = current;
                tablesVersion++;
                queue.updatePartitions(current.partitions().values());
                retainPartitions(current, previous);
            }
            tables.learn(nowMs, next.tableEpoch(), current, previous, settings.holdMs(maxRunMs));
            queue.updateStoppedKeys(next.stoppedKeys());
            reevaluate(nowMs);
            return true;
        });
    }

    private void retainPartitions(RoutingTable current, RoutingTable previous) {
        List<Partition> partitions = new ArrayList<>(current.partitions().values());
        partitions.addAll(previous.partitions().values());
        endpoints.retain(partitions);
    }

    private void reevaluate(long nowMs) {
        queue.reevaluateAll(nowMs);
        changed.signalAll();
        runDue();
    }

    /** Begins a round of questions to the electors; empty: this member has not joined yet. */
    Optional<LeaseRound> startRenewal() {
        return locked(() -> {
            if (fencing == null) {
                return Optional.<LeaseRound>empty();
            }
            updateLease();
            long number = fencing.startRenewal(MonotonicTime.nowMs());
            return Optional.of(new LeaseRound(number, tables == null ? 0 : fencing.renewalEpoch()));
        });
    }

    /** An elector has granted what was asked in this round. */
    void recordGrant(String elector, long round, Predicate<Set<String>> isMajority) {
        runLocked(() -> {
            fencing.recordGrant(elector, round, isMajority);
            updateLease();
        });
    }

    private void updateLease() {
        boolean held = fencing.holdsLease(MonotonicTime.nowMs());
        if (held != leaseHeld) {
            leaseHeld = held;
            Event.write(!held, "partition.lease", "member", member, "held", held);
            reevaluate(MonotonicTime.nowMs());
        }
    }

    /** Slots of earlier epochs, of which nothing is in flight or held any more. */
    Set<Integer> drainedSlots() {
        return locked(() -> {
            if (tables == null) {
                return Set.<Integer>of();
            }
            Set<Integer> busy = queue.busySlots(MonotonicTime.nowMs(), fencing.assignment()::slotOf);
            return fencing.drainedSlots(slot -> !busy.contains(slot));
        });
    }

    /** Slots for whose earlier owners this member has waited long enough, and since which epoch it owns each. */
    Map<Integer, Long> openedSlots() {
        return locked(() -> tables == null ? Map.<Integer, Long>of() : fencing.openedSlots(MonotonicTime.nowMs()));
    }

    // ------------------------------------------------------------ figures

    /** The latest assignment that is known; empty: none was agreed on. */
    Optional<SlotAssignment> assignment() {
        return locked(() -> tables == null ? Optional.<SlotAssignment>empty() : Optional.of(fencing.assignment()));
    }

    /** The agreed table; empty: none was agreed on. */
    Optional<RoutingTable> agreedTable() {
        return locked(() -> tables == null ? Optional.<RoutingTable>empty() : Optional.of(table));
    }

    /** Whether the next table may come: the last change has settled. */
    boolean mayChange() {
        return locked(() -> tables != null && tables.mayChange(MonotonicTime.nowMs()));
    }

    boolean holdsLease() {
        return locked(() -> fencing != null && fencing.holdsLease(MonotonicTime.nowMs()));
    }

    /** The longest in milliseconds that a request can run under the table in force, or the configured one. */
    long maxRunMs() {
        return locked(() -> table.maxRunMs());
    }

    /** Slots that this member may send for at this moment. */
    List<Integer> openSlots() {
        return locked(() -> {
            List<Integer> open = new ArrayList<>();
            if (tables == null) {
                return open;
            }
            long nowMs = MonotonicTime.nowMs();
            List<SlotAssignment.Slot> slots = fencing.assignment().slots();
            for (int i = 0; i < slots.size(); i++) {
                if (fencing.sendAllowedFrom(nowMs, i, slots.get(i).ownedSinceEpoch()) <= nowMs) {
                    open.add(i);
                }
            }
            return open;
        });
    }

    int waitingCount() {
        return locked(queue::waitingCount);
    }

    /** Milliseconds of estimated work that wait for a partition. */
    double waitingWorkMs(String partition) {
        return locked(() -> queue.waitingWorkMs(partition));
    }
}

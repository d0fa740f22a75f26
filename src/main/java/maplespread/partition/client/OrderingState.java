package maplespread.partition.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.function.Predicate;
import maplespread.log.Event;
import maplespread.partition.FencingCheck;
import maplespread.partition.LeaseSettings;
import maplespread.partition.Partition;
import maplespread.partition.RequestAttributes;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableTransition;
import maplespread.partition.RoutingTableTransition.RoutingDecision;
import maplespread.partition.SlotAssignment;

/**
 * What this member knows of the order of requests: its lease and fencing check, the assignment, and the routing
 * tables. Guarded by the {@link OrderingLock}, as are the {@link OrderedLines} that belong to it: methods of the
 * first part are called under it, the others take it themselves.
 *
 * <p>Threads that come here: each request's own, the lease thread ({@link #startRenewal}), the transport's receiving
 * thread ({@link #recordGrant}), whoever learns an agreed value ({@link #learn}), the coordinator's ({@link
 * #drainedSlots}, {@link #openedSlots}), and the admin server's for figures.
 */
final class OrderingState {
    /** A question to all electors: its number, and the epoch that it is about. */
    record LeaseRound(long number, long epoch) {}

    private final LeaseSettings settings;
    private final PartitionEndpoints endpoints;
    private final OrderingLock lock = new OrderingLock();
    private final OrderedLines lines;
    /** The lease, the assignment or the tables have changed. */
    private final Condition changed = lock.newCondition();

    private String member = "";
    /** Null until this member has joined the group. */
    private FencingCheck fencing;
    /** Null until a value was agreed on. */
    private RoutingTableTransition tables;
    /** The table in force; the configured one until a value was agreed on. */
    private RoutingTable table;

    private long tablesVersion;
    private boolean leaseHeld;

    OrderingState(
            LeaseSettings settings,
            RoutingTable configured,
            PartitionEndpoints endpoints,
            ClusterOperations operations) {
        this.settings = settings;
        this.table = configured;
        this.endpoints = endpoints;
        lines = new OrderedLines(lock, settings, operations);
    }

    OrderingLock lock() {
        return lock;
    }

    OrderedLines lines() {
        return lines;
    }

    // ------------------------------------------------------------ for requests, under the lock

    /** Waits until lease, assignment or tables have changed, or for so long; may return earlier than that. */
    void awaitChange(long limitMs) throws InterruptedException {
        changed.await(limitMs, TimeUnit.MILLISECONDS);
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

    // ------------------------------------------------------------ what the fleet agrees on

    /** This member is in the group now, under this name. */
    void join(String asMember, int slots) {
        lock.runLocked(() -> {
            member = asMember;
            fencing = new FencingCheck(settings, asMember, SlotAssignment.initial(slots, "", 0));
        });
    }

    /** Takes up a value that was agreed on, with its tables; false: it is no later than the known one. */
    boolean learn(SlotAssignment next, RoutingTable current, RoutingTable previous) {
        return lock.locked(() -> {
            long nowMs = MonotonicTime.nowMs();
            long maxRunMs = RoutingTableTransition.maxRunMs(current, previous);
            if (!fencing.learn(nowMs, next, maxRunMs)) {
                return false;
            }
            if (tables == null || table != current) {
                tables = tables == null ? new RoutingTableTransition() : tables;
                table = current;
                tablesVersion++;
                lines.updatePartitions(current.partitions().values());
                retainPartitions(current, previous);
            }
            tables.learn(nowMs, next.tableEpoch(), current, previous, settings.holdMs(maxRunMs));
            lines.updateStoppedKeys(next.stoppedKeys());
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
        lines.reevaluateAll(nowMs);
        changed.signalAll();
    }

    /** Begins a round of questions to the electors; empty: this member has not joined yet. */
    Optional<LeaseRound> startRenewal() {
        return lock.locked(() -> {
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
        lock.runLocked(() -> {
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
        return lock.locked(() -> {
            if (tables == null) {
                return Set.<Integer>of();
            }
            Set<Integer> busy = lines.busySlots(MonotonicTime.nowMs(), fencing.assignment()::slotOf);
            return fencing.drainedSlots(slot -> !busy.contains(slot));
        });
    }

    /** Slots for whose earlier owners this member has waited long enough, and since which epoch it owns each. */
    Map<Integer, Long> openedSlots() {
        return lock.locked(() -> tables == null ? Map.<Integer, Long>of() : fencing.openedSlots(MonotonicTime.nowMs()));
    }

    // ------------------------------------------------------------ figures

    /** The latest assignment that is known; empty: none was agreed on. */
    Optional<SlotAssignment> assignment() {
        return lock.locked(() -> tables == null ? Optional.<SlotAssignment>empty() : Optional.of(fencing.assignment()));
    }

    /** The agreed table; empty: none was agreed on. */
    Optional<RoutingTable> agreedTable() {
        return lock.locked(() -> tables == null ? Optional.<RoutingTable>empty() : Optional.of(table));
    }

    /** Whether the next table may come: the last change has settled. */
    boolean mayChangeTable() {
        return lock.locked(() -> tables != null && tables.mayChange(MonotonicTime.nowMs()));
    }

    boolean holdsLease() {
        return lock.locked(() -> fencing != null && fencing.holdsLease(MonotonicTime.nowMs()));
    }

    /** The longest in milliseconds that a request can run under the table in force, or the configured one. */
    long maxRunMs() {
        return lock.locked(() -> table.maxRunMs());
    }

    /** Slots that this member may send for at this moment. */
    List<Integer> openSlots() {
        return lock.locked(() -> {
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
}

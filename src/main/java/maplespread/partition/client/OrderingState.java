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
 * The state by which this member orders requests: its lease and fencing check, the assignment, and the routing tables.
 * Guarded by the {@link OrderingLock}, as are its {@link OrderedLines}: the methods of the first section are called
 * under the lock, the others acquire it themselves.
 *
 * <p>Used by the request threads, the lease thread ({@link #startRenewal}), the transport's receiving thread ({@link
 * #recordGrant}), threads that learn a decided value ({@link #learn}), the coordinator's thread ({@link #drainedSlots},
 * {@link #openedSlots}), and the admin server's threads for statistics.
 */
final class OrderingState {
    /** A round of lease requests to all electors: its number, and the epoch that the lease is requested for. */
    record LeaseRound(long number, long epoch) {}

    private final LeaseSettings settings;
    private final PartitionEndpoints endpoints;
    private final OrderingLock lock = new OrderingLock();
    private final OrderedLines lines;
    /** Signalled when the lease, the assignment or the tables have changed. */
    private final Condition changed = lock.newCondition();

    /** This member's name in the assignment; empty until it has joined the group. */
    private String member = "";
    /** Null until this member has joined the group. */
    private FencingCheck fencing;
    /** Null until an assignment has been learned. */
    private RoutingTableTransition tables;
    /** The table in force; the configured one until an assignment has been learned. */
    private RoutingTable table;

    /** Incremented with each newly learned table. */
    private long tablesVersion;
    /** Whether this member held the lease at the last check. */
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

    /** Waits for a change of the lease, the assignment or the tables, up to {@code limitMs}; may return early. */
    void awaitChange(long limitMs) throws InterruptedException {
        changed.await(limitMs, TimeUnit.MILLISECONDS);
    }

    long tablesVersion() {
        return tablesVersion;
    }

    String member() {
        return member;
    }

    /** Decides by the decided tables; returns empty if none have been learned yet. */
    Optional<RoutingDecision> decide(long nowMs, RequestAttributes attributes) {
        return tables == null ? Optional.empty() : Optional.of(tables.decide(nowMs, attributes));
    }

    /** The table in force; the configured one until an assignment has been learned. */
    RoutingTable tableInForce() {
        return table;
    }

    /** The assignment by which requests are ordered. Valid only once {@link #decide} returns a decision. */
    SlotAssignment assignmentInForce() {
        return fencing.assignment();
    }

    /** From when on this member may send requests of the slot; {@link FencingCheck#NEVER} if it may not. */
    long slotAllowsFrom(long nowMs, int slot, long ownedSinceEpoch) {
        return fencing.sendAllowedFrom(nowMs, slot, ownedSinceEpoch);
    }

    /** As {@link #slotAllowsFrom(long, int, long)}, for the slot of a key. */
    long slotAllowsFrom(long nowMs, String key, long ownedSinceEpoch) {
        return fencing.sendAllowedFrom(nowMs, fencing.assignment().slotOf(key), ownedSinceEpoch);
    }

    // ------------------------------------------------------------ decided assignments, lease and slots

    /** Called when this member has joined the group as {@code memberName}. */
    void join(String memberName, int slots) {
        lock.runLocked(() -> {
            member = memberName;
            fencing = new FencingCheck(settings, memberName, SlotAssignment.initial(slots, "", 0));
        });
    }

    /** Applies a decided assignment and its tables; returns false if it is no newer than the known one. */
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

    /** Starts a round of lease requests to the electors; returns empty if this member has not joined the group yet. */
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

    /** Records that an elector granted the lease in this round. */
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

    /** Slots that this member owned in earlier epochs and that have no request in flight and no key held any more. */
    Set<Integer> drainedSlots() {
        return lock.locked(() -> {
            if (tables == null) {
                return Set.<Integer>of();
            }
            Set<Integer> busy = lines.busySlots(MonotonicTime.nowMs(), fencing.assignment()::slotOf);
            return fencing.drainedSlots(slot -> !busy.contains(slot));
        });
    }

    /** Slots whose hold time for previous owners has passed, with the epoch since which this member owns each. */
    Map<Integer, Long> openedSlots() {
        return lock.locked(() -> tables == null ? Map.<Integer, Long>of() : fencing.openedSlots(MonotonicTime.nowMs()));
    }

    // ------------------------------------------------------------ statistics

    /** The latest known assignment; empty if none has been learned. */
    Optional<SlotAssignment> assignment() {
        return lock.locked(() -> tables == null ? Optional.<SlotAssignment>empty() : Optional.of(fencing.assignment()));
    }

    /** The decided table; empty if none has been learned. */
    Optional<RoutingTable> decidedTable() {
        return lock.locked(() -> tables == null ? Optional.<RoutingTable>empty() : Optional.of(table));
    }

    /** Whether the table may be replaced, that is, the last change of the table has settled. */
    boolean mayChangeTable() {
        return lock.locked(() -> tables != null && tables.mayChange(MonotonicTime.nowMs()));
    }

    boolean holdsLease() {
        return lock.locked(() -> fencing != null && fencing.holdsLease(MonotonicTime.nowMs()));
    }

    /** The longest run time of a request in milliseconds under {@link #tableInForce}. */
    long maxRunMs() {
        return lock.locked(() -> table.maxRunMs());
    }

    /** Slots whose requests this member may send now. */
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

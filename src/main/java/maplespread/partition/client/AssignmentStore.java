package maplespread.partition.client;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.log.Event;
import maplespread.partition.RoutingTableException;
import maplespread.partition.SlotAssignment;

/**
 * Changes the assignment through the replicated register, and passes each newer assignment to {@link OrderedDispatch}.
 * Decided values are learned on the register's notifying thread, on the lease thread and on each thread whose change
 * was decided, by one thread at a time under this object's monitor.
 */
final class AssignmentStore {
    private final OrderingState state;
    private final OrderedDispatch dispatch;
    private final RoutingTableCache tables;
    private final ConfiguredTable configured;
    private final CachedAssignment decided = new CachedAssignment();
    /** Why the decided table cannot be used on this member; empty if it can. */
    private volatile String unreadableReason = "";
    /** The assignment that was logged last; null before the first. Guarded by this object's monitor. */
    private SlotAssignment lastLogged;

    AssignmentStore(
            OrderingState state, OrderedDispatch dispatch, RoutingTableCache tables, ConfiguredTable configured) {
        this.state = state;
        this.dispatch = dispatch;
        this.tables = tables;
        this.configured = configured;
    }

    /** Whether the decided table, if there is one, uses only names that this site's configuration defines. */
    boolean isTableReadable() {
        return unreadableReason.isEmpty();
    }

    /** The assignment in a decided value; empty if there is none in force. */
    Optional<SlotAssignment> read(VersionedValue value) {
        return decided.read(value);
    }

    /** Applies the assignment in a decided value if it is newer than the known one. */
    synchronized void learn(VersionedValue value) {
        Optional<SlotAssignment> read = decided.read(value);
        Optional<SlotAssignment> known = state.assignment();
        if (read.isEmpty()
                || known.isPresent() && read.get().version() <= known.get().version()) {
            return;
        }
        SlotAssignment next = read.get();
        try {
            if (!dispatch.learn(next, tables.get(next.table()), tables.get(next.previousTable()))) {
                return;
            }
            tables.retain(List.of(next.table(), next.previousTable(), configured.compressed()));
            unreadableReason = "";
        } catch (RoutingTableException e) { // the member that proposed the table may have other names configured
            logUnreadable(e.getMessage());
            return;
        }
        logChanges(lastLogged, next);
        lastLogged = next;
    }

    private void logUnreadable(String reason) {
        if (!unreadableReason.equals(reason)) {
            unreadableReason = reason;
            Event.of("partition.table_unreadable", "why", reason).error();
        }
    }

    private static void logChanges(SlotAssignment last, SlotAssignment next) {
        if (last == null || last.epoch() != next.epoch()) {
            Event.of(
                            "partition.epoch",
                            "epoch",
                            next.epoch(),
                            "version",
                            next.version(),
                            "members",
                            new TreeSet<>(next.members()),
                            "silent",
                            next.silent().keySet(),
                            "table_since",
                            next.tableEpoch())
                    .info();
        }
        if (last == null || last.tableEpoch() != next.tableEpoch()) {
            Event.of("partition.table", "epoch", next.tableEpoch()).info();
        }
        Set<String> stoppedBefore = last == null ? Set.of() : last.stoppedKeys();
        next.stoppedKeys().stream()
                .filter(key -> !stoppedBefore.contains(key))
                .forEach(key -> Event.of("partition.stopped", "key", key).warn());
        stoppedBefore.stream()
                .filter(key -> !next.stoppedKeys().contains(key))
                .forEach(key -> Event.of("partition.started", "key", key).info());
    }

    /**
     * Proposes a change and blocks until it is decided or rejected, or for {@code waitMs}. A decided value is learned
     * before this method returns.
     */
    ChangeResult change(ReplicatedRegister register, Mutation mutation, long waitMs) {
        ChangeResult result = register.change(mutation, waitMs);
        switch (result.outcome()) {
            case DECIDED -> learn(result.value());
            case REJECTED ->
                Event.of("partition.refused", "why", result.error().getMessage())
                        .warn();
            case NO_MAJORITY -> {} // the change may still be decided, and is learned then
        }
        return result;
    }

    /** As {@link #change}, but proposes nothing if {@code update} leaves the known assignment as it is. */
    void propose(ReplicatedRegister register, UnaryOperator<SlotAssignment> update, long waitMs) {
        Optional<SlotAssignment> known = state.assignment();
        if (known.isPresent() && !update.apply(known.get()).equals(known.get())) {
            change(register, AssignmentSection.changing(update), waitMs);
        }
    }
}

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
 * Has the assignment changed in the replicated register, and takes up each later one for {@link OrderedDispatch}.
 * Values are learned on the register's notifying thread, the lease thread and whichever thread has had a change
 * decided: one at a time, under this object's monitor.
 */
final class AssignmentStore {
    private final OrderingState state;
    private final OrderedDispatch dispatch;
    private final RoutingTableCache tables;
    private final ConfiguredTable configured;
    private final CachedAssignment decided = new CachedAssignment();
    /** Why the agreed table cannot be used here; empty: it can. */
    private volatile String unreadableReason = "";
    /** The assignment that the log tells of; null: none yet. Guarded by this object's monitor. */
    private SlotAssignment lastLogged;

    AssignmentStore(
            OrderingState state, OrderedDispatch dispatch, RoutingTableCache tables, ConfiguredTable configured) {
        this.state = state;
        this.dispatch = dispatch;
        this.tables = tables;
        this.configured = configured;
    }

    /** Whether the agreed table, if there is one, can be used with this site's names. */
    boolean isTableReadable() {
        return unreadableReason.isEmpty();
    }

    /** The assignment in a decided value; empty: nothing is agreed on. */
    Optional<SlotAssignment> read(VersionedValue value) {
        return decided.read(value);
    }

    /** Takes up a decided value, if it is later than what is known. */
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
        } catch (RoutingTableException e) { // the file of the member that offered it may have other names
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

    /** Blocks until it is decided or rejected, or the time is over; a decided value is learned before it returns. */
    ChangeResult change(ReplicatedRegister register, Mutation mutation, long waitMs) {
        ChangeResult result = register.change(mutation, waitMs);
        switch (result.outcome()) {
            case DECIDED -> learn(result.value());
            case REJECTED ->
                Event.of("partition.refused", "why", result.error().getMessage())
                        .warn();
            case NO_MAJORITY -> {} // may yet be decided, and is learned then
        }
        return result;
    }

    /** Blocks as {@link #change} does, but only where the command would change what is known here. */
    void propose(ReplicatedRegister register, UnaryOperator<SlotAssignment> command, long waitMs) {
        Optional<SlotAssignment> known = state.assignment();
        if (known.isPresent() && !command.apply(known.get()).equals(known.get())) {
            change(register, AssignmentSection.changing(command), waitMs);
        }
    }
}

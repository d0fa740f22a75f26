package maplespread.partition.client;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import maplespread.config.PartitionSettings;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.log.Event;
import maplespread.partition.HeartbeatTable;
import maplespread.partition.LeaseSettings;
import maplespread.partition.SlotAssignment;
import maplespread.partition.client.PartitionService.ClusterHandle;

/**
 * Proposes changes of the assignment: its first value, its members, slots that have drained or opened, stopped keys and
 * a new table from the operators' file. {@link #run} is called by the coordinator's thread only, which blocks while a
 * change is being decided; {@link #storeStop} is also called by request threads.
 */
final class AssignmentCoordinator {
    /** Longest time that the coordinator's thread waits for the decision of one change. */
    private static final long MAX_PROPOSAL_WAIT_MS = 500;
    /** Longest time that the response to a failed request waits for the stop of its key to be stored. */
    private static final long MAX_STOP_WAIT_MS = 1000;

    private static final long MIN_ROUND_DELAY_MS = 5;

    private final String name;
    private final PartitionSettings settings;
    private final LeaseSettings leaseSettings;
    private final HeartbeatTable.Timeouts timeouts;
    private final Supplier<Optional<ClusterHandle>> joined;
    private final OrderingState state;
    private final AssignmentStore store;
    private final HeartbeatTable heartbeats;
    private final ConfiguredTable configured;

    /** Latest epoch of the register seen without an assignment; 0 if there was none. Coordinator's thread only. */
    private long emptyRegisterEpoch;
    /** When {@link #emptyRegisterEpoch} was first seen. Coordinator's thread only. */
    private long emptySinceMs;

    /** {@code heartbeats} is shared with the lease renewer and guarded by its own monitor. */
    AssignmentCoordinator(
            String name,
            PartitionSettings settings,
            LeaseSettings leaseSettings,
            Supplier<Optional<ClusterHandle>> joined,
            OrderingState state,
            AssignmentStore store,
            HeartbeatTable heartbeats,
            ConfiguredTable configured) {
        this.name = name;
        this.settings = settings;
        this.leaseSettings = leaseSettings;
        timeouts = new HeartbeatTable.Timeouts(settings.silentMs(), settings.goneMs());
        this.joined = joined;
        this.state = state;
        this.store = store;
        this.heartbeats = heartbeats;
        this.configured = configured;
    }

    /** Runs one round of proposals. Returns the delay before the next round in ms. */
    long run() {
        joined.get().ifPresent(this::propose);
        return Math.max(MIN_ROUND_DELAY_MS, settings.askMs() / 3);
    }

    private void propose(ClusterHandle handle) {
        VersionedValue value = handle.register().decidedValue();
        if (value == null) {
            change(handle, Mutation.READ);
            return;
        }
        long nowMs = MonotonicTime.nowMs();
        boolean isLeader;
        synchronized (heartbeats) {
            isLeader = heartbeats.isLeader(nowMs, value.electors(), name, settings.silentMs());
        }
        if (store.read(value).isEmpty()) {
            proposeFirst(handle, value, nowMs, isLeader);
            return;
        }
        if (isLeader) {
            proposeMembers(handle, value.electors());
        }
        proposeSlots(handle);
        state.lines().storePendingStops(MAX_PROPOSAL_WAIT_MS);
        if (configured.isProposalPending() && state.mayChangeTable()) {
            proposeConfiguredTable(handle);
        }
    }

    /**
     * Proposes the first assignment of this epoch of the register, which has none because the group is new or because
     * the earlier assignment was lost. Requests sent under an earlier assignment must have ended, and the members that
     * knew of them may have left, so the proposal waits for a hold time from when the epoch was first seen.
     */
    private void proposeFirst(ClusterHandle handle, VersionedValue value, long nowMs, boolean isLeader) {
        if (emptyRegisterEpoch != value.epoch()) {
            emptyRegisterEpoch = value.epoch();
            emptySinceMs = nowMs;
        }
        String table = configured.compressed();
        long holdMs = leaseSettings.holdMs(state.maxRunMs());
        if (isLeader && nowMs - emptySinceMs >= holdMs) {
            change(handle, AssignmentSection.initializing(settings.slots(), table));
        }
    }

    private void proposeMembers(ClusterHandle handle, List<String> electors) {
        proposeIfChanged(handle, assignment -> {
            synchronized (heartbeats) {
                long nowMs = MonotonicTime.nowMs(); // read here, as a process pause may have preceded this call
                return heartbeats.isLeader(nowMs, electors, name, settings.silentMs())
                        ? heartbeats.nextAssignment(nowMs, electors, name, assignment, timeouts)
                        : assignment;
            }
        });
    }

    private void proposeSlots(ClusterHandle handle) {
        String member = handle.member(name);
        Set<Integer> drained = state.drainedSlots();
        if (!drained.isEmpty()) {
            proposeIfChanged(handle, assignment -> assignment.confirmDrained(member, drained));
        }
        Map<Integer, Long> opened = state.openedSlots();
        if (!opened.isEmpty()) {
            proposeIfChanged(handle, assignment -> assignment.forgetPreviousOwners(member, opened));
        }
    }

    private void proposeConfiguredTable(ClusterHandle handle) {
        String nextTable = configured.compressed();
        long knownEpoch = state.assignment().orElseThrow().tableEpoch();
        ChangeResult result =
                change(handle, AssignmentSection.changing(assignment -> assignment.table(nextTable, knownEpoch)));
        boolean inForce = result.outcome() == ChangeResult.Outcome.DECIDED
                && AssignmentSection.read(result.value()).orElseThrow().table().equals(nextTable);
        configured.setProposalPending(!inForce);
    }

    private void proposeIfChanged(ClusterHandle handle, UnaryOperator<SlotAssignment> update) {
        store.propose(handle.register(), update, MAX_PROPOSAL_WAIT_MS);
    }

    private ChangeResult change(ClusterHandle handle, Mutation mutation) {
        return store.change(handle.register(), mutation, MAX_PROPOSAL_WAIT_MS);
    }

    /**
     * Stores that a key is stopped; returns false if it is not known whether the stop was stored. Blocks for {@code
     * waitMs} milliseconds at most.
     */
    boolean storeStop(String key, long waitMs) {
        boolean stored = joined.get()
                .map(handle -> storeStop(handle, key, Math.min(MAX_STOP_WAIT_MS, waitMs)))
                .orElse(false);
        if (!stored) {
            Event.of("partition.stop_not_stored", "key", key).warn();
        }
        return stored;
    }

    private boolean storeStop(ClusterHandle handle, String key, long waitMs) {
        String member = handle.member(name);
        ChangeResult result = store.change(
                handle.register(), AssignmentSection.changing(assignment -> assignment.stopKey(member, key)), waitMs);
        return result.outcome() == ChangeResult.Outcome.DECIDED
                && AssignmentSection.read(result.value())
                        .filter(assignment -> assignment.stoppedKeys().contains(key))
                        .isPresent();
    }
}

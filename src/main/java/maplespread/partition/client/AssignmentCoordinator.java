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
 * Proposes changes of the assignment: its first value, who is a member, slots that are drained or open, stopped
 * keys and a new table of the operators' file. {@link #run} is called by one thread alone, which blocks while a
 * change is decided; {@link #storeStop} by requests' threads.
 */
final class AssignmentCoordinator {
    /** The longest that the coordinator's thread waits for one change. */
    private static final long PROPOSAL_WAIT_MS = 500;
    /** The longest that the response to a failed request waits until the stop of its key is stored. */
    private static final long MAX_STOP_WAIT_MS = 1000;

    private static final long MIN_PAUSE_MS = 5;

    private final String name;
    private final PartitionSettings settings;
    private final LeaseSettings leaseSettings;
    private final HeartbeatTable.Timeouts timeouts;
    private final Supplier<Optional<ClusterHandle>> joined;
    private final OrderingState state;
    private final AssignmentStore store;
    private final HeartbeatTable heartbeats;
    private final ConfiguredTable configured;

    /** The register's epoch that has no assignment yet, and since when. On the coordinator's thread. */
    private long emptyRegisterEpoch;

    private long emptySinceMs;

    /** {@code heartbeats}: guarded by itself, and shared with the lease renewer. */
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

    /** One round of proposals. Returns the pause until the next, in ms. */
    long run() {
        joined.get().ifPresent(this::propose);
        return Math.max(MIN_PAUSE_MS, settings.askMs() / 3);
    }

    private void propose(ClusterHandle handle) {
        VersionedValue value = handle.register().decidedValue();
        if (value == null) {
            change(handle, Mutation.READ);
            return;
        }
        long nowMs = MonotonicTime.nowMs();
        boolean leads;
        synchronized (heartbeats) {
            leads = heartbeats.isLeader(nowMs, value.electors(), name, settings.silentMs());
        }
        if (store.read(value).isEmpty()) {
            proposeFirst(handle, value, nowMs, leads);
            return;
        }
        if (leads) {
            proposeMembers(handle, value.electors());
        }
        proposeSlots(handle);
        state.lines().storePendingStops(PROPOSAL_WAIT_MS);
        if (configured.toBeOffered() && state.mayChange()) {
            proposeConfiguredTable(handle);
        }
    }

    /**
     * Nothing is agreed on: all begin, or what was agreed is lost. What was sent before must be over, and whoever
     * knew of it may have left, so a hold time is waited from when this epoch of the register was first seen.
     */
    private void proposeFirst(ClusterHandle handle, VersionedValue value, long nowMs, boolean leads) {
        if (emptyRegisterEpoch != value.epoch()) {
            emptyRegisterEpoch = value.epoch();
            emptySinceMs = nowMs;
        }
        String table = configured.compressed();
        long holdMs = leaseSettings.holdMs(state.maxRunMs());
        if (leads && nowMs - emptySinceMs >= holdMs) {
            change(handle, AssignmentSection.initializing(settings.slots(), table));
        }
    }

    private void proposeMembers(ClusterHandle handle, List<String> electors) {
        proposeIfChanged(handle, assignment -> {
            synchronized (heartbeats) {
                long nowMs = MonotonicTime.nowMs(); // the process may have paused meanwhile
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
        String next = configured.compressed();
        long knownEpoch = state.assignment().orElseThrow().tableEpoch();
        ChangeResult result =
                change(handle, AssignmentSection.changing(assignment -> assignment.table(next, knownEpoch)));
        boolean inForce = result.outcome() == ChangeResult.Outcome.DECIDED
                && AssignmentSection.read(result.value()).orElseThrow().table().equals(next);
        configured.setToBeOffered(!inForce);
    }

    private void proposeIfChanged(ClusterHandle handle, UnaryOperator<SlotAssignment> command) {
        store.propose(handle.register(), command, PROPOSAL_WAIT_MS);
    }

    private ChangeResult change(ClusterHandle handle, Mutation mutation) {
        return store.change(handle.register(), mutation, PROPOSAL_WAIT_MS);
    }

    /** Has it stored that a key has stopped; false: that is not known. Blocks, for {@code waitMs} at most. */
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

package maplespread.registry;

import java.util.ArrayList;
import java.util.List;

/**
 * The follow phase: a watch for each target on one stream, from the revision after the last whole one. A
 * revision that comes in fragments is applied whole or not at all. Not thread-safe.
 */
final class ChangeStream {
    /** Watches of many dispatchers are replaced spread over this part of {@code silence_ms}. */
    private static final int SILENCE_SPREAD_PART = 4;

    private final WatchState state;
    private final List<List<RegistryEntry>> fragments = new ArrayList<>();
    private int createdWatches;
    private long silenceMs;

    ChangeStream(WatchState state) {
        this.state = state;
        for (int target = 0; target < state.targets; target++) {
            fragments.add(new ArrayList<>());
        }
    }

    RegistryCall nextCall(int server) {
        fragments.forEach(List::clear); // a part of a revision is of no use
        createdWatches = 0;
        silenceMs = state.jitter.shortened(state.settings.silenceMs(), SILENCE_SPREAD_PART);
        List<Long> fromRevisions =
                state.position.reached().stream().map(reached -> reached + 1).toList();
        return new RegistryCall.Watch(server, fromRevisions, state.servers.watchEndsAtMs());
    }

    /** Whether the watches of all targets are on. */
    boolean established() {
        return createdWatches == state.targets;
    }

    /** When the stream counts as silent: a line for one target says nothing of another. */
    long silentAtMs() {
        return Math.max(state.timeout.startedAtMs(), state.freshness.confirmedAtMs()) + silenceMs;
    }

    /** The watch of a target is on. */
    void onCreated(int target) {
        createdWatches++;
        state.servers.recordSuccess();
        if (target == state.firstTarget + state.targets - 1) {
            state.reportWorking("registry.following");
        }
    }

    /** Changes of a target; {@code more}: the rest of the last revision is still to come. */
    void onChanges(long nowMs, Revision answered, int target, List<RegistryEntry> entries, boolean more) {
        int index = target - state.firstTarget;
        List<RegistryEntry> batch = fragments.get(index);
        batch.addAll(entries);
        if (more) {
            return;
        }
        state.confirm(index, nowMs);
        long reached = state.position.reached(index);
        batch.removeIf(entry -> entry.revision() <= reached); // replays
        if (!batch.isEmpty()) {
            List<RegistryEntry> changes = List.copyOf(batch);
            batch.clear();
            apply(index, answered, changes);
        }
        state.settleFreshness(nowMs);
    }

    private void apply(int index, Revision answered, List<RegistryEntry> changes) {
        RegistryEntry newest = changes.get(changes.size() - 1);
        state.position.setReached(index, newest.revision());
        state.position.recordNewestChange(index, newest);
        state.position.raise(answered, newest.revision());
        state.view.apply(state.firstTarget + index, changes, newest.revision());
    }

    /** Nothing that has not come has changed in the target up to the answer's revision. */
    void onProgress(long nowMs, Revision answered, int target) {
        int index = target - state.firstTarget;
        if (!fragments.get(index).isEmpty()) {
            return;
        }
        state.confirm(index, nowMs);
        state.settleFreshness(nowMs);
        state.position.setReached(index, Math.max(state.position.reached(index), answered.number()));
        state.position.raise(answered, answered.number());
    }
}

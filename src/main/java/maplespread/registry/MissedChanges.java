package maplespread.registry;

import java.util.List;

/**
 * The catch-up phase: one transaction asks for the keys changed since what is held and for the number of keys.
 * What was missed is not left to the next watch, which may be as silent as the last one. Not thread-safe.
 */
final class MissedChanges {
    private final WatchState state;

    MissedChanges(WatchState state) {
        this.state = state;
    }

    RegistryCall nextCall(int server) {
        return new RegistryCall.ReadMissedChanges(server, state.position.reached());
    }

    /** Whether keys have been deleted; which ones, only a rebuild can tell. */
    boolean includeDeletions(List<Long> counts, List<List<RegistryEntry>> changed) {
        for (int target = 0; target < state.targets; target++) {
            int number = state.firstTarget + target;
            if (state.view.countDeleted(number, changed.get(target), counts.get(target)) != 0) {
                return true;
            }
        }
        return false;
    }

    /** Takes the changed entries of each target, as they stand at the revision. */
    void apply(long nowMs, Revision answered, List<List<RegistryEntry>> changed) {
        for (int target = 0; target < state.targets; target++) {
            state.position.setReached(target, answered.number());
            if (!changed.get(target).isEmpty()) {
                state.position.clearLastDeletedKey(); // the newest change is a put
                state.view.apply(state.firstTarget + target, changed.get(target), answered.number());
            }
        }
        state.position.raise(answered, answered.number());
        state.confirmAll(nowMs, nowMs);
        state.phase = RegistryWatcher.Phase.FOLLOWING;
    }
}

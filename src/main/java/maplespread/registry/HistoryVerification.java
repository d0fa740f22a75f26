package maplespread.registry;

import java.util.ArrayList;
import java.util.List;

/**
 * The verification phase: after a watch has ended, one transaction asks whether the registry's history is still
 * the one that the view is of, by the number of keys and the newest key of each target, and by the last deleted
 * key. Cluster ids and revisions alone would look right for a registry that was restored from a backup and has
 * come as far since. Not thread-safe.
 */
final class HistoryVerification {
    private final WatchState state;
    private int verifiedServer;

    HistoryVerification(WatchState state) {
        this.state = state;
    }

    /** Catching up is only sound at the server that has verified the history: another one verifies first. */
    void requireServer(int server) {
        if (state.phase == RegistryWatcher.Phase.CATCHING_UP && verifiedServer != server) {
            enter();
        }
    }

    void enter() {
        state.phase = RegistryWatcher.Phase.CHECKING;
    }

    RegistryCall nextCall(int server) {
        List<RegistryCall.HistoryProof> proofs = new ArrayList<>();
        for (int target = 0; target < state.targets; target++) {
            String newestKey = state.view.newestKey(state.firstTarget + target);
            proofs.add(new RegistryCall.HistoryProof(state.position.reached(target), newestKey));
        }
        return new RegistryCall.VerifyHistory(
                server, proofs, state.position.lastDeletedKey(), state.position.lastDeletedAt());
    }

    /** Whether the answer, made at the revisions asked for, is what is held. */
    boolean matchesView(List<Long> counts, List<RegistryEntry> found, boolean deletedKeyFound) {
        boolean matches = !deletedKeyFound;
        for (int target = 0; target < state.targets; target++) {
            int number = state.firstTarget + target;
            matches &= counts.get(target) == state.view.entryCount(number)
                    && state.view.newestEntryIs(number, found.get(target));
        }
        return matches;
    }

    /** The history is verified: follows on where nothing has changed since, else catches up first. */
    void complete(long nowMs, Revision answered) {
        verifiedServer = state.servers.current();
        if (state.position.allReached(answered.number())) {
            state.phase = RegistryWatcher.Phase.FOLLOWING;
            state.confirmAll(nowMs, nowMs);
        } else {
            state.phase = RegistryWatcher.Phase.CATCHING_UP;
        }
    }
}

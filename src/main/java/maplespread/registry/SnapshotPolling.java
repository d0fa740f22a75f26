package maplespread.registry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Follows a registry that answers with full snapshots only (Consul): blocking queries for one target, each
 * answer compared with the view. Not thread-safe.
 */
final class SnapshotPolling {
    /** Waits of many dispatchers are shortened by up to one part in this many. */
    private static final int WAIT_SPREAD_DIVISOR = 4;

    /** A query with an index below this would not block. */
    private static final long MIN_INDEX = 1;

    private final WatchState state;
    private boolean askLeader; // the next query is for all there is, and to be answered by the leader

    SnapshotPolling(WatchState state) {
        this.state = state;
    }

    RegistryCall nextCall(int server) {
        // After a failure everything is read at once: a registry restored meanwhile may be at the same index.
        boolean readAll = askLeader || state.interrupted || state.position.isEmpty();
        return new RegistryCall.BlockingQuery(
                server,
                state.firstTarget,
                readAll ? 0 : state.position.reached(0),
                state.jitter.shortened(state.settings.askedWaitMs(), WAIT_SPREAD_DIVISOR),
                askLeader);
    }

    /**
     * Takes an answer. {@code lastContactMs}: how long its server has not heard its leader. Returns false where
     * the answer is of no use.
     */
    boolean onResult(
            long nowMs, long answeredIndex, boolean leaderKnown, long lastContactMs, List<RegistryEntry> entries) {
        if (!leaderKnown) {
            return failing(nowMs, "it knows no leader");
        }
        long index = Math.max(MIN_INDEX, answeredIndex);
        boolean wentBack = !state.position.isEmpty() && index < state.position.reached(0);
        if (lastContactMs > state.settings.answerMs() && !askLeader) {
            return failing(nowMs, "it has not heard its leader for " + lastContactMs + " ms");
        }
        if (wentBack && !askLeader) {
            // Either this server lags or the index was reset: the leader itself is asked for everything.
            state.warn(
                    "registry.doubt",
                    "endpoint",
                    state.serverName(),
                    "revision",
                    index,
                    "held",
                    state.position.reached(0));
            askLeader = true;
            return false;
        }
        if (wentBack) {
            reportOtherHistory(index, "the leader's index is lower");
        }
        state.servers.recordSuccess();
        askLeader = false;
        if (state.position.isEmpty() || index != state.position.reached(0) || state.interrupted) {
            replace(nowMs, index, wentBack, entries);
        }
        state.confirmAll(nowMs, nowMs);
        if (state.interrupted) {
            state.reportWorking("registry.resumed");
        }
        return true;
    }

    private void replace(long nowMs, long index, boolean wentBack, List<RegistryEntry> entries) {
        boolean first = state.position.isEmpty();
        Map<String, RegistryEntry> snapshot = new LinkedHashMap<>();
        entries.forEach(entry -> snapshot.put(entry.key(), entry));
        boolean otherHistory = wentBack;
        if (!first && !wentBack && indexesProveHistory()) {
            otherHistory = state.view.contradicts(state.firstTarget, snapshot, state.position.reached(0));
            if (otherHistory) {
                reportOtherHistory(index, "old keys are not those that are held");
            }
        }
        state.position.reset(new Revision("", index, 0));
        EndpointView.ChangeCounts counts = state.view.replace(state.firstTarget, snapshot, otherHistory, index, nowMs);
        if (first || otherHistory) {
            state.info(
                    first ? "registry.built" : "registry.rebuilt",
                    "revision",
                    index,
                    "endpoint",
                    state.serverName(),
                    "added",
                    counts.added(),
                    "gone",
                    counts.removed(),
                    "drained",
                    counts.drained(),
                    "restarted",
                    counts.restarted(),
                    "other",
                    counts.changed(),
                    "orphans",
                    state.view.orphanCount());
        }
    }

    /** An instance's index may fall when one of its checks is removed: there it proves nothing. */
    private boolean indexesProveHistory() {
        return state.settings.dialect() != RegistrySettings.Dialect.CONSUL_HEALTH;
    }

    private void reportOtherHistory(long index, String reason) {
        state.warn(
                "registry.history_changed",
                "endpoint",
                state.serverName(),
                "revision",
                index,
                "held",
                state.position.reached(0),
                "why",
                reason);
    }

    private boolean failing(long nowMs, String reason) {
        state.warn("registry.failing", "endpoint", state.serverName(), "why", reason);
        state.servers.recordFailure(nowMs, CallOutcome.ERROR);
        return false;
    }
}

package maplespread.registry;

/**
 * Decides whether an answer belongs to the history that is held. An answer that goes back comes from a server
 * that lags, from another cluster, or from a registry restored from a backup. Only the last shows at every
 * server for long: it is believed after {@code restore_after_ms}, or at once when it is proved, and until then
 * the view stays as it is. Not thread-safe.
 */
final class HistoryGuard {
    /** What is to be done with an answer. */
    enum Judgement {
        /** It may follow what is held. */
        ACCEPTED,
        /** It changes nothing. */
        DOUBTED,
        /** The registry has another history: all is to be read anew. */
        OTHER_HISTORY
    }

    private static final long NOT_IN_DOUBT = Long.MIN_VALUE;
    /** A doubtful server is left alone for one part in this many of the time until another history is believed. */
    private static final int STALE_SERVER_DIVISOR = 4;

    private final WatchState state;
    private final long restoreAfterMs;
    private long doubtSinceMs = NOT_IN_DOUBT;
    private boolean otherHistory;
    private boolean proved;

    HistoryGuard(WatchState state) {
        this.state = state;
        restoreAfterMs = state.settings.restoreAfterMs();
    }

    /** Judges an answer by the revision that it was made at. */
    Judgement judge(long nowMs, Revision answered) {
        if (proved) {
            return Judgement.ACCEPTED;
        }
        if (state.position.mayPrecede(answered)) {
            otherHistory = false;
            doubtSinceMs = NOT_IN_DOUBT;
            return Judgement.ACCEPTED;
        }
        return otherHistory ? Judgement.ACCEPTED : doubt(nowMs, answered);
    }

    /** Takes note of an answer that goes back; never returns {@link Judgement#ACCEPTED}. */
    Judgement doubt(long nowMs, Revision answered) {
        if (doubtSinceMs == NOT_IN_DOUBT) {
            doubtSinceMs = nowMs;
            state.warn(
                    "registry.doubt",
                    "endpoint",
                    state.serverName(),
                    "cluster",
                    answered.clusterId(),
                    "revision",
                    answered.number(),
                    "held",
                    state.position.number());
        }
        if (nowMs - doubtSinceMs < restoreAfterMs) {
            leaveServerAlone(nowMs);
            return Judgement.DOUBTED;
        }
        believe(answered, "all endpoints have said so for " + (nowMs - doubtSinceMs) + " ms");
        return Judgement.OTHER_HISTORY;
    }

    /** The server's answers are behind: others are called meanwhile. */
    void leaveServerAlone(long nowMs) {
        state.servers.recordStaleAnswer(nowMs, restoreAfterMs / STALE_SERVER_DIVISOR);
    }

    /** The answer proves that the registry has another history, whatever its revisions say. */
    void prove(Revision answered, String reason) {
        proved = true;
        believe(answered, reason);
    }

    private void believe(Revision answered, String reason) {
        state.warn(
                "registry.history_changed",
                "endpoint",
                state.serverName(),
                "cluster",
                answered.clusterId(),
                "revision",
                answered.number(),
                "held",
                state.position.number(),
                "why",
                reason);
        otherHistory = true;
    }

    /** Whether what is read now is known to be of another history than what is held. */
    boolean isOtherHistory() {
        return otherHistory || proved;
    }

    /** All has been read anew: that is the history from now on. */
    void settle() {
        otherHistory = false;
        proved = false;
        doubtSinceMs = NOT_IN_DOUBT;
    }

    boolean inDoubt() {
        return doubtSinceMs != NOT_IN_DOUBT;
    }
}

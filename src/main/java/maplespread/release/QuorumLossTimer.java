package maplespread.release;

/** For how long one instance has reached no majority, where no other instance has reached one either. */
final class QuorumLossTimer {
    private static final long NOT_LOST = -1;

    private long lostAtMs = NOT_LOST;
    private RolloutState stateAtLoss;

    /** The current loss does not count. */
    void reset() {
        lostAtMs = NOT_LOST;
    }

    /** Returns the duration of a loss that has just ended, in ms; 0: none has, or others had a majority meanwhile. */
    long update(long nowMs, RolloutState state, boolean majorityReached) {
        if (!majorityReached) {
            if (lostAtMs == NOT_LOST) {
                lostAtMs = nowMs;
                stateAtLoss = state;
            }
            return 0;
        }
        if (lostAtMs == NOT_LOST) {
            return 0;
        }
        long durationMs = isUnchangedSinceLoss(state) ? nowMs - lostAtMs : 0;
        lostAtMs = NOT_LOST;
        return durationMs;
    }

    /** Whoever has reached a majority meanwhile has changed one of these, as each round there raises the heartbeats. */
    private boolean isUnchangedSinceLoss(RolloutState state) {
        return state.heartbeats() == stateAtLoss.heartbeats()
                && state.stabilityVersion() == stateAtLoss.stabilityVersion()
                && state.lastOutageNumber() == stateAtLoss.lastOutageNumber();
    }
}

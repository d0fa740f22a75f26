package maplespread.release;

/** Measures how long this instance has reached no majority while no other instance reached one either. */
final class QuorumLossTimer {
    private static final long NOT_LOST = -1;

    private long lostAtMs = NOT_LOST;
    private RolloutState stateAtLoss;

    /** Discards the current loss. */
    void reset() {
        lostAtMs = NOT_LOST;
    }

    /** Returns the duration of a loss that has just ended, in ms; 0: none, or others had a majority meanwhile. */
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

    /** An instance with a majority changes one of these counters, as each of its rounds raises the heartbeats. */
    private boolean isUnchangedSinceLoss(RolloutState state) {
        return state.heartbeats() == stateAtLoss.heartbeats()
                && state.stabilityVersion() == stateAtLoss.stabilityVersion()
                && state.lastOutageNumber() == stateAtLoss.lastOutageNumber();
    }
}

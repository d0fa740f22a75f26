package maplespread.policy;

/** The labels of the policy's timers: one for the tick, and one for each request with a probe round. */
final class TimerLabel {
    static final long TICK = 1;

    private static final long FIRST_REQUEST = TICK + 1;

    private TimerLabel() {}

    static long probeRoundOf(long requestId) {
        return requestId + FIRST_REQUEST;
    }

    static long requestIdOf(long label) {
        return label - FIRST_REQUEST;
    }
}

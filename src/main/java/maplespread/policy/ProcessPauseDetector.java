package maplespread.policy;

/**
 * Detects pauses of this process (garbage collection, a stopped container, a busy machine) by a tick that comes more
 * than a period late. A worker that seemed not to answer during a pause is not at fault.
 */
final class ProcessPauseDetector {
    private final PolicyContext context;
    private double tickExpectedMs = Double.POSITIVE_INFINITY;
    private double pauseEndedMs = Double.NEGATIVE_INFINITY;

    ProcessPauseDetector(PolicyContext context) {
        this.context = context;
    }

    /** To be called at the start of each event. */
    void eventReceived() {
        if (context.nowMs - tickExpectedMs > context.tickPeriodMs) {
            tickExpectedMs = context.nowMs;
            pauseEndedMs = context.nowMs;
        }
    }

    /** Records that the next tick is due after this delay. */
    void expectTick(double delayMs) {
        tickExpectedMs = context.nowMs + delayMs;
    }

    /** End of the last pause; negative infinity: none was detected. */
    double pauseEndedMs() {
        return pauseEndedMs;
    }

    /** Forgets the last pause, which has been taken into account. */
    void forgetPause() {
        pauseEndedMs = Double.NEGATIVE_INFINITY;
    }
}

package maplespread.policy;

/**
 * Notices that this process stood still (a collection, a stopped container, a busy machine): a tick then comes more
 * than a period late. What a worker seemed to leave unanswered in that time is no sign against it.
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

    /** The next tick is due so long from now. */
    void expectTick(double delayMs) {
        tickExpectedMs = context.nowMs + delayMs;
    }

    /** When the last pause ended; negative infinity while none was seen. */
    double pauseEndedMs() {
        return pauseEndedMs;
    }

    /** The last pause has been allowed for. */
    void forgetPause() {
        pauseEndedMs = Double.NEGATIVE_INFINITY;
    }
}

package maplespread.policy;

/** How often attempts fail at all workers together: by request class, and in connecting. */
final class FailureStatistics {
    /** Weight of an attempt in its class's rate: a memory of about twenty. */
    private static final double CLASS_STEP = 0.05;

    /** Weight kept of earlier connection attempts: a memory of about ten. */
    private static final double CONNECT_KEPT = 0.9;

    private static final double CONNECT_STEP = 0.1;

    /** A lesser share is no more than chance. */
    private static final double MIN_SLOW_CONNECT_SHARE = 1e-3;

    private final PolicyContext context;
    private final DoublesByIndex failureRateByClass = new DoublesByIndex();
    private double slowConnectShare;
    private double slowConnectAtMs;

    FailureStatistics(PolicyContext context) {
        this.context = context;
    }

    /** How likely a request of the class is to fail at any worker, 0 to 1. */
    double failureRate(int classIndex) {
        return failureRateByClass.get(classIndex);
    }

    void attemptEnded(int classIndex, boolean failed) {
        double rate = failureRateByClass.get(classIndex);
        failureRateByClass.set(classIndex, rate + CLASS_STEP * ((failed ? 1 : 0) - rate));
    }

    /** A new connection was tried. {@code failedSlowly}: it failed, by silence and not by a refusal. */
    void connectionAttempted(boolean failedSlowly) {
        slowConnectShare = CONNECT_KEPT * slowConnectShare() + CONNECT_STEP * (failedSlowly ? 1 : 0);
        slowConnectAtMs = context.nowMs;
    }

    /** Share of new connections that failed slowly; without attempts it fades. */
    double slowConnectShare() {
        return slowConnectShare * PolicyMath.decay((context.nowMs - slowConnectAtMs) / context.memoryMs);
    }

    /** Whether connections have failed slowly at all, whatever has faded since. */
    boolean slowConnectsSeen() {
        return slowConnectShare >= MIN_SLOW_CONNECT_SHARE;
    }
}

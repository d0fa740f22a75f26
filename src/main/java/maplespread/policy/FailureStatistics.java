package maplespread.policy;

/** Failure rates over all workers: of attempts by request class, and of new connections. */
final class FailureStatistics {
    /** Weight of an attempt in its class's failure rate, which thus remembers about twenty attempts. */
    private static final double CLASS_RATE_STEP = 0.05;

    /** Weight kept of earlier connection attempts: about ten are remembered. */
    private static final double CONNECT_KEPT_SHARE = 0.9;

    private static final double CONNECT_STEP = 0.1;

    /** A lower share of slowly failing connections is taken for chance. */
    private static final double MIN_SLOW_CONNECT_SHARE = 1e-3;

    private final PolicyContext context;
    private final DoublesByIndex failureRateByClass = new DoublesByIndex();
    private double slowConnectShare;
    private double slowConnectUpdatedAtMs;

    FailureStatistics(PolicyContext context) {
        this.context = context;
    }

    /** How likely a request of the class is to fail at any worker, 0 to 1. */
    double failureRate(int classIndex) {
        return failureRateByClass.get(classIndex);
    }

    void attemptEnded(int classIndex, boolean failed) {
        double rate = failureRateByClass.get(classIndex);
        failureRateByClass.set(classIndex, rate + CLASS_RATE_STEP * ((failed ? 1 : 0) - rate));
    }

    /**
     * Records that a new connection was tried.
     *
     * @param failedSlowly whether it failed without an answer, rather than by a refusal
     */
    void connectionAttempted(boolean failedSlowly) {
        slowConnectShare = CONNECT_KEPT_SHARE * slowConnectShare() + CONNECT_STEP * (failedSlowly ? 1 : 0);
        slowConnectUpdatedAtMs = context.nowMs;
    }

    /** Share of new connections that failed slowly, which fades while no connections are tried. */
    double slowConnectShare() {
        return slowConnectShare * PolicyMath.decay((context.nowMs - slowConnectUpdatedAtMs) / context.memoryMs);
    }

    /** Whether connections have failed slowly at all, without the fading since the last one. */
    boolean slowConnectsSeen() {
        return slowConnectShare >= MIN_SLOW_CONNECT_SHARE;
    }
}

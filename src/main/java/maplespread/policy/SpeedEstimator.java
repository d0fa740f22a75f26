package maplespread.policy;

/**
 * Estimates the speed of one slot of a worker from the requests that it finished: hinted work over run time, with the
 * speed of its kind as the prior. Without new observations the estimate returns to the kind's speed: otherwise a worker
 * once considered slow would never be tried again. Speed 1 is a standard core.
 */
final class SpeedEstimator {
    private static final double MIN_SPEED = 0.02;
    private static final double MAX_SPEED = 50;

    /** Weight of the kind's speed in the estimate, in mean requests. */
    private static final double PRIOR_REQUESTS = 2;

    /** Factor to which a run's deviation from the estimate is limited: a pause, a hang or a wrong hint is no speed. */
    private static final double MAX_DEVIATION = 4;

    /** Memory of the estimate, in mean requests. It also fades with twice the estimators' memory as time constant. */
    private static final double MEMORY_REQUESTS = 4;

    /** Weight of a run in the kind's speed, which thus remembers about fifty runs. */
    private static final double KIND_STEP = 0.02;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final Worker worker;
    private double doneWorkMs;
    private double runTimeMs;
    private double learnedAtMs;
    private double reportedServiceMs = Double.NaN;
    private double speed = 1;

    SpeedEstimator(PolicyContext context, ArrivalStatistics arrivals, Worker worker) {
        this.context = context;
        this.arrivals = arrivals;
        this.worker = worker;
    }

    /** Work per ms in one slot, as of the last refresh. */
    double speed() {
        return speed;
    }

    /** Updates the estimate: what was learned fades in favour of the kind's speed. */
    void refresh() {
        double priorMs = PRIOR_REQUESTS * arrivals.meanWorkMs();
        double keep = remainingMemory();
        speed = PolicyMath.clamp(
                (doneWorkMs * keep + priorMs) / (runTimeMs * keep + priorMs / worker.kind.speed), MIN_SPEED, MAX_SPEED);
    }

    /** Learns from work and the time that it took in one slot. */
    void learn(double workMs, double elapsedMs) {
        if (!(workMs > 0 && elapsedMs > 0)) {
            return;
        }
        // Scaled by the slow-start capacity share, as the worker's capacity is the speed times that share.
        double timeMs = PolicyMath.clamp(
                elapsedMs * worker.slowStart.capacityShare(),
                workMs / (MAX_DEVIATION * speed),
                MAX_DEVIATION * workMs / speed);
        double keep =
                remainingMemory() * ReproducibleMath.exp(-timeMs * speed / (MEMORY_REQUESTS * arrivals.meanWorkMs()));
        learnedAtMs = context.nowMs;
        doneWorkMs = doneWorkMs * keep + workMs;
        runTimeMs = runTimeMs * keep + timeMs;
        WorkerKind kind = worker.kind;
        double pooled = worker.slowStart.isActive() ? 0 : 1; // a worker in slow start is not typical of its kind
        kind.doneWorkMs = kind.doneWorkMs * (1 - KIND_STEP * pooled) + pooled * workMs;
        kind.runTimeMs = kind.runTimeMs * (1 - KIND_STEP * pooled) + pooled * timeMs;
        kind.speed = (kind.doneWorkMs + arrivals.meanWorkMs()) / (kind.runTimeMs + arrivals.meanWorkMs());
    }

    /** Learns from a reported mean service time of all dispatchers' requests, ms, where starts are not reported. */
    void observeServiceTime(double serviceMs) {
        if (!context.settings.workersReportStart()
                && serviceMs > 0
                && serviceMs < context.memoryMs
                && serviceMs != reportedServiceMs) {
            reportedServiceMs = serviceMs;
            // A mean over many requests counts as half a request.
            learn(arrivals.meanWorkMs() / 2, reportedServiceMs / 2);
        }
    }

    /** Whether reports give service times, which then count in place of this dispatcher's response times. */
    boolean hasReportedServiceTime() {
        return !Double.isNaN(reportedServiceMs);
    }

    private double remainingMemory() {
        return PolicyMath.decay((context.nowMs - learnedAtMs) / (2 * context.memoryMs));
    }
}

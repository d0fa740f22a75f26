package maplespread.policy;

/**
 * How fast one slot of a worker runs, learnt from the requests that it finished: hinted work over run time, with its
 * kind's speed as the prior. An estimate that is not renewed returns to the kind's, or a worker once thought slow
 * would never be tried again. Speed 1 is a standard core.
 */
final class SpeedEstimator {
    private static final double MIN_SPEED = 0.02;
    private static final double MAX_SPEED = 50;

    /** The kind's speed counts as this many mean requests. */
    private static final double PRIOR_REQUESTS = 2;

    /** A run counts as at most so many times off: a pause, a hang or a wild hint is not a speed. */
    private static final double MAX_DEVIATION = 4;

    /** The worker's memory, in mean requests; its time constant is that of the estimators times two. */
    private static final double REMEMBERED_REQUESTS = 4;

    /** Weight of a run in the kind's speed: a memory of about fifty. */
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

    /** Work done a ms in one slot, as of the last refresh. */
    double speed() {
        return speed;
    }

    /** Brings the estimate up to date: what was learnt fades in favour of the kind's speed. */
    void refresh() {
        double priorMs = PRIOR_REQUESTS * arrivals.meanWorkMs();
        double keep = remainingMemory();
        speed = PolicyMath.clamp(
                (doneWorkMs * keep + priorMs) / (runTimeMs * keep + priorMs / worker.kind.speed), MIN_SPEED, MAX_SPEED);
    }

    /** So much work took so long in one slot. */
    void learn(double workMs, double tookMs) {
        if (!(workMs > 0 && tookMs > 0)) {
            return;
        }
        // Of the time of a worker in slow start only its present capacity counts, as its warmth is applied elsewhere.
        double timeMs = PolicyMath.clamp(
                tookMs * worker.slowStart.capacityShare(),
                workMs / (MAX_DEVIATION * speed),
                MAX_DEVIATION * workMs / speed);
        double keep = remainingMemory() * Math.exp(-timeMs * speed / (REMEMBERED_REQUESTS * arrivals.meanWorkMs()));
        learnedAtMs = context.nowMs;
        doneWorkMs = doneWorkMs * keep + workMs;
        runTimeMs = runTimeMs * keep + timeMs;
        WorkerKind kind = worker.kind;
        double pooled = worker.slowStart.isActive() ? 0 : 1; // slow starts are no measure of the kind
        kind.doneWorkMs = kind.doneWorkMs * (1 - KIND_STEP * pooled) + pooled * workMs;
        kind.runTimeMs = kind.runTimeMs * (1 - KIND_STEP * pooled) + pooled * timeMs;
        kind.speed = (kind.doneWorkMs + arrivals.meanWorkMs()) / (kind.runTimeMs + arrivals.meanWorkMs());
    }

    /** A report gave the mean service time of all dispatchers' requests, ms; used where no starts are reported. */
    void observeServiceTime(double serviceMs) {
        if (!context.settings.workersReportStart()
                && serviceMs > 0
                && serviceMs < context.memoryMs
                && serviceMs != reportedServiceMs) {
            reportedServiceMs = serviceMs;
            learn(arrivals.meanWorkMs() / 2, reportedServiceMs / 2); // a mean over many requests counts as half a one
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

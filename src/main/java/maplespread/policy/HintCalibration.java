package maplespread.policy;

/**
 * Corrects the work hints of requests. Small requests tend to run longer than hinted and large ones shorter. If hints
 * were used as they are, slow workers, which get the small requests, would appear ever slower. The slope of log run
 * time over log hint, within each worker, estimates how much of a hint's distance from the mean is real.
 */
final class HintCalibration {
    /** One worker's recent means of log hint and log run time, over at most {@link #MAX_RUNS} runs. */
    static final class WorkerMeans {
        private double logHint;
        private double logRunMs;
        private double runs;
    }

    private static final double MAX_RUNS = 20;
    private static final double MAX_HINTS = 200;

    /** Variance assumed as already observed, about that of ten requests, so that the slope starts at one. */
    private static final double PRIOR_VARIANCE = 10;

    private static final double VARIANCE_KEPT = 0.995;
    private static final double MIN_SLOPE = 0.2;

    /** A run longer than this many estimator memories is a measurement error. */
    private static final double MAX_RUN_MEMORIES = 1e3;

    private final PolicyContext context;
    private double meanLogHint;
    private double hints;
    private double variance;
    private double covariance;
    private double slope = 1;

    HintCalibration(PolicyContext context) {
        this.context = context;
    }

    /** Counts a hint, given as its logarithm, and returns the work to expect, ms on a standard core. */
    double expectedWorkMs(double logHint) {
        meanLogHint += (logHint - meanLogHint) / Math.min(++hints, MAX_HINTS);
        return ReproducibleMath.exp(meanLogHint + slope * (logHint - meanLogHint));
    }

    /**
     * Learns from a run.
     *
     * @param means the means of the worker at which the request ran
     * @param logHint logarithm of the request's hint; NaN: it had none
     */
    void observeRun(WorkerMeans means, double logHint, double runMs) {
        if (Double.isNaN(logHint) || !(runMs > 0 && runMs < MAX_RUN_MEMORIES * context.memoryMs)) {
            return;
        }
        double logRunMs = ReproducibleMath.log(runMs);
        double step = 1 / Math.min(++means.runs, MAX_RUNS);
        double hintOffset = logHint - means.logHint;
        double runOffset = logRunMs - means.logRunMs;
        means.logHint += step * hintOffset;
        means.logRunMs += step * runOffset;
        if (means.runs > 1) {
            variance = VARIANCE_KEPT * variance + hintOffset * hintOffset;
            covariance = VARIANCE_KEPT * covariance + hintOffset * runOffset;
            slope = PolicyMath.clamp((covariance + PRIOR_VARIANCE) / (variance + PRIOR_VARIANCE), MIN_SLOPE, 1);
        }
    }
}

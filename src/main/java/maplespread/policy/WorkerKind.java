package maplespread.policy;

/**
 * The estimates for workers of one kind, pooled from all of them and used as the prior of each. The estimators of
 * single workers, {@link SpeedEstimator}, {@link SlotEstimator} and {@link WorkerBacklog}, write the fields.
 */
final class WorkerKind {
    /** Recent work done by workers of the kind that are not in slow start, ms on a standard core. */
    double doneWorkMs;

    /** Time that {@link #doneWorkMs} took, ms. */
    double runTimeMs;

    /** Work per ms in one slot; 1: a standard core. */
    double speed = 1;

    /** Requests that one worker runs at a time; 0: unknown. */
    double slots;

    /**
     * Usual wait at one worker due to other dispatchers' requests, which this dispatcher does not see, ms.
     */
    double unobservedWaitMs;

    /** Time at which a start last changed {@link #unobservedWaitMs}, ms on the host's clock. */
    double unobservedAtMs;
}

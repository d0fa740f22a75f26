package maplespread.policy;

/**
 * What workers of one kind have in common: the prior of each of them, pooled from all. Fields are written by the
 * estimators of single workers, {@link SpeedEstimator}, {@link SlotEstimator} and {@link WorkerBacklog}.
 */
final class WorkerKind {
    /** Recent work done by warm workers of the kind, ms on a standard core. */
    double doneWorkMs;

    /** The time that work took, ms. */
    double runTimeMs;

    /** Work done a ms in one slot; 1: a standard core. */
    double speed = 1;

    /** Requests that one worker runs at a time; 0: unknown. */
    double slots;

    /**
     * The usual backlog at one worker that this dispatcher does not see: other dispatchers' requests, as wait in ms.
     */
    double unobservedWaitMs;

    /** When a late start last changed it. */
    double unobservedAtMs;
}

package maplespread.policy;

/** Estimates how many requests a worker runs at a time, from its reports and from requests seen running at once. */
final class SlotEstimator {
    /** Number of slots assumed until the worker or its kind has reported. */
    private static final double DEFAULT_SLOTS = 2;

    private static final double STEP = 0.1;
    private static final double KIND_STEP = 0.05;

    private final Worker worker;

    /** Estimated slots; 0: unknown. */
    private double estimate;

    SlotEstimator(Worker worker) {
        this.worker = worker;
    }

    /** The slots, a whole number of at least one: the worker's own estimate, else its kind's. */
    double slots() {
        double best = estimate;
        if (!(best > 0)) {
            best = worker.kind.slots > 0 ? worker.kind.slots : DEFAULT_SLOTS;
        }
        return Math.max(1, Math.rint(best));
    }

    /** Learns from a report of this number of slots. */
    void observe(double slots) {
        WorkerKind kind = worker.kind;
        estimate = estimate > 0 ? estimate + STEP * (slots - estimate) : Math.max(1, slots);
        kind.slots = kind.slots > 0 ? kind.slots + KIND_STEP * (slots - kind.slots) : Math.max(1, slots);
    }

    /** Learns from this number of slots taken by requests that run at once: the worker has at least as many. */
    void observeRunning(double slots) {
        if (slots > slots()) {
            estimate = slots;
        }
    }
}

package maplespread.policy;

/**
 * The load of the fleet as a whole, from one look at all workers: how much of it is this dispatcher's, how long ready
 * workers keep a request waiting, and the shortest such wait. A look also brings every worker up to date and probes
 * the ejected ones whose backoff is over. Times are ms.
 */
final class FleetLoadEstimate {
    /** A look is fresh for this much of the objective: single events bring their own workers up to date. */
    private static final double FRESH_OBJECTIVES = 1.0 / 8;

    private final PolicyContext context;
    private final WorkerTable workers;
    private ArrivalStatistics arrivals;
    private double lookedAtMs;
    private double averagedAtMs = Double.NaN;
    private double localLoadMs;
    private double unobservedLoadMs;
    private double loadMultiplier = 1;
    private double queueingFactor;
    private double shortestWaitMs;

    FleetLoadEstimate(PolicyContext context, WorkerTable workers) {
        this.context = context;
        this.workers = workers;
    }

    /** To be called once: the two modules read each other's estimates. */
    void use(ArrivalStatistics statistics) {
        arrivals = statistics;
    }

    /** The load of all dispatchers over this one's, 1 up to the number of dispatchers. */
    double loadMultiplier() {
        return loadMultiplier;
    }

    /** Mean wait at a ready worker, in mean requests. */
    double queueingFactor() {
        return queueingFactor;
    }

    /** Shortest wait at a ready worker, as of the last look; the longest advised pause where none is ready. */
    double shortestWaitMs() {
        return shortestWaitMs;
    }

    /** The fleet or the settings have changed: the next look is taken whatever the last one's age. */
    void invalidate() {
        lookedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Takes a look unless the last one is fresh enough. */
    void refresh() {
        if (context.nowMs - lookedAtMs < context.objectiveMs * FRESH_OBJECTIVES) {
            return;
        }
        double localMs = 0;
        double unobservedMs = 0;
        double waitsMs = 0;
        double ready = 0;
        shortestWaitMs = context.permissions.maxRetryAfterMs();
        for (Worker worker : workers.all()) {
            worker.refresh();
            workers.setCapacity(worker, worker.usableCapacity());
            if (worker.lifecycle != EndpointLifecycle.ACTIVE) {
                continue;
            }
            if (worker.outliers.isReady()) {
                shortestWaitMs = Math.min(shortestWaitMs, worker.backlog.waitMs());
                waitsMs += worker.backlog.waitMs();
                ready++;
            }
            if (!worker.outliers.isEjected()) {
                localMs += worker.backlog.localWorkMs();
                unobservedMs += worker.backlog.remoteWorkMs();
            } else if (!worker.outliers.isBackingOff()) {
                worker.outliers.backOff();
                worker.probe();
            }
        }
        workers.recomputeTotalCapacity();
        average(localMs, unobservedMs, waitsMs / Math.max(1, ready));
    }

    private void average(double localMs, double unobservedMs, double meanWaitMs) {
        double meanWorkMs = arrivals.meanWorkMs();
        double step = PolicyMath.clamp((context.nowMs - averagedAtMs) / context.memoryMs, 0, 1);
        if (Double.isNaN(averagedAtMs)) { // the first look: dispatchers of the same size are assumed
            unobservedLoadMs = (context.settings.dispatcherCount() - 1) * meanWorkMs / 2;
        }
        lookedAtMs = context.nowMs;
        averagedAtMs = context.nowMs;
        queueingFactor += step * (meanWaitMs / meanWorkMs - queueingFactor);
        localLoadMs += step * (localMs - localLoadMs);
        unobservedLoadMs += step * (unobservedMs - unobservedLoadMs);
        loadMultiplier = PolicyMath.clamp(
                1 + unobservedLoadMs / Math.max(localLoadMs, meanWorkMs / 2), 1, context.settings.dispatcherCount());
    }
}

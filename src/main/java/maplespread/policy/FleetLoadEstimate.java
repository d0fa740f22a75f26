package maplespread.policy;

/**
 * The load of the whole fleet, from a scan of all workers: how much of it is this dispatcher's, the mean wait at ready
 * workers, and the shortest such wait. A scan also updates the estimates of every worker and probes the ejected workers
 * whose backoff is over. Times are ms.
 */
final class FleetLoadEstimate {
    /** Age up to which a scan is fresh, in objectives. Between scans, events update the workers that they concern. */
    private static final double FRESH_OBJECTIVES = 1.0 / 8;

    private final PolicyContext context;
    private final WorkerTable workers;
    private ArrivalStatistics arrivals;
    private double scannedAtMs;
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

    /** Sets the arrival statistics, once: the two classes read each other's estimates. */
    void use(ArrivalStatistics statistics) {
        arrivals = statistics;
    }

    /** The load of all dispatchers relative to this one's, from 1 to the number of dispatchers. */
    double loadMultiplier() {
        return loadMultiplier;
    }

    /** Mean wait at a ready worker, in mean requests. */
    double queueingFactor() {
        return queueingFactor;
    }

    /** Shortest wait at a ready worker, as of the last scan; the longest advised retry delay where none is ready. */
    double shortestWaitMs() {
        return shortestWaitMs;
    }

    /** The fleet or the settings have changed: the next refresh scans regardless of the last scan's age. */
    void invalidate() {
        scannedAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Scans the fleet unless the last scan is fresh enough. */
    void refresh() {
        if (context.nowMs - scannedAtMs < context.objectiveMs * FRESH_OBJECTIVES) {
            return;
        }
        double localWorkMs = 0;
        double remoteWorkMs = 0;
        double waitsMs = 0;
        double readyWorkers = 0;
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
                readyWorkers++;
            }
            if (!worker.outliers.isEjected()) {
                localWorkMs += worker.backlog.localWorkMs();
                remoteWorkMs += worker.backlog.remoteWorkMs();
            } else if (!worker.outliers.isBackingOff()) {
                worker.outliers.backOff();
                worker.probe();
            }
        }
        workers.recomputeTotalCapacity();
        updateAverages(localWorkMs, remoteWorkMs, waitsMs / Math.max(1, readyWorkers));
    }

    private void updateAverages(double localWorkMs, double remoteWorkMs, double meanWaitMs) {
        double meanWorkMs = arrivals.meanWorkMs();
        double step = PolicyMath.clamp((context.nowMs - averagedAtMs) / context.memoryMs, 0, 1);
        if (Double.isNaN(averagedAtMs)) { // the first scan assumes dispatchers of the same size
            unobservedLoadMs = (context.settings.dispatcherCount() - 1) * meanWorkMs / 2;
        }
        scannedAtMs = context.nowMs;
        averagedAtMs = context.nowMs;
        queueingFactor += step * (meanWaitMs / meanWorkMs - queueingFactor);
        localLoadMs += step * (localWorkMs - localLoadMs);
        unobservedLoadMs += step * (remoteWorkMs - unobservedLoadMs);
        loadMultiplier = PolicyMath.clamp(
                1 + unobservedLoadMs / Math.max(localLoadMs, meanWorkMs / 2), 1, context.settings.dispatcherCount());
    }
}

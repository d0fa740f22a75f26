package maplespread.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The work that waits or runs at a worker. This dispatcher's own work is known exactly. The work of other dispatchers
 * is estimated from load reports and late starts, and drawn at random where nothing recent is known. Memory units are
 * counted in the same way. Work is in ms on a standard core.
 */
final class WorkerBacklog {
    /** A start or a wait this much later than expected, in objectives, does not indicate a queue. */
    private static final double TOLERATED_OBJECTIVES = 1.0 / 8;

    /** An attempt is overtaken when one that was sent this much later, in objectives, has started. */
    private static final double OVERTAKEN_OBJECTIVES = 1.0 / 2;

    /** Time constant with which the estimate of other dispatchers' work fades, in mean requests. */
    private static final double REMOTE_MEMORY_REQUESTS = 2;

    /** Weight of the previous estimate against a report of the same moment. */
    private static final double REMOTE_KEPT_SHARE = 0.5;

    /** Share of a late start's excess that is counted as other dispatchers' work. */
    private static final double LATE_START_SHARE = 0.5;

    /** Minimum weight of a late start in the kind's usual unobserved wait. */
    private static final double MIN_LATE_START_STEP = 0.05;

    /** Weight of a report in the kind's usual unobserved wait, where workers report no starts. */
    private static final double REPORT_STEP = 0.05;

    /** Tolerance in comparisons of slots, as the number of remote requests is an estimate. */
    private static final double HALF_SLOT = 0.5;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final Worker worker;
    private final List<InFlightAttempt> inFlight = new ArrayList<>();
    private double localWorkMs;
    private double slotsInUse;
    private double localMemoryUnits;
    private double remoteRequests;
    private double remoteUpdatedAtMs = Double.NEGATIVE_INFINITY;
    private double remoteMemoryUnits;
    private double remoteWorkMs;
    private double waitMs;

    WorkerBacklog(PolicyContext context, ArrivalStatistics arrivals, Worker worker) {
        this.context = context;
        this.arrivals = arrivals;
        this.worker = worker;
    }

    /** This dispatcher's attempts in flight at the worker, in the order in which they were sent. */
    List<InFlightAttempt> inFlight() {
        return inFlight;
    }

    /** This dispatcher's work that was sent and has not finished. */
    double localWorkMs() {
        return localWorkMs;
    }

    /** The other dispatchers' work, as of the last refresh. */
    double remoteWorkMs() {
        return remoteWorkMs;
    }

    /** Expected wait of a request sent now if no slot is free, as of the last refresh, ms. */
    double waitMs() {
        return waitMs;
    }

    /** Updates the estimates. Draws a random number where other dispatchers share the worker. */
    void refresh() {
        remoteWorkMs = estimateRemoteWorkMs();
        waitMs = (localWorkMs + remoteWorkMs) / worker.capacity + unexpectedWaitMs();
    }

    /** Whether a request would start at once, by this dispatcher's attempts and the worker's reports. */
    boolean hasFreeSlot(PendingRequest request) {
        return slotsInUse + remoteWorkMs / arrivals.meanWorkMs() + request.slots - HALF_SLOT
                < worker.slotEstimator.slots();
    }

    /** Whether the worker has memory for a request now, by this dispatcher's attempts and the last report. */
    boolean hasMemoryFor(PendingRequest request) {
        return request.memoryUnits == 0
                || request.memoryUnits
                                + localMemoryUnits
                                + remoteMemoryUnits
                                        * PolicyMath.decay(
                                                (context.nowMs - worker.reportedAtMs) / arrivals.meanWorkMs())
                        <= worker.slotEstimator.slots();
    }

    void add(InFlightAttempt attempt) {
        inFlight.add(attempt);
        localWorkMs += attempt.reservedWorkMs;
        slotsInUse += attempt.request.slots;
        localMemoryUnits += attempt.request.memoryUnits;
    }

    /** Removes an attempt that ended, with what is left of its work. */
    void remove(InFlightAttempt attempt) {
        inFlight.remove(attempt);
        boolean idle = inFlight.isEmpty(); // the sums are then exactly zero, without rounding errors
        localMemoryUnits = idle ? 0 : localMemoryUnits - attempt.request.memoryUnits;
        double remainingMs = attempt.reservedWorkMs * (1 - attempt.doneShare);
        slotsInUse = idle ? 0 : slotsInUse - attempt.request.slots;
        localWorkMs = idle ? 0 : Math.max(0, localWorkMs - remainingMs);
    }

    /** Removes the finished share of an attempt's work; the passing of time alone removes nothing. */
    void progressed(InFlightAttempt attempt, double doneShare) {
        localWorkMs -= attempt.reservedWorkMs * Math.max(0, doneShare - attempt.doneShare);
        attempt.doneShare = Math.max(doneShare, attempt.doneShare);
    }

    /**
     * Marks the attempts that the started one has overtaken. Workers start requests in the order of arrival, so an
     * attempt sent well before the started one must have started too: its missing report indicates a fault of its
     * connection, not a queue. Where a repeat is harmless, the overtaken attempt is cancelled, and its request is
     * placed again.
     */
    void cancelOvertakenBy(InFlightAttempt started) {
        if (!context.settings.fifoWorkers()) {
            return;
        }
        for (InFlightAttempt other : List.copyOf(inFlight)) {
            if (!other.hasStarted()
                    && !other.overtaken
                    && started.sentAtMs - other.sentAtMs > context.objectiveMs * OVERTAKEN_OBJECTIVES) {
                other.overtaken = true;
                PendingRequest request = other.request;
                if (context.permissions.cancellation()
                        && request.requestClass.idempotency() == Idempotency.READ_LIKE
                        && !request.ended) {
                    context.actions.cancelAttempt(request.id(), request.attempts.indexOf(other));
                }
            }
        }
    }

    /** Slots taken by this dispatcher's attempts that are known to run. */
    double runningSlots() {
        return inFlight.stream()
                .filter(InFlightAttempt::hasStarted)
                .mapToDouble(attempt -> attempt.request.slots)
                .sum();
    }

    /**
     * Learns from a start. A later one than expected shows a queue of other dispatchers' work that was not reported.
     */
    void learnFromStart(InFlightAttempt attempt) {
        double excessMs = context.nowMs - attempt.sentAtMs - attempt.expectedWaitMs;
        double lateMs = excessMs - PolicyMath.clamp(excessMs, 0, context.objectiveMs * TOLERATED_OBJECTIVES);
        double meanWorkMs = arrivals.meanWorkMs();
        remoteRequests = Math.max(0, remoteRequests + LATE_START_SHARE * lateMs * worker.capacity / meanWorkMs);
        remoteUpdatedAtMs = context.nowMs;
        WorkerKind kind = worker.kind;
        double step = Math.max(MIN_LATE_START_STEP, 1 - PolicyMath.decay(ageInRequests(kind.unobservedAtMs)));
        kind.unobservedWaitMs += step * (remoteRequests * meanWorkMs / worker.capacity - kind.unobservedWaitMs);
        kind.unobservedAtMs = context.nowMs;
    }

    /** Applies the free memory units of a report; NaN: it has none. */
    void observeFreeMemory(double freeUnits) {
        remoteMemoryUnits =
                freeUnits >= 0 ? Math.max(0, worker.slotEstimator.slots() - freeUnits - localMemoryUnits) : 0;
    }

    /**
     * The number of other dispatchers' requests at the worker by a report. It is negative where the report is older
     * than this dispatcher's last attempts, and NaN where the report does not give it.
     */
    double remoteRequestsBy(LoadReport report) {
        if (report.activeRequests() >= 0) {
            return report.activeRequests() - inFlight.size();
        }
        double slots = worker.slotEstimator.slots();
        return slots - report.freeSlots() - Math.min(slotsInUse, slots);
    }

    /**
     * Updates the estimate of other dispatchers' requests by a report.
     *
     * @param reported what {@link #remoteRequestsBy} returned before the slot estimate learned from the report
     */
    void observeRemoteRequests(LoadReport report, double reported) {
        if (Double.isNaN(reported)) {
            return;
        }
        double meanWorkMs = arrivals.meanWorkMs();
        WorkerKind kind = worker.kind;
        if (report.activeRequests() >= 0 || report.freeSlots() > HALF_SLOT) {
            double keep = REMOTE_KEPT_SHARE * PolicyMath.decay(ageInRequests(remoteUpdatedAtMs));
            remoteRequests = keep * remoteRequests + (1 - keep) * Math.max(0, reported);
        } else {
            // The free slots of a full worker do not show its queue, so the usual queue of its kind is assumed.
            double usualRequests = kind.unobservedWaitMs * worker.capacity / meanWorkMs;
            remoteRequests = Math.max(Math.max(remoteRequests, reported), usualRequests);
        }
        remoteUpdatedAtMs = context.nowMs;
        if (!context.settings.workersReportStart()) {
            double reportedWaitMs = remoteRequests * meanWorkMs / worker.capacity;
            kind.unobservedWaitMs += REPORT_STEP * (reportedWaitMs - kind.unobservedWaitMs);
        }
    }

    /**
     * Other dispatchers' work: the estimate from reports, fading with its age into a random draw. The draw is at least
     * half the kind's mean. If it were the mean itself, all dispatchers would choose the same fast workers; if it
     * started from zero, the lowest of many draws would be almost none.
     */
    private double estimateRemoteWorkMs() {
        double keep = PolicyMath.decay(ageInRequests(remoteUpdatedAtMs));
        double drawnMs = context.settings.dispatcherCount() == 1
                ? 0
                : worker.kind.unobservedWaitMs * worker.capacity * (1 + PolicyMath.drawExponential(context.random)) / 2;
        return keep * remoteRequests * arrivals.meanWorkMs() + (1 - keep) * drawnMs;
    }

    /**
     * The most by which an attempt of this dispatcher has waited longer than expected, ms: it shows a queue that was
     * not reported.
     */
    private double unexpectedWaitMs() {
        if (!context.settings.workersReportStart()) {
            return 0;
        }
        double longestMs = 0;
        for (InFlightAttempt attempt : inFlight) {
            if (!attempt.hasStarted() && !attempt.overtaken) {
                double toleratedMs = context.objectiveMs * TOLERATED_OBJECTIVES;
                double excessMs = context.nowMs - toleratedMs - attempt.sentAtMs - attempt.expectedWaitMs;
                longestMs = Math.max(longestMs, excessMs);
            }
        }
        return longestMs;
    }

    /** Time since {@code sinceMs} at the worker's speed, in time constants of two mean requests. */
    private double ageInRequests(double sinceMs) {
        return (context.nowMs - sinceMs)
                * worker.speedEstimator.speed()
                / (REMOTE_MEMORY_REQUESTS * arrivals.meanWorkMs());
    }
}

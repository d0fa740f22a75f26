package maplespread.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The work that waits or runs at a worker: this dispatcher's own, exactly, and that of the other dispatchers, which is
 * estimated from load reports and from starts that come late, and drawn at random where nothing recent is known.
 * Memory units are counted the same way. Work is ms on a standard core.
 */
final class WorkerBacklog {
    /** A start, a wait or a report this much of the objective off is no sign of a queue. */
    private static final double TOLERATED_OBJECTIVES = 1.0 / 8;

    /** An attempt is overtaken when one that was sent this much of the objective later has started. */
    private static final double OVERTAKEN_OBJECTIVES = 1.0 / 2;

    /** What is known of others' work fades over this many mean requests. */
    private static final double REMOTE_MEMORY_REQUESTS = 2;

    /** Weight of the earlier estimate against a report of the same moment. */
    private static final double REMOTE_KEPT = 0.5;

    /** Share of a late start's excess that is booked as others' work. */
    private static final double LATE_START_SHARE = 0.5;

    /** Least weight of a late start in the kind's usual unobserved wait. */
    private static final double MIN_LATE_START_STEP = 0.05;

    /** Weight of a report in the kind's usual unobserved wait, where workers report no starts. */
    private static final double REPORT_STEP = 0.05;

    /** Half a slot: slots are compared by it, as the remote requests are an estimate. */
    private static final double HALF_SLOT = 0.5;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final Worker worker;
    private final List<InFlightAttempt> inFlight = new ArrayList<>();
    private double localWorkMs;
    private double slotsInUse;
    private double localMemory;
    private double remoteRequests;
    private double remoteAtMs = Double.NEGATIVE_INFINITY;
    private double remoteMemory;
    private double remoteWorkMs;
    private double waitMs;

    WorkerBacklog(PolicyContext context, ArrivalStatistics arrivals, Worker worker) {
        this.context = context;
        this.arrivals = arrivals;
        this.worker = worker;
    }

    /** This dispatcher's attempts at the worker, by the order of their sending. */
    List<InFlightAttempt> inFlight() {
        return inFlight;
    }

    /** This dispatcher's work that is sent and not finished. */
    double localWorkMs() {
        return localWorkMs;
    }

    /** The other dispatchers' work, as of the last refresh. */
    double remoteWorkMs() {
        return remoteWorkMs;
    }

    /** How long a request sent now is expected to wait where no slot is free, as of the last refresh, ms. */
    double waitMs() {
        return waitMs;
    }

    /** Brings the estimates up to date. Takes a random number where other dispatchers share the worker. */
    void refresh() {
        remoteWorkMs = estimateRemoteWorkMs();
        waitMs = (localWorkMs + remoteWorkMs) / worker.capacity + unexpectedWaitMs();
    }

    /** Whether a request would start at once, as far as own sends and reports show. */
    boolean hasFreeSlot(PendingRequest request) {
        return slotsInUse + remoteWorkMs / arrivals.meanWorkMs() + request.slots - HALF_SLOT
                < worker.slotEstimator.slots();
    }

    /** Whether the worker has memory for a request now, by own sends and its last report. */
    boolean hasMemoryFor(PendingRequest request) {
        return request.memoryUnits == 0
                || request.memoryUnits
                                + localMemory
                                + remoteMemory
                                        * PolicyMath.decay(
                                                (context.nowMs - worker.reportedAtMs) / arrivals.meanWorkMs())
                        <= worker.slotEstimator.slots();
    }

    void add(InFlightAttempt attempt) {
        inFlight.add(attempt);
        localWorkMs += attempt.reservedWorkMs;
        slotsInUse += attempt.request.slots;
        localMemory += attempt.request.memoryUnits;
    }

    /** The one end of every attempt: what is left of its work leaves the backlog. */
    void remove(InFlightAttempt attempt) {
        inFlight.remove(attempt);
        boolean idle = inFlight.isEmpty(); // then sums are exactly zero, whatever rounding has left
        localMemory = idle ? 0 : localMemory - attempt.request.memoryUnits;
        double remainingMs = attempt.reservedWorkMs * (1 - attempt.doneShare);
        slotsInUse = idle ? 0 : slotsInUse - attempt.request.slots;
        localWorkMs = idle ? 0 : Math.max(0, localWorkMs - remainingMs);
    }

    /** So much of an attempt is done: that share leaves the backlog, never by time alone. */
    void progressed(InFlightAttempt attempt, double doneShare) {
        localWorkMs -= attempt.reservedWorkMs * Math.max(0, doneShare - attempt.doneShare);
        attempt.doneShare = Math.max(doneShare, attempt.doneShare);
    }

    /**
     * An attempt has started. Workers start in the order of arrival, so what was sent well before it must have started
     * too: the missing report points at its connection, not at a queue. Where a repeat is harmless, it is
     * cancelled here and placed anew.
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

    /** Slots of this dispatcher's attempts that are known to run. */
    double runningSlots() {
        return inFlight.stream()
                .filter(InFlightAttempt::hasStarted)
                .mapToDouble(attempt -> attempt.request.slots)
                .sum();
    }

    /** An attempt started later than estimated: there was a queue that no report showed, of the others' work. */
    void learnFromStart(InFlightAttempt attempt) {
        double excessMs = context.nowMs - attempt.sentAtMs - attempt.expectedWaitMs;
        double lateMs = excessMs - PolicyMath.clamp(excessMs, 0, context.objectiveMs * TOLERATED_OBJECTIVES);
        double meanWorkMs = arrivals.meanWorkMs();
        remoteRequests = Math.max(0, remoteRequests + LATE_START_SHARE * lateMs * worker.capacity / meanWorkMs);
        remoteAtMs = context.nowMs;
        WorkerKind kind = worker.kind;
        double step = Math.max(MIN_LATE_START_STEP, 1 - PolicyMath.decay(ageInRequests(kind.unobservedAtMs)));
        kind.unobservedWaitMs += step * (remoteRequests * meanWorkMs / worker.capacity - kind.unobservedWaitMs);
        kind.unobservedAtMs = context.nowMs;
    }

    /** A report gave the free memory units; NaN: it did not. */
    void observeFreeMemory(double freeUnits) {
        remoteMemory = freeUnits >= 0 ? Math.max(0, worker.slotEstimator.slots() - freeUnits - localMemory) : 0;
    }

    /**
     * The others' requests at the worker by a report, negative where it is older than own sends; NaN: it gives none.
     */
    double remoteRequestsBy(LoadReport report) {
        if (report.activeRequests() >= 0) {
            return report.activeRequests() - inFlight.size();
        }
        double slots = worker.slotEstimator.slots();
        return slots - report.freeSlots() - Math.min(slotsInUse, slots);
    }

    /**
     * Takes up the others' requests by a report, as {@link #remoteRequestsBy} gave them before the slots were learnt.
     */
    void observeRemoteRequests(LoadReport report, double reported) {
        if (Double.isNaN(reported)) {
            return;
        }
        double meanWorkMs = arrivals.meanWorkMs();
        WorkerKind kind = worker.kind;
        if (report.activeRequests() >= 0 || report.freeSlots() > HALF_SLOT) {
            double keep = REMOTE_KEPT * PolicyMath.decay(ageInRequests(remoteAtMs));
            remoteRequests = keep * remoteRequests + (1 - keep) * Math.max(0, reported);
        } else {
            // A full worker's free slots say nothing of its queue: it is taken for its kind's usual one.
            double usual = kind.unobservedWaitMs * worker.capacity / meanWorkMs;
            remoteRequests = Math.max(Math.max(remoteRequests, reported), usual);
        }
        remoteAtMs = context.nowMs;
        if (!context.settings.workersReportStart()) {
            double reportedWaitMs = remoteRequests * meanWorkMs / worker.capacity;
            kind.unobservedWaitMs += REPORT_STEP * (reportedWaitMs - kind.unobservedWaitMs);
        }
    }

    /**
     * Others' work by the reports, fading. What is too old to know is drawn anew, from half the kind's mean on: with
     * the mean itself all dispatchers would rush the same fast workers, and from zero on the least of many draws is
     * none.
     */
    private double estimateRemoteWorkMs() {
        double keep = PolicyMath.decay(ageInRequests(remoteAtMs));
        double drawnMs = context.settings.dispatcherCount() == 1
                ? 0
                : worker.kind.unobservedWaitMs * worker.capacity * (1 + PolicyMath.drawExponential(context.random)) / 2;
        return keep * remoteRequests * arrivals.meanWorkMs() + (1 - keep) * drawnMs;
    }

    /** By how much the longest waiting own attempt outwaits its estimate: a queue that no report shows, ms. */
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

    /** Time since then at the worker's speed, in time constants of two mean requests. */
    private double ageInRequests(double sinceMs) {
        return (context.nowMs - sinceMs)
                * worker.speedEstimator.speed()
                / (REMOTE_MEMORY_REQUESTS * arrivals.meanWorkMs());
    }
}

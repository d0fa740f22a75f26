package maplespread.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * One worker as this dispatcher knows it: what the endpoint list says of it, and the estimates, each of which has a
 * module of its own. It hands the events of its attempts to them. Times are ms on the host's clock.
 */
final class Worker extends WorkerTable.Indexed {
    /** A report with more active requests or free slots than this is wrong, and no part of it is believed. */
    private static final double MAX_REPORTED = 1e4;

    /** Free slots of a report above this: a slot is free. */
    private static final double MIN_FREE_SLOT = 0.5;

    final String id;
    final long idHash;
    final SpeedEstimator speedEstimator;
    final SlotEstimator slotEstimator;
    final SlowStartBudget slowStart;
    final OutlierDetector outliers;
    final IdleConnections connections;
    final CachedKeys cachedKeys = new CachedKeys();
    final ShadowQueue shadowQueue = new ShadowQueue();

    WorkerKind kind;
    int kindNumber;
    int cell;
    int zone;
    EndpointLifecycle lifecycle;

    /** Work done a ms by all slots: speed, slots and warmth together, as of the last refresh. */
    double capacity = 1;

    /** When the last load report came. */
    double reportedAtMs = Double.NEGATIVE_INFINITY;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final FailureStatistics failures;
    private final HintCalibration hints;
    private final HintCalibration.WorkerMeans hintMeans = new HintCalibration.WorkerMeans();
    private double startedAtMs;
    private boolean probePending;

    Worker(
            String id,
            PolicyContext context,
            ArrivalStatistics arrivals,
            HintCalibration hints,
            FailureStatistics failures) {
        this.id = id;
        this.context = context;
        this.hints = hints;
        this.arrivals = arrivals;
        this.failures = failures;
        idHash = StableHash.hash(id);
        speedEstimator = new SpeedEstimator(context, arrivals, this);
        slotEstimator = new SlotEstimator(this);
        slowStart = new SlowStartBudget(context, arrivals, this);
        outliers = new OutlierDetector(context, arrivals, failures, this);
        connections = new IdleConnections(context, failures, this);
    }

    /** Takes up what the list says, but for the lifecycle. */
    void listed(EndpointEntry entry, WorkerKind entryKind) {
        kindNumber = entry.workerKind();
        kind = entryKind;
        cell = entry.cell();
        zone = entry.zone();
        if (entry.startedAtMs() > 0 && entry.startedAtMs() != startedAtMs) {
            startedAtMs = entry.startedAtMs();
            slowStart.restart(Math.min(context.nowMs, startedAtMs));
            outliers.restarted(startedAtMs);
        }
        refresh();
    }

    /** Brings the estimates up to date: when the worker is looked at, and at its events. */
    void refresh() {
        speedEstimator.refresh();
        capacity = speedEstimator.speed() * slotEstimator.slots() * slowStart.capacityShare();
        refreshBacklog();
        slowStart.refill();
    }

    /** What of its capacity may be used. */
    double usableCapacity() {
        return lifecycle == EndpointLifecycle.ACTIVE && !outliers.isEjected() ? capacity : 0;
    }

    /** Probes the worker, unless a probe is out. */
    void probe() {
        if (!probePending) {
            context.actions.probe(id);
        }
        probePending = true;
    }

    /** Its probe ended. */
    void probeEnded(AttemptOutcome outcome, double lagMs, LoadReport report) {
        probePending = false;
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            outliers.connectionFailed(lagMs);
        } else if (outcome == AttemptOutcome.SERVED) {
            reportReceived(report);
            connections.used(!connections.hasIdle());
            refresh();
            outliers.probeAnswered();
        }
    }

    /** Takes up a load report; null: there was none. */
    void reportReceived(LoadReport report) {
        if (report == null || report.activeRequests() > MAX_REPORTED || report.freeSlots() > MAX_REPORTED) {
            return;
        }
        reportedAtMs = context.nowMs;
        observeFreeMemory(report.freeMemoryUnits());
        speedEstimator.observeServiceTime(report.meanServiceMs());
        double remoteRequests = remoteRequestsBy(report);
        if (report.activeRequests() >= 0) {
            if (report.freeSlots() > MIN_FREE_SLOT) {
                slotEstimator.observe(report.activeRequests() + report.freeSlots());
            }
        } else if (report.freeSlots() >= 0 && inFlight().isEmpty()) {
            slotEstimator.observe(Math.max(report.freeSlots(), slotEstimator.slots()));
        }
        observeRemoteRequests(report, remoteRequests);
    }

    /** An attempt is sent to it. */
    void attemptSent(InFlightAttempt attempt) {
        addToBacklog(attempt);
        cachedKeys.add(attempt.request.keyHash, slotEstimator.slots());
        slowStart.spend(attempt.workMs);
        refresh();
    }

    /** An attempt has started, with share 0, or has done this share of its work. */
    void attemptProgressed(InFlightAttempt attempt, double doneShare) {
        if (!attempt.hasStarted()) {
            attempt.startedAtMs = context.nowMs;
            cancelOvertakenBy(attempt);
            slotEstimator.observeRunning(runningSlots());
            learnFromStart(attempt);
        } else if (doneShare > attempt.doneShare) {
            double workMs = attempt.workMs * (doneShare - attempt.doneShare);
            speedEstimator.learn(workMs, attempt.runTimeMs(context.nowMs));
        }
        attempt.progressedAtMs = context.nowMs;
        progressedInBacklog(attempt, doneShare);
    }

    /** The one end of every attempt. */
    void attemptEnded(InFlightAttempt attempt, AttemptOutcome outcome, double lagMs) {
        attempt.ended = true;
        attempt.request.attemptsInFlight--;
        attempt.neverRan = outcome.provesNeverRan();
        removeFromBacklog(attempt);
        boolean tellsOfWorker = !attempt.neverRan
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.STALE_CONNECTION_RESET;
        if (tellsOfWorker && !attempt.countedAsFailure) {
            outliers.attemptEnded(attempt.request.classIndex, outcome != AttemptOutcome.SERVED);
        }
        switch (outcome) {
            case SERVED -> attemptServed(attempt, lagMs);
            case CONNECT_FAILED -> outliers.connectionFailed(lagMs);
            case RESET -> outliers.connectionFailed(0);
            case REJECTED -> outliers.backOff();
            case TIMED_OUT -> outliers.timedOut(attempt);
            default -> {}
        }
        refresh();
    }

    private void attemptServed(InFlightAttempt attempt, double lagMs) {
        boolean started = attempt.hasStarted();
        if (started || attempt.hadFreeSlot) {
            double runMs = started ? context.nowMs - attempt.startedAtMs : lagMs;
            hints.observeRun(hintMeans, attempt.request.logHint, runMs);
        }
        if (started) {
            double workMs = attempt.workMs * (1 - attempt.doneShare);
            speedEstimator.learn(workMs, attempt.runTimeMs(context.nowMs));
        } else if (attempt.hadFreeSlot && !speedEstimator.hasReportedServiceTime()) {
            speedEstimator.learn(attempt.workMs, lagMs);
        }
        outliers.aliveSeen();
        connections.used(attempt.openedConnection);
    }

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

    private final List<InFlightAttempt> inFlight = new ArrayList<>();
    private double localWorkMs;
    private double slotsInUse;
    private double localMemory;
    private double remoteRequests;
    private double remoteAtMs = Double.NEGATIVE_INFINITY;
    private double remoteMemory;
    private double remoteWorkMs;
    private double waitMs;

    /** This dispatcher's attempts at the worker, by the order of their sending. */
    List<InFlightAttempt> inFlight() {
        return inFlight;
    }

    /** This dispatcher's work that is sent and not finished. */
    double localWorkMs() {
        return localWorkMs;
    }

    /** The other dispatchers' work, as of the last refreshBacklog. */
    double remoteWorkMs() {
        return remoteWorkMs;
    }

    /** How long a request sent now is expected to wait where no slot is free, as of the last refreshBacklog, ms. */
    double waitMs() {
        return waitMs;
    }

    /** Brings the estimates up to date. Takes a random number where other dispatchers share the  */
    void refreshBacklog() {
        remoteWorkMs = estimateRemoteWorkMs();
        waitMs = (localWorkMs + remoteWorkMs) / capacity + unexpectedWaitMs();
    }

    /** Whether a request would start at once, as far as own sends and reports tell. */
    boolean hasFreeSlot(PendingRequest request) {
        return slotsInUse + remoteWorkMs / arrivals.meanWorkMs() + request.slots - HALF_SLOT < slotEstimator.slots();
    }

    /** Whether the worker has memory for a request now, by own sends and its last report. */
    boolean hasMemoryFor(PendingRequest request) {
        return request.memoryUnits == 0
                || request.memoryUnits
                                + localMemory
                                + remoteMemory
                                        * PolicyMath.decay((context.nowMs - reportedAtMs) / arrivals.meanWorkMs())
                        <= slotEstimator.slots();
    }

    void addToBacklog(InFlightAttempt attempt) {
        inFlight.add(attempt);
        localWorkMs += attempt.reservedWorkMs;
        slotsInUse += attempt.request.slots;
        localMemory += attempt.request.memoryUnits;
    }

    /** The one end of every attempt: what is left of its work leaves the backlog. */
    void removeFromBacklog(InFlightAttempt attempt) {
        inFlight.remove(attempt);
        boolean idle = inFlight.isEmpty(); // then sums are exactly zero, whatever rounding has left
        localMemory = idle ? 0 : localMemory - attempt.request.memoryUnits;
        double remainingMs = attempt.reservedWorkMs * (1 - attempt.doneShare);
        slotsInUse = idle ? 0 : slotsInUse - attempt.request.slots;
        localWorkMs = idle ? 0 : Math.max(0, localWorkMs - remainingMs);
    }

    /** So much of an attempt is done: that share leaves the backlog, never by time alone. */
    void progressedInBacklog(InFlightAttempt attempt, double doneShare) {
        localWorkMs -= attempt.reservedWorkMs * Math.max(0, doneShare - attempt.doneShare);
        attempt.doneShare = Math.max(doneShare, attempt.doneShare);
    }

    /**
     * An attempt has started. Workers start in the order of arrival, so what was sent well before it must have started
     * too: that nothing was heard of it tells of its connection, not of a queue. Where a repeat is harmless, it is
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
        remoteRequests = Math.max(0, remoteRequests + LATE_START_SHARE * lateMs * capacity / meanWorkMs);
        remoteAtMs = context.nowMs;
        double step = Math.max(MIN_LATE_START_STEP, 1 - PolicyMath.decay(ageInRequests(kind.unobservedAtMs)));
        kind.unobservedWaitMs += step * (remoteRequests * meanWorkMs / capacity - kind.unobservedWaitMs);
        kind.unobservedAtMs = context.nowMs;
    }

    /** A report told the free memory units; NaN: it did not. */
    void observeFreeMemory(double freeUnits) {
        remoteMemory = freeUnits >= 0 ? Math.max(0, slotEstimator.slots() - freeUnits - localMemory) : 0;
    }

    /** The others' requests at the worker by a report, negative where it is older than own sends; NaN: it tells none. */
    double remoteRequestsBy(LoadReport report) {
        if (report.activeRequests() >= 0) {
            return report.activeRequests() - inFlight.size();
        }
        double slots = slotEstimator.slots();
        return slots - report.freeSlots() - Math.min(slotsInUse, slots);
    }

    /** Takes up the others' requests by a report, as told by {@link #remoteRequestsBy} before the slots were learnt. */
    void observeRemoteRequests(LoadReport report, double reported) {
        if (Double.isNaN(reported)) {
            return;
        }
        double meanWorkMs = arrivals.meanWorkMs();
        if (report.activeRequests() >= 0 || report.freeSlots() > HALF_SLOT) {
            double keep = REMOTE_KEPT * PolicyMath.decay(ageInRequests(remoteAtMs));
            remoteRequests = keep * remoteRequests + (1 - keep) * Math.max(0, reported);
        } else {
            // A full worker's free slots say nothing of its queue: it is taken for its kind's usual one.
            double usual = kind.unobservedWaitMs * capacity / meanWorkMs;
            remoteRequests = Math.max(Math.max(remoteRequests, reported), usual);
        }
        remoteAtMs = context.nowMs;
        if (!context.settings.workersReportStart()) {
            double reportedWaitMs = remoteRequests * meanWorkMs / capacity;
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
                : kind.unobservedWaitMs * capacity * (1 + PolicyMath.drawExponential(context.random)) / 2;
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
        return (context.nowMs - sinceMs) * speedEstimator.speed() / (REMOTE_MEMORY_REQUESTS * arrivals.meanWorkMs());
    }
}

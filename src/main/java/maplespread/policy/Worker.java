package maplespread.policy;

/**
 * One worker as this dispatcher knows it: what the endpoint list says of it, and the estimates, each of which has a
 * module of its own. It hands the events of its attempts to them. Times are ms on the host's clock.
 */
final class Worker {
    /** The place of a worker that is not on the endpoint list. */
    static final int NOT_LISTED = -1;

    /** A report with more active requests or free slots than this is wrong, and no part of it is believed. */
    private static final double MAX_REPORTED = 1e4;

    /** Free slots of a report above this: a slot is free. */
    private static final double MIN_FREE_SLOT = 0.5;

    final String id;
    final long idHash;
    final SpeedEstimator speedEstimator;
    final SlotEstimator slotEstimator;
    final SlowStartBudget slowStart;
    final WorkerBacklog backlog;
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

    /** Its place in the {@link WorkerTable}, which alone writes it. */
    int tablePlace = NOT_LISTED;

    private final PolicyContext context;
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
        idHash = StableHash.hash(id);
        speedEstimator = new SpeedEstimator(context, arrivals, this);
        slotEstimator = new SlotEstimator(this);
        slowStart = new SlowStartBudget(context, arrivals, this);
        backlog = new WorkerBacklog(context, arrivals, this);
        outliers = new OutlierDetector(context, arrivals, failures, this);
        connections = new IdleConnections(context, failures, this);
    }

    /** Whether the endpoint list names it. */
    boolean isListed() {
        return tablePlace != NOT_LISTED;
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
        backlog.refresh();
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
        backlog.observeFreeMemory(report.freeMemoryUnits());
        speedEstimator.observeServiceTime(report.meanServiceMs());
        double remoteRequests = backlog.remoteRequestsBy(report);
        if (report.activeRequests() >= 0) {
            if (report.freeSlots() > MIN_FREE_SLOT) {
                slotEstimator.observe(report.activeRequests() + report.freeSlots());
            }
        } else if (report.freeSlots() >= 0 && backlog.inFlight().isEmpty()) {
            slotEstimator.observe(Math.max(report.freeSlots(), slotEstimator.slots()));
        }
        backlog.observeRemoteRequests(report, remoteRequests);
    }

    /** An attempt is sent to it. */
    void attemptSent(InFlightAttempt attempt) {
        backlog.add(attempt);
        cachedKeys.add(attempt.request.keyHash, slotEstimator.slots());
        slowStart.spend(attempt.workMs);
        refresh();
    }

    /** An attempt has started, with share 0, or has done this share of its work. */
    void attemptProgressed(InFlightAttempt attempt, double doneShare) {
        if (!attempt.hasStarted()) {
            attempt.startedAtMs = context.nowMs;
            backlog.cancelOvertakenBy(attempt);
            slotEstimator.observeRunning(backlog.runningSlots());
            backlog.learnFromStart(attempt);
        } else if (doneShare > attempt.doneShare) {
            double workMs = attempt.workMs * (doneShare - attempt.doneShare);
            speedEstimator.learn(workMs, attempt.runTimeMs(context.nowMs));
        }
        attempt.progressedAtMs = context.nowMs;
        backlog.progressed(attempt, doneShare);
    }

    /** The one end of every attempt. */
    void attemptEnded(InFlightAttempt attempt, AttemptOutcome outcome, double lagMs) {
        attempt.ended = true;
        attempt.request.attemptsInFlight--;
        attempt.neverRan = outcome.provesNeverRan();
        backlog.remove(attempt);
        boolean concernsWorker = !attempt.neverRan
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.STALE_CONNECTION_RESET;
        if (concernsWorker && !attempt.countedAsFailure) {
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
}

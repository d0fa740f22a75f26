package maplespread.policy;

/**
 * One worker as this dispatcher knows it: its entry on the endpoint list and the estimates, each in a class of its own,
 * to which this class passes the events of the worker's attempts. Times are ms on the host's clock.
 */
final class Worker {
    /** Table index of a worker that is not on the endpoint list. */
    static final int NOT_LISTED = -1;

    /** A report with more active requests or free slots than this is wrong and is ignored as a whole. */
    private static final double MAX_REPORTED = 1e4;

    /** A report with more free slots than this shows that a slot is free. */
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

    /** Work per ms of all slots as of the last refresh: the product of speed, slots and slow-start share. */
    double capacity = 1;

    /** Time of the last load report. */
    double reportedAtMs = Double.NEGATIVE_INFINITY;

    /** Index in the {@link WorkerTable}, which alone writes it; {@link #NOT_LISTED} outside the table. */
    int tableIndex = NOT_LISTED;

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

    /** Whether the worker is on the endpoint list. */
    boolean isListed() {
        return tableIndex != NOT_LISTED;
    }

    /** Applies an entry of the endpoint list, except for its lifecycle. */
    void applyEntry(EndpointEntry entry, WorkerKind entryKind) {
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

    /** Updates the estimates: at each scan of the fleet and at the worker's events. */
    void refresh() {
        speedEstimator.refresh();
        capacity = speedEstimator.speed() * slotEstimator.slots() * slowStart.capacityShare();
        backlog.refresh();
        slowStart.refill();
    }

    /** The capacity that may be used: 0 unless the worker is active and not ejected. */
    double usableCapacity() {
        return lifecycle == EndpointLifecycle.ACTIVE && !outliers.isEjected() ? capacity : 0;
    }

    /** Probes the worker, unless a probe is pending. */
    void probe() {
        if (!probePending) {
            context.actions.probe(id);
        }
        probePending = true;
    }

    /** A probe of the worker ended. */
    void probeEnded(AttemptOutcome outcome, double elapsedMs, LoadReport report) {
        probePending = false;
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            outliers.connectionFailed(elapsedMs);
        } else if (outcome == AttemptOutcome.SERVED) {
            reportReceived(report);
            connections.used(!connections.hasIdle());
            refresh();
            outliers.probeAnswered();
        }
    }

    /** Applies a load report; null: there was none. */
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

    /** An attempt is sent to the worker. */
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

    /** An attempt ended; called exactly once for each. */
    void attemptEnded(InFlightAttempt attempt, AttemptOutcome outcome, double elapsedMs) {
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
            case SERVED -> attemptServed(attempt, elapsedMs);
            case CONNECT_FAILED -> outliers.connectionFailed(elapsedMs);
            case RESET -> outliers.connectionFailed(0);
            case REJECTED -> outliers.backOff();
            case TIMED_OUT -> outliers.timedOut(attempt);
            default -> {}
        }
        refresh();
    }

    private void attemptServed(InFlightAttempt attempt, double elapsedMs) {
        boolean started = attempt.hasStarted();
        if (started || attempt.hadFreeSlot) {
            double runMs = started ? context.nowMs - attempt.startedAtMs : elapsedMs;
            hints.observeRun(hintMeans, attempt.request.logHint, runMs);
        }
        if (started) {
            double workMs = attempt.workMs * (1 - attempt.doneShare);
            speedEstimator.learn(workMs, attempt.runTimeMs(context.nowMs));
        } else if (attempt.hadFreeSlot && !speedEstimator.hasReportedServiceTime()) {
            speedEstimator.learn(attempt.workMs, elapsedMs);
        }
        outliers.recordAlive();
        connections.used(attempt.openedConnection);
    }
}

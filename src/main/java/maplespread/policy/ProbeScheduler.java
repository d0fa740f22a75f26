package maplespread.policy;

/**
 * Probes of workers that are not ejected: the synchronous rounds before a choice, and the regular ones. Where other
 * dispatchers send most of the load, own sends do not mirror it, so workers are probed before one is chosen: the three
 * cheapest at once, twice at most, and the costs decide on the answers. A worker that does not answer in an eighth of
 * the objective backs off, whatever its reason.
 */
final class ProbeScheduler {
    private static final int PROBES_A_ROUND = 3;
    private static final int MAX_ROUNDS = 2;

    /** From this load of all dispatchers over this one's, own sends show too little of the load. */
    private static final double MIN_LOAD_MULTIPLIER = 8;

    /** A report is fresh, and an answer in time, for this much of the objective. */
    private static final double FRESH_OBJECTIVES = 1.0 / 8;

    private final PolicyContext context;
    private final PendingRequests requests;
    private final WorkerTable workers;
    private final FleetLoadEstimate fleetLoad;
    private final CandidateCosts costs;
    private final ProcessPauseDetector pauses;

    ProbeScheduler(
            PolicyContext context,
            PendingRequests requests,
            WorkerTable workers,
            FleetLoadEstimate fleetLoad,
            CandidateCosts costs,
            ProcessPauseDetector pauses) {
        this.context = context;
        this.requests = requests;
        this.workers = workers;
        this.fleetLoad = fleetLoad;
        this.costs = costs;
        this.pauses = pauses;
    }

    /** Probes the worker whose last report is the oldest, if that is older than an objective. */
    void probeStalest() {
        if (!context.permissions.probing() || context.settings.dispatcherCount() <= 1) {
            return;
        }
        Worker stalest = null;
        for (Worker worker : workers.all()) {
            if (!worker.outliers.isEjected()
                    && context.nowMs - worker.reportedAtMs > context.objectiveMs
                    && (stalest == null || worker.reportedAtMs < stalest.reportedAtMs)) {
                stalest = worker;
            }
        }
        if (stalest != null) {
            stalest.probe();
        }
    }

    /** Starts a round for a request whose cheapest worker is given; false: none is needed or allowed. */
    boolean startRound(PendingRequest request, Worker cheapest) {
        double freshMs = context.objectiveMs * FRESH_OBJECTIVES;
        if (!context.permissions.probing()
                || fleetLoad.loadMultiplier() < MIN_LOAD_MULTIPLIER
                || context.nowMs - cheapest.reportedAtMs < freshMs
                || request.probeRounds >= MAX_ROUNDS) {
            return false;
        }
        request.probeRounds++;
        Worker next = cheapest;
        for (int i = 0; i < PROBES_A_ROUND && next != null; i++) {
            if (context.nowMs - next.reportedAtMs >= freshMs) {
                next.probe();
                request.probed.add(next);
                request.awaitingReply.add(next);
            }
            costs.exclude(next); // until it has answered
            next = costs.cheapest();
        }
        requests.startProbing(request);
        context.actions.scheduleTimer(freshMs, TimerLabel.probeRoundOf(request.id()));
        return true;
    }

    /** A worker has answered a probe, or failed to; returns whether that was the last answer the request waited for. */
    boolean recordReply(Worker worker, PendingRequest request) {
        return request.awaitingReply.remove(worker) && request.awaitingReply.isEmpty();
    }

    /**
     * A request's round ends, with all answers or at its timer; returns whether the request is to be placed now.
     *
     * <p>If this process stood still meanwhile, the answers may stand behind the timer: the round goes on for a moment.
     */
    boolean endRound(PendingRequest request) {
        boolean answersMissing = !request.awaitingReply.isEmpty();
        if (answersMissing && pauses.pauseEndedMs() > request.acceptedAtMs) {
            pauses.forgetPause();
            context.actions.scheduleTimer(context.settings.tickMs(), TimerLabel.probeRoundOf(request.id()));
            return false;
        }
        if (!requests.stopProbing(request)) {
            return false;
        }
        for (Worker silent : request.awaitingReply) {
            silent.outliers.backOff();
        }
        request.awaitingReply.clear();
        if (costs.areOf(request)) {
            costs.repriceProbed(request);
        }
        return true;
    }
}

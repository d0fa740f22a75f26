package maplespread.policy;

/**
 * Schedules probes of workers that are not ejected: rounds of probes before a choice, and regular probes. Where other
 * dispatchers send most of the load, this dispatcher's own attempts do not show it, so workers are probed before one is
 * chosen: the three cheapest at once, in at most two rounds, and their answers enter the costs. A worker that does not
 * answer within an eighth of the objective backs off, for whatever reason it did not answer.
 */
final class ProbeScheduler {
    private static final int MAX_PROBES_PER_ROUND = 3;
    private static final int MAX_ROUNDS = 2;

    /** Load of all dispatchers relative to this one's from which own attempts show too little of the load. */
    private static final double MIN_LOAD_MULTIPLIER = 8;

    /** Time for which a report is fresh and up to which an answer is in time, in objectives. */
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

    /**
     * Starts a probe round for a request.
     *
     * @param cheapest the cheapest worker for the request
     * @return false if no round is needed or allowed
     */
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
        for (int i = 0; i < MAX_PROBES_PER_ROUND && next != null; i++) {
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

    /**
     * Records that a worker answered a probe or failed to.
     *
     * @return whether that was the last answer for which the request waited
     */
    boolean recordReply(Worker worker, PendingRequest request) {
        return request.awaitingReply.remove(worker) && request.awaitingReply.isEmpty();
    }

    /**
     * Ends a request's round, with all answers or at its timer. If this process was suspended meanwhile, answers may be
     * queued behind the timer, so the round continues for a tick of the host's timers.
     *
     * @return whether the request is to be placed now
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
        for (Worker unanswered : request.awaitingReply) {
            unanswered.outliers.backOff();
        }
        request.awaitingReply.clear();
        if (costs.belongTo(request)) {
            costs.repriceProbed(request);
        }
        return true;
    }
}

package maplespread.policy;

import java.util.Optional;

/**
 * Chooses a worker for a request: the ready worker with the lowest cost, or the cheapest eligible worker where no ready
 * one may take the request. A request without a worker below the cost of a rejection is parked or ended. Where too
 * little is known about the workers, they are probed first.
 */
final class WorkerSelector {
    /** Lateness below which a probed worker with a free slot is chosen without another probe round. */
    private static final double MAX_ON_TIME_LATENESS = 0.5;

    private final PolicyContext context;
    private final WorkerDirectory directory;
    private final PendingRequests requests;
    private final CandidateCosts costs;
    private final CostModel costModel;
    private final KeyAffinity affinity;
    private final ProbeScheduler probes;
    private final AdmissionControl admission;

    WorkerSelector(
            PolicyContext context,
            WorkerDirectory directory,
            PendingRequests requests,
            CandidateCosts costs,
            CostModel costModel,
            KeyAffinity affinity,
            ProbeScheduler probes,
            AdmissionControl admission) {
        this.context = context;
        this.directory = directory;
        this.requests = requests;
        this.costs = costs;
        this.costModel = costModel;
        this.affinity = affinity;
        this.probes = probes;
        this.admission = admission;
    }

    /** Sends, parks or ends the request, or starts a probe round for it first. */
    void place(PendingRequest request) {
        if (!costs.belongTo(request)) {
            costs.priceAll(request, false);
        }
        Worker cheapest = costs.cheapest();
        Worker probed = costs.cheapestProbed(request);
        if (cheapest != null && !isExpectedOnTime(request, probed) && probes.startRound(request, cheapest)) {
            return;
        }
        if (!costs.anyEligible()) {
            costs.priceAll(request, true);
            cheapest = costs.cheapest();
        }
        costs.invalidate();
        request.probed.clear();
        if (cheapest != null) {
            send(request, probed == null ? cheapest : probed);
        } else {
            parkOrEnd(request);
        }
    }

    /** Whether a worker that was probed for the request is expected to serve it on time and without a wait. */
    private boolean isExpectedOnTime(PendingRequest request, Worker probed) {
        return probed != null
                && probed.backlog.hasFreeSlot(request)
                && costModel.lateness(request, probed, 0) < MAX_ON_TIME_LATENESS;
    }

    private void parkOrEnd(PendingRequest request) {
        Optional<RejectionReason> reason = admission.rejectionReason(request, costs.anyEligible());
        if (reason.isPresent()) {
            admission.end(request, reason.get());
        } else {
            requests.park(request);
        }
    }

    private void send(PendingRequest request, Worker worker) {
        costModel.attemptSent();
        double fetchMs = affinity.fetchCostMs(request, worker);
        InFlightAttempt attempt = new InFlightAttempt(request, worker, context.nowMs, fetchMs);
        directory.attemptStarting(worker);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        worker.attemptSent(attempt);
        context.actions.sendAttempt(request.id(), worker.id);
    }
}

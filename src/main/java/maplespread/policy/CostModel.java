package maplespread.policy;

/**
 * The cost of sending a request to a worker, by rule (25) of "Meeting Soft Deadlines in Single- and Multi-Server
 * Systems": the probability that the request is late there, plus the increase in the loss of later requests ({@link
 * ValueFunction}), compared with a rejection at a cost of one. Some costs affect only the choice among workers and
 * never cause a rejection: another zone, a new connection, a class that fails at the worker. docs/design.md lists the
 * departures from the paper.
 */
final class CostModel {
    /** Cost of a worker that may not take the request. */
    static final double INELIGIBLE = Double.POSITIVE_INFINITY;

    /** Cost of a worker that may take the request, but where a rejection costs less. */
    static final double ABOVE_REJECTION_COST = Double.MAX_VALUE;

    private static final double REJECTION_COST = 1;

    /**
     * Slope of the lateness around the objective. Work hints are inexact, so the lateness does not jump at the
     * objective but rises from 0 to 1 over the request's expected time divided by this.
     */
    private static final double LATENESS_SLOPE = 2;

    private final PolicyContext context;
    private final WorkerTable workers;
    private final ArrivalStatistics arrivals;
    private final FleetLoadEstimate fleetLoad;
    private final FailureStatistics failures;
    private final KeyAffinity affinity;
    private final EligibilityFilter eligibility;
    private double lastSentMs = Double.NEGATIVE_INFINITY;

    CostModel(
            PolicyContext context,
            WorkerTable workers,
            ArrivalStatistics arrivals,
            FleetLoadEstimate fleetLoad,
            FailureStatistics failures,
            KeyAffinity affinity,
            EligibilityFilter eligibility) {
        this.context = context;
        this.workers = workers;
        this.arrivals = arrivals;
        this.fleetLoad = fleetLoad;
        this.failures = failures;
        this.affinity = affinity;
        this.eligibility = eligibility;
    }

    /** Records that an attempt was sent, for {@link #maySendDespiteCost}. */
    void attemptSent() {
        lastSentMs = context.nowMs;
    }

    /**
     * Returns the cost of sending a request to a worker.
     *
     * @param includeUnready whether a worker that is ejected or backs off may be chosen as well, for a request for
     *     which no ready worker is left
     * @return {@link #INELIGIBLE}, {@link #ABOVE_REJECTION_COST} or the cost
     */
    double cost(PendingRequest request, Worker worker, boolean includeUnready) {
        if (!includeUnready && !worker.outliers.isReady()
                || eligibility.check(request, worker) != Eligibility.ELIGIBLE) {
            return INELIGIBLE;
        }
        double waitMs = worker.backlog.waitMs();
        double lateness = lateness(request, worker, expectedWaitMs(request, worker));
        // A response after the objective but before the deadline keeps a share of its weight.
        double endMs = context.nowMs + waitMs + request.workMs / worker.speedEstimator.speed();
        lateness *= endMs < request.deadlineMs ? 1 - request.requestClass.lateWeightShare() : 1;
        // The increase is in mean requests; the weight relates it to the rejection of this request, at a cost of one.
        double waitObjectiveMs = arrivals.waitObjectiveMs(request);
        double reservedMs = (request.workMs + affinity.fetchCostMs(request, worker) * worker.speedEstimator.speed())
                * request.slots
                / worker.capacity;
        double cost = lateness + valueIncrease(worker, waitMs, reservedMs, waitObjectiveMs) / request.weight;
        return cost < REJECTION_COST || maySendDespiteCost()
                ? cost
                        + preferenceCost(request, worker, waitObjectiveMs)
                        + worker.outliers.failureRate(request.classIndex)
                : ABOVE_REJECTION_COST;
    }

    /**
     * The lateness of a request at a worker, 0 to 1: its expected time there compared with the time left until its
     * objective.
     *
     * @param waitMs expected wait in the worker's queue
     */
    double lateness(PendingRequest request, Worker worker, double waitMs) {
        RequestClass requestClass = request.requestClass;
        double objectiveMs = requestClass.latencyObjectiveMs() + requestClass.stretchFactor() * request.workMs;
        double remainingMs =
                Math.min(objectiveMs - (context.nowMs - request.acceptedAtMs), request.deadlineMs - context.nowMs);
        double expectedMs =
                waitMs + request.workMs / worker.speedEstimator.speed() + affinity.fetchCostMs(request, worker);
        return PolicyMath.clamp(0.5 + LATENESS_SLOPE * (expectedMs - remainingMs) / expectedMs, 0, 1);
    }

    /**
     * The expected wait of a request in the worker's queue: 0 only where both a slot and the request's memory are free,
     * by this dispatcher's attempts and the worker's reports.
     */
    private double expectedWaitMs(PendingRequest request, Worker worker) {
        if (!worker.backlog.hasMemoryFor(request)) {
            return Math.max(worker.backlog.waitMs(), arrivals.meanWorkMs() / worker.capacity);
        }
        return worker.backlog.hasFreeSlot(request) ? 0 : worker.backlog.waitMs();
    }

    /**
     * Whether a request may be sent although a rejection costs less. A dispatcher that sends no attempts gets no new
     * observations and would reject forever, so after half the estimators' memory it sends to the cheapest worker.
     */
    private boolean maySendDespiteCost() {
        return context.nowMs - lastSentMs > context.memoryMs / 2;
    }

    /**
     * Costs that affect only the choice among workers and never cause a rejection: another zone, and the time that a
     * new connection may take.
     */
    private double preferenceCost(PendingRequest request, Worker worker, double waitObjectiveMs) {
        double cost = worker.zone == context.settings.zone() ? 0 : context.settings.crossZoneCost() / request.weight;
        boolean connectsSafely = !failures.slowConnectsSeen() || worker.connections.hasIdle();
        return cost
                + (connectsSafely
                        ? 0
                        : failures.slowConnectShare() * context.permissions.connectTimeoutMs() / waitObjectiveMs);
    }

    /** The increase in the value of a worker's backlog by work of this length, in mean requests. */
    private double valueIncrease(Worker worker, double waitMs, double reservedMs, double waitObjectiveMs) {
        double ratePerMs = Math.max(arrivals.ratePerMs(), 1 / context.memoryMs);
        double arrivalRate = ratePerMs
                * fleetLoad.loadMultiplier()
                * worker.capacity
                / Math.max(workers.totalCapacity(), worker.capacity);
        double costRate = worker.shadowQueue.lossRate(arrivalRate, arrivals.lostShare());
        double serviceMs = arrivals.meanWorkMs() / worker.capacity;
        return ValueFunction.value(arrivalRate, costRate, serviceMs, waitObjectiveMs, waitMs + reservedMs)
                - ValueFunction.value(arrivalRate, costRate, serviceMs, waitObjectiveMs, waitMs);
    }
}

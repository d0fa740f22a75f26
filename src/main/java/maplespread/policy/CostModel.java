package maplespread.policy;

/**
 * The cost of placing a request at a worker, by rule (25) of "Meeting Soft Deadlines in Single- and Multi-Server
 * Systems": how likely it is late there, and by how much its work raises what later requests lose ({@link
 * ValueFunction}), against a rejection at a cost of one. Some costs only choose among workers and reject nothing:
 * another zone, a new connection, a class that fails there. docs/design.md gives the departures from the paper.
 */
final class CostModel {
    /** The worker may not take the request at all. */
    static final double INELIGIBLE = Double.POSITIVE_INFINITY;

    /** The worker may take the request, but a rejection costs less. */
    static final double DEARER_THAN_REJECTION = Double.MAX_VALUE;

    private static final double REJECTION_COST = 1;

    /** The lateness rises about the objective, not in a step, as hints are rough: by its run time over this. */
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

    /** An attempt was sent: see {@link #mayTryAnyway}. */
    void attemptSent() {
        lastSentMs = context.nowMs;
    }

    /**
     * The cost of a request at a worker.
     *
     * @param anyState also where the worker is ejected or backs off, for a request for which no ready worker is left
     * @return {@link #INELIGIBLE}, {@link #DEARER_THAN_REJECTION} or the cost
     */
    double cost(PendingRequest request, Worker worker, boolean anyState) {
        if (!anyState && !worker.outliers.isReady() || eligibility.check(request, worker) != Eligibility.ELIGIBLE) {
            return INELIGIBLE;
        }
        double waitMs = worker.backlog.waitMs();
        double late = lateness(request, worker, expectedWaitMs(request, worker));
        // A response past the objective but before the deadline keeps a share of its weight.
        double endMs = context.nowMs + waitMs + request.workMs / worker.speedEstimator.speed();
        late *= endMs < request.deadlineMs ? 1 - request.requestClass.lateWeightShare() : 1;
        // The increase counts mean requests; it is set against rejecting this one, at one.
        double waitObjectiveMs = arrivals.waitObjectiveMs(request);
        double reservedMs = (request.workMs + affinity.fetchCostMs(request, worker) * worker.speedEstimator.speed())
                * request.slots
                / worker.capacity;
        double cost = late + valueIncrease(worker, waitMs, reservedMs, waitObjectiveMs) / request.weight;
        return cost < REJECTION_COST || mayTryAnyway()
                ? cost + preference(request, worker, waitObjectiveMs) + worker.outliers.failureRate(request.classIndex)
                : DEARER_THAN_REJECTION;
    }

    /**
     * How late a request would be at a worker, 0 to 1: its own hinted run against its own objective.
     *
     * @param waitMs what it would wait in the queue
     */
    double lateness(PendingRequest request, Worker worker, double waitMs) {
        RequestClass requestClass = request.requestClass;
        double objectiveMs = requestClass.latencyObjectiveMs() + requestClass.stretchFactor() * request.workMs;
        double leftMs =
                Math.min(objectiveMs - (context.nowMs - request.acceptedAtMs), request.deadlineMs - context.nowMs);
        double takesMs =
                waitMs + request.workMs / worker.speedEstimator.speed() + affinity.fetchCostMs(request, worker);
        return PolicyMath.clamp(0.5 + LATENESS_SLOPE * (takesMs - leftMs) / takesMs, 0, 1);
    }

    /** A request starts at once only where a slot is free and its memory has room too, by own sends and reports. */
    private double expectedWaitMs(PendingRequest request, Worker worker) {
        if (!worker.backlog.hasMemoryFor(request)) {
            return Math.max(worker.backlog.waitMs(), arrivals.meanWorkMs() / worker.capacity);
        }
        return worker.backlog.hasFreeSlot(request) ? 0 : worker.backlog.waitMs();
    }

    /**
     * A dispatcher that sends nothing learns nothing and would reject for ever: after a while it tries the cheapest.
     */
    private boolean mayTryAnyway() {
        return context.nowMs - lastSentMs > context.memoryMs / 2;
    }

    /** What chooses among workers and rejects nothing: another zone, and the time that a new connection may lose. */
    private double preference(PendingRequest request, Worker worker, double waitObjectiveMs) {
        double cost = worker.zone == context.settings.zone() ? 0 : context.settings.crossZoneCost() / request.weight;
        boolean connectsSafely = !failures.slowConnectsSeen() || worker.connections.hasIdle();
        return cost
                + (connectsSafely
                        ? 0
                        : failures.slowConnectShare() * context.permissions.connectTimeoutMs() / waitObjectiveMs);
    }

    /** By how much work of this length raises the value of a worker's backlog, in mean requests. */
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

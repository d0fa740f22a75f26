package maplespread.policy;

/**
 * The costs of one request at all workers, kept in the worker table from its pricing to its sending. A probe round
 * keeps them and prices only the workers that were probed anew.
 */
final class CandidateCosts {
    private final WorkerTable workers;
    private final CostModel costModel;
    private final KeyAffinity affinity;
    private PendingRequest priced;
    private boolean anyEligible;

    CandidateCosts(WorkerTable workers, CostModel costModel, KeyAffinity affinity) {
        this.workers = workers;
        this.costModel = costModel;
        this.affinity = affinity;
    }

    /** Whether the costs are those of this request. */
    boolean areOf(PendingRequest request) {
        return priced == request;
    }

    /** Whether any worker may take the request, at whatever cost. */
    boolean anyEligible() {
        return anyEligible;
    }

    /** Prices the request at all workers; {@code anyState}: also those ejected or backing off. */
    void priceAll(PendingRequest request, boolean anyState) {
        priced = request;
        anyEligible = false;
        affinity.rank(request);
        for (Worker worker : workers.all()) {
            double cost = costModel.cost(request, worker, anyState);
            workers.setCost(worker, cost);
            anyEligible |= cost < CostModel.INELIGIBLE;
        }
    }

    /** Prices the request anew at the workers probed for it; forgets all costs if none of all is cheap enough. */
    void repriceProbed(PendingRequest request) {
        for (Worker worker : request.probed) {
            workers.setCost(worker, costModel.cost(request, worker, false));
        }
        priced = cheapest() == null ? null : request;
    }

    /** The costs hold no longer. */
    void invalidate() {
        priced = null;
    }

    /** Leaves a worker out until it is priced again. */
    void exclude(Worker worker) {
        workers.setCost(worker, CostModel.DEARER_THAN_REJECTION);
    }

    /** The first worker of the least cost below a rejection's; null: there is none. */
    Worker cheapest() {
        return workers.cheapest(CostModel.DEARER_THAN_REJECTION);
    }

    /** The same among the workers probed for the request. */
    Worker cheapestProbed(PendingRequest request) {
        return workers.cheapest(request.probed, CostModel.DEARER_THAN_REJECTION);
    }
}

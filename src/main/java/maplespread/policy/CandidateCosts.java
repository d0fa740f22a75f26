package maplespread.policy;

/**
 * The costs of one request at all workers, kept in the worker table from their computation until the request is sent.
 * A probe round keeps them and recomputes only those of the probed workers.
 */
final class CandidateCosts {
    private final WorkerTable workers;
    private final CostModel costModel;
    private final KeyAffinity affinity;
    private PendingRequest pricedRequest;
    private boolean anyEligible;

    CandidateCosts(WorkerTable workers, CostModel costModel, KeyAffinity affinity) {
        this.workers = workers;
        this.costModel = costModel;
        this.affinity = affinity;
    }

    /** Whether the current costs are those of this request. */
    boolean belongTo(PendingRequest request) {
        return pricedRequest == request;
    }

    /** Whether any worker may take the request, at whatever cost. */
    boolean anyEligible() {
        return anyEligible;
    }

    /**
     * Computes the request's costs at all workers.
     *
     * @param includeUnready whether workers that are ejected or back off may be chosen as well
     */
    void priceAll(PendingRequest request, boolean includeUnready) {
        pricedRequest = request;
        anyEligible = false;
        affinity.rank(request);
        for (Worker worker : workers.all()) {
            double cost = costModel.cost(request, worker, includeUnready);
            workers.setCost(worker, cost);
            anyEligible |= cost < CostModel.INELIGIBLE;
        }
    }

    /**
     * Recomputes the request's costs at the workers probed for it. Discards all costs if no worker's cost is below that
     * of a rejection.
     */
    void repriceProbed(PendingRequest request) {
        for (Worker worker : request.probed) {
            workers.setCost(worker, costModel.cost(request, worker, false));
        }
        pricedRequest = cheapest() == null ? null : request;
    }

    /** Marks the costs as out of date. */
    void invalidate() {
        pricedRequest = null;
    }

    /** Excludes a worker until its cost is computed again. */
    void exclude(Worker worker) {
        workers.setCost(worker, CostModel.ABOVE_REJECTION_COST);
    }

    /** The first worker with the lowest cost below that of a rejection; null: there is none. */
    Worker cheapest() {
        return workers.cheapest(CostModel.ABOVE_REJECTION_COST);
    }

    /** The first worker with the lowest such cost among those probed for the request; null: there is none. */
    Worker cheapestProbed(PendingRequest request) {
        return workers.cheapest(request.probed, CostModel.ABOVE_REJECTION_COST);
    }
}

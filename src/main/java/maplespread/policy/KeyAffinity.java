package maplespread.policy;

/**
 * Estimates which workers have a request's data set cached, and what a miss costs. A few workers have a data set
 * cached; others fetch it from a shared store. The primary worker of a key is found by rendezvous hashing (highest
 * random weight), so that all dispatchers find the same one without exchanging messages.
 */
final class KeyAffinity {
    /**
     * Cost of a miss, in mean requests. The wait for the fetch is under one, but the fetch also takes capacity of the
     * shared store and evicts a data set that other requests will miss.
     */
    private static final double MISS_COST_REQUESTS = 3;

    /**
     * Additional cost of a miss where requests queue at workers, in mean requests: no slot is free then, and a fetch
     * holds slots that other requests need.
     */
    private static final double QUEUEING_MISS_COST_REQUESTS = 3;

    /** Probability of a miss at the key's primary worker. */
    private static final double PRIMARY_MISS_PROBABILITY = 0.1;

    /** Probability of a miss at a worker to which this dispatcher recently sent the key. */
    private static final double RECENT_MISS_PROBABILITY = 0.2;

    /** Probability of a miss at the key's secondary worker. */
    private static final double SECONDARY_MISS_PROBABILITY = 0.5;

    private final WorkerTable workers;
    private final ArrivalStatistics arrivals;
    private final FleetLoadEstimate fleetLoad;

    KeyAffinity(WorkerTable workers, ArrivalStatistics arrivals, FleetLoadEstimate fleetLoad) {
        this.workers = workers;
        this.arrivals = arrivals;
        this.fleetLoad = fleetLoad;
    }

    /** Finds the primary and the secondary worker of a request's key among the active workers that it may go to. */
    void rank(PendingRequest request) {
        request.primary = null;
        request.secondary = null;
        if (request.keyHash == 0) {
            return;
        }
        long primaryRank = 0;
        long secondaryRank = 0;
        for (Worker worker : workers.all()) {
            if (worker.lifecycle != EndpointLifecycle.ACTIVE
                    || worker.outliers.isEjected()
                    || !request.accepted.mayGoTo(worker.id)) {
                continue;
            }
            long rank = rendezvousRank(request.keyHash, worker);
            if (request.primary == null || rank > primaryRank) {
                request.secondary = request.primary;
                secondaryRank = primaryRank;
                request.primary = worker;
                primaryRank = rank;
            } else if (request.secondary == null || rank > secondaryRank) {
                request.secondary = worker;
                secondaryRank = rank;
            }
        }
    }

    /** The expected cost, as time in ms, of fetching the request's data set at the worker. */
    double fetchCostMs(PendingRequest request, Worker worker) {
        if (request.keyHash == 0) {
            return 0;
        }
        double queueing = PolicyMath.clamp(fleetLoad.queueingFactor() - 1, 0, 1);
        double missCost = MISS_COST_REQUESTS + QUEUEING_MISS_COST_REQUESTS * queueing;
        return missCost * missProbability(request, worker) * arrivals.meanWorkMs();
    }

    private static double missProbability(PendingRequest request, Worker worker) {
        if (worker == request.primary) {
            return PRIMARY_MISS_PROBABILITY;
        }
        if (worker.cachedKeys.contains(request.keyHash)) {
            return RECENT_MISS_PROBABILITY;
        }
        return worker == request.secondary ? SECONDARY_MISS_PROBABILITY : 1;
    }

    /** The worker's rank for the key: 63 bits, never negative. */
    private static long rendezvousRank(long keyHash, Worker worker) {
        return StableHash.mix(keyHash ^ worker.idHash) >>> 1;
    }
}

package maplespread.policy;

/**
 * Which workers are likely to have a request's data set cached, and what a miss costs. A data set is kept by a few
 * workers and fetched elsewhere from a store that all share. The primary worker of a key is found by rendezvous hashing
 * (highest random weight), the same at all dispatchers without a message between them.
 */
final class KeyAffinity {
    /**
     * A miss is priced as this many mean requests. The wait for the fetch is under one, but it also takes of the shared
     * store's capacity and drives out a set that others will miss.
     */
    private static final double MISS_COST_REQUESTS = 3;

    /** Added where workers queue: no slot is free then, and those held by a fetch are missed. */
    private static final double QUEUEING_MISS_COST_REQUESTS = 3;

    /** How likely a miss is at the key's primary worker. */
    private static final double PRIMARY_MISS = 0.1;

    /** How likely a miss is where this dispatcher sent the key lately. */
    private static final double RECENT_MISS = 0.2;

    /** How likely a miss is at the key's secondary worker. */
    private static final double SECONDARY_MISS = 0.5;

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

    /** The price, as time in ms, of the data set that a request may have to wait for at the worker. */
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
            return PRIMARY_MISS;
        }
        if (worker.cachedKeys.contains(request.keyHash)) {
            return RECENT_MISS;
        }
        return worker == request.secondary ? SECONDARY_MISS : 1;
    }

    /** 63 bits, never negative. */
    private static long rendezvousRank(long keyHash, Worker worker) {
        return StableHash.mix(keyHash ^ worker.idHash) >>> 1;
    }
}

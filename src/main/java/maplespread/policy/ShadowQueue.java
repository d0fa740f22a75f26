package maplespread.policy;

/**
 * A worker's backlog as it would be if all offered requests were split at random by capacity and admitted by the basic
 * rule, which rejects a request when the backlog exceeds the wait objective. The share that is lost gives the cost rate
 * of the value function. Real rejections cannot give it, as they depend on that function.
 */
final class ShadowQueue {
    /** Factor by which each request reduces the weight of older ones: about fifty are remembered. */
    private static final double KEPT_SHARE = 0.98;

    /** Weight of the fleet's lost share in the worker's own, as a number of requests. */
    private static final double PRIOR_REQUESTS = 10;

    private double backlogMs;
    private double updatedAtMs;
    private double offered;
    private double lost;

    /**
     * Offers a request.
     *
     * @param runMs its work at the worker's present capacity
     * @param loadMultiplier the load of all dispatchers relative to this one's; the backlog drains slower by this
     *     factor
     * @return 1 if the basic rule loses it, else 0
     */
    int offer(double nowMs, double loadMultiplier, double waitObjectiveMs, double runMs) {
        double remainingMs = Math.max(0, backlogMs - (nowMs - updatedAtMs) / loadMultiplier);
        int rejected = remainingMs > waitObjectiveMs ? 1 : 0;
        backlogMs = remainingMs + (1 - rejected) * runMs;
        updatedAtMs = nowMs;
        offered = offered * KEPT_SHARE + 1;
        lost = lost * KEPT_SHARE + rejected;
        return rejected;
    }

    /** The rate of lost requests at this arrival rate, when the whole fleet loses this share. */
    double lossRate(double arrivalRate, double fleetLostShare) {
        return arrivalRate * (lost + PRIOR_REQUESTS * fleetLostShare) / (offered + PRIOR_REQUESTS);
    }
}

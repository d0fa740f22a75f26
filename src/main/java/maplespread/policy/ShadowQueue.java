package maplespread.policy;

/**
 * A worker's backlog as it would be if all offered requests were split at random by capacity and admitted by the basic
 * rule (turned away when the backlog is above the wait objective). The share it loses is the cost rate of the value
 * function, which real rejections cannot give, as they depend on that function.
 */
final class ShadowQueue {
    /** Older requests count this much less with each one: a memory of about fifty. */
    private static final double KEPT = 0.98;

    /** The worker's share leans on the fleet's as if so many requests had been lost at the fleet's rate. */
    private static final double PRIOR_REQUESTS = 10;

    private double backlogMs;
    private double updatedAtMs;
    private double offered;
    private double lost;

    /**
     * Offers a request.
     *
     * @param runMs its work at the worker's present capacity
     * @param loadMultiplier the load of all dispatchers over this one's: the backlog drains so much slower
     * @return 1 if the basic rule loses it, else 0
     */
    int offer(double nowMs, double loadMultiplier, double waitObjectiveMs, double runMs) {
        double remainingMs = Math.max(0, backlogMs - (nowMs - updatedAtMs) / loadMultiplier);
        int rejected = remainingMs > waitObjectiveMs ? 1 : 0;
        backlogMs = remainingMs + (1 - rejected) * runMs;
        updatedAtMs = nowMs;
        offered = offered * KEPT + 1;
        lost = lost * KEPT + rejected;
        return rejected;
    }

    /** Requests lost by a rate of arrivals, when the fleet as a whole loses this share. */
    double lossRate(double arrivalRate, double fleetLostShare) {
        return arrivalRate * (lost + PRIOR_REQUESTS * fleetLostShare) / (offered + PRIOR_REQUESTS);
    }
}

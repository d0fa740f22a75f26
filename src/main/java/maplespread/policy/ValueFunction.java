package maplespread.policy;

/**
 * The value function of "Meeting Soft Deadlines in Single- and Multi-Server Systems": what a worker's backlog costs the
 * requests to come, in requests lost. Its increase by one request's work is the price of placing the request there.
 * Stateless; all times are in the same unit (ms here).
 */
final class ValueFunction {
    private ValueFunction() {}

    /**
     * v(backlog) - v(waitObjective), never decreasing and convex. Quadratic up to the objective and linear beyond it.
     *
     * @param arrivalRate requests a ms that come to the worker
     * @param costRate requests a ms of these that the basic rule loses, at most the arrival rate
     * @param serviceMs mean service time
     * @param waitObjectiveMs the wait up to which a request is on time
     * @param backlogMs the backlog whose value is wanted
     */
    static double value(
            double arrivalRate, double costRate, double serviceMs, double waitObjectiveMs, double backlogMs) {
        // Formula (13): no worker admits faster than it serves.
        double slope = Math.min(arrivalRate - costRate, 1 / serviceMs);
        if (backlogMs > waitObjectiveMs) {
            return slope * (backlogMs - waitObjectiveMs);
        }
        double utilization = arrivalRate * serviceMs;
        double overload = PolicyMath.clamp(utilization - 1, 0, 1);
        // Formula (A2) with a noisy cost rate may turn negative or outgrow the tail: it is bounded by the tail's slope.
        double slopeAtObjective =
                PolicyMath.clamp((1 + utilization) * slope - arrivalRate, slope * Math.min(1, utilization) / 10, slope);
        // Above a utilization of 1 the quadratic gives way to the heavy-load line (13), wholly so from 2 on.
        return overload * slope * (backlogMs - waitObjectiveMs)
                + (1 - overload)
                        * slopeAtObjective
                        / (2 * waitObjectiveMs)
                        * (backlogMs * backlogMs - waitObjectiveMs * waitObjectiveMs);
    }
}

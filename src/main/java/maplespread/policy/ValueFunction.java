package maplespread.policy;

/**
 * The value function of "Meeting Soft Deadlines in Single- and Multi-Server Systems": the expected number of later
 * requests that are lost due to a worker's backlog. Its increase by one request's work is the cost of sending the
 * request there. Stateless; all times are in the same unit (ms here).
 */
final class ValueFunction {
    private ValueFunction() {}

    /**
     * Returns v(backlog) - v(waitObjective), which is non-decreasing and convex in the backlog: quadratic up to the
     * objective and linear beyond it.
     *
     * @param arrivalRate requests per ms that arrive at the worker
     * @param costRate requests per ms that the basic admission rule loses of these, at most the arrival rate
     * @param serviceMs mean service time
     * @param waitObjectiveMs the wait up to which a request is on time
     * @param backlogMs the backlog to evaluate
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
        // With a noisy cost rate, formula (A2) may become negative or exceed the slope of the linear part, which
        // therefore bounds it.
        double slopeAtObjective =
                PolicyMath.clamp((1 + utilization) * slope - arrivalRate, slope * Math.min(1, utilization) / 10, slope);
        // Above a utilization of 1 the quadratic blends into the heavy-load line (13), which alone applies from 2 on.
        return overload * slope * (backlogMs - waitObjectiveMs)
                + (1 - overload)
                        * slopeAtObjective
                        / (2 * waitObjectiveMs)
                        * (backlogMs * backlogMs - waitObjectiveMs * waitObjectiveMs);
    }
}

package maplespread.policy;

/**
 * A worker's load report. An absent figure is NaN.
 *
 * @param activeRequests requests of all dispatchers that run or wait at the worker
 * @param queuedRequests requests that wait at the worker
 * @param cpuUtilization utilization of the worker's processors, 0 to 1
 * @param meanServiceMs mean run time of recent requests of all dispatchers
 * @param freeSlots requests that the worker could start at once
 * @param freeMemoryUnits memory units that are free
 */
public record LoadReport(
        double activeRequests,
        double queuedRequests,
        double cpuUtilization,
        double meanServiceMs,
        double freeSlots,
        double freeMemoryUnits) {}

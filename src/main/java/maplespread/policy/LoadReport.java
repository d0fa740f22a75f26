package maplespread.policy;

/**
 * A worker's load report. NaN where a figure is absent.
 *
 * @param activeRequests requests that run or wait there, of all dispatchers
 * @param queuedRequests those that wait
 * @param cpuUtilization busy share of its processors, 0 to 1
 * @param meanServiceMs mean run time of recent requests, of all dispatchers
 * @param freeSlots requests that it could start at once
 * @param freeMemoryUnits memory units that are free
 */
public record LoadReport(
        double activeRequests,
        double queuedRequests,
        double cpuUtilization,
        double meanServiceMs,
        double freeSlots,
        double freeMemoryUnits) {}

package maplespread.policy;

/**
 * A worker's load report; NaN where a figure is absent. {@code util} is the share of its CPU that is
 * busy.
 */
public record LoadReport(
        double activeRequests,
        double queuedRequests,
        double cpuUtilization,
        double meanServiceMs,
        double freeSlots,
        double freeMemoryUnits) {}

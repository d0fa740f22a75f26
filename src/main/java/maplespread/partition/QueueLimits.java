package maplespread.partition;

/** Bounds on what waits: jobs, their work in milliseconds, and how long one has waited. */
public record QueueLimits(int maxRequests, double maxWorkMs, long maxAgeMs) {}

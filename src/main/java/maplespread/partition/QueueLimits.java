package maplespread.partition;

/**
 * Limits on what waits in a queue.
 *
 * @param maxRequests at once
 * @param maxWorkMs of all of them together, as it is estimated
 * @param maxAgeMs that one may wait
 */
public record QueueLimits(int maxRequests, double maxWorkMs, long maxAgeMs) {}

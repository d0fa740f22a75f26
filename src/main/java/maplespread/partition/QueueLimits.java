package maplespread.partition;

/**
 * Limits on the requests that wait in a queue.
 *
 * @param maxRequests the number of requests
 * @param maxWorkMs the estimated work of all of them together, in milliseconds
 * @param maxAgeMs the time in milliseconds that one request may wait
 */
public record QueueLimits(int maxRequests, double maxWorkMs, long maxAgeMs) {}

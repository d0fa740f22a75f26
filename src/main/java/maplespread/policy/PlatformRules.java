package maplespread.policy;

/**
 * Figures of the platform's rules.
 *
 * @param drainGraceMs how long after a drain was notified something new may still reach the worker
 * @param maxListAgeMs after how long without a message discovery is polled again; {@link EndpointListFreshness} lets the
 *     list stand for four times as long, at most until changes count as notified
 * @param slowStartCapacityShare share of its capacity that a worker has when it starts, above 0 and up to 1
 * @param slowStartMs how long it takes to full capacity
 * @param overloadFactor a worker in slow start fails when it is sent this multiple of its present capacity
 * @param overloadWindowMs ... within this time
 * @param responseSlackMs how much later than its deadline a request may be answered
 */
public record PlatformRules(
        double drainGraceMs,
        double maxListAgeMs,
        double slowStartCapacityShare,
        double slowStartMs,
        double overloadFactor,
        double overloadWindowMs,
        double responseSlackMs) {
    /**
     * Checks the figures.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public PlatformRules {
        Preconditions.require(slowStartCapacityShare > 0 && slowStartCapacityShare <= 1, "coldFrom must lie in 0..1");
        Preconditions.require(
                slowStartMs >= 0 && overloadFactor > 0 && overloadWindowMs > 0, "the cold figures must be above zero");
    }
}

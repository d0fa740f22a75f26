package maplespread.policy;

/**
 * The platform's rules.
 *
 * @param drainGraceMs time after a notified drain in which new requests may still reach the worker
 * @param maxListAgeMs time without a message after which discovery is polled again; {@link EndpointListFreshness} keeps
 *     the list usable for four times as long, at most until changes count as notified
 * @param slowStartCapacityShare share of its capacity that a worker has when it starts, above 0 and up to 1
 * @param slowStartMs time from a worker's start until its full capacity
 * @param overloadFactor a worker in slow start fails when it is sent this multiple of its present capacity within
 *     {@code overloadWindowMs}
 * @param overloadWindowMs window over which {@code overloadFactor} counts
 * @param responseSlackMs time after a request's deadline in which it may still be answered
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
     * Checks the values.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public PlatformRules {
        Preconditions.require(slowStartCapacityShare > 0 && slowStartCapacityShare <= 1, "coldFrom must lie in 0..1");
        Preconditions.require(
                slowStartMs >= 0 && overloadFactor > 0 && overloadWindowMs > 0,
                "warmWithinMs must not be negative, fallMultiple and fallMs must be above zero");
    }
}

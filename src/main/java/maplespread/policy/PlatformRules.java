package maplespread.policy;

/** Figures of the rules: drain grace, list age, and the cold budget. */
public record PlatformRules(
        double drainGraceMs,
        double maxListAgeMs,
        double slowStartCapacityShare,
        double slowStartMs,
        double overloadFactor,
        double overloadWindowMs,
        double responseSlackMs) {
    public PlatformRules {
        Preconditions.require(slowStartCapacityShare > 0 && slowStartCapacityShare <= 1, "coldFrom must lie in 0..1");
        Preconditions.require(
                slowStartMs >= 0 && overloadFactor > 0 && overloadWindowMs > 0, "the cold figures must be above zero");
    }
}

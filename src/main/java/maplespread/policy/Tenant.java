package maplespread.policy;

/** A tenant and the rate of its requests, over all nodes together, that counts in full (0: no limit). */
public record Tenant(double quotaPerSecond) {
    public Tenant {
        Preconditions.require(quotaPerSecond >= 0, "an allowance must not be negative");
    }
}

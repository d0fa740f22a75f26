package maplespread.policy;

/**
 * A tenant.
 *
 * @param quotaPerSecond its requests a second, over all dispatchers together, that count in full; 0: no limit
 */
public record Tenant(double quotaPerSecond) {
    /**
     * Checks the quota.
     *
     * @throws IllegalArgumentException if it is negative
     */
    public Tenant {
        Preconditions.require(quotaPerSecond >= 0, "an allowance must not be negative");
    }
}

package maplespread.policy;

/**
 * A tenant.
 *
 * @param quotaPerSecond requests per second over all dispatchers that have their full weight; 0: no limit
 */
public record Tenant(double quotaPerSecond) {
    /**
     * Checks the quota.
     *
     * @throws IllegalArgumentException if it is negative
     */
    public Tenant {
        Preconditions.require(quotaPerSecond >= 0, "allowancePerS must not be negative");
    }
}

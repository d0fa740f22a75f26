package maplespread.policy;

/**
 * What the site permits dispatchers to do.
 *
 * @param cancellation whether attempts may be cancelled
 * @param probing whether workers may be probed
 * @param hedging whether a second attempt may be sent while the first is in flight; the policy does not use it
 * @param maxAttempts maximum number of attempts of a request
 * @param connectTimeoutMs time after which opening a connection is given up
 * @param maxRetryAfterMs longest retry delay advised to a rejected client; 0: none is advised
 * @param idleConnectionMs time after which an idle connection to a worker is closed
 */
public record SitePermissions(
        boolean cancellation,
        boolean probing,
        boolean hedging,
        int maxAttempts,
        double connectTimeoutMs,
        double maxRetryAfterMs,
        double idleConnectionMs) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public SitePermissions {
        Preconditions.require(maxAttempts >= 1, "tryLimit must be at least 1");
        Preconditions.require(
                connectTimeoutMs >= 0 && maxRetryAfterMs >= 0,
                "dialTimeoutMs and maxRetryAfterMs must not be negative");
        Preconditions.require(idleConnectionMs >= 0, "connIdleMs must not be negative");
    }
}

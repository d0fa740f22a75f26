package maplespread.policy;

/**
 * What the site allows dispatchers to do.
 *
 * @param cancellation attempts may be called off
 * @param probing workers may be probed
 * @param hedging a second copy may be sent while the first is in flight; the policy does not use it
 * @param maxAttempts attempts of a request
 * @param connectTimeoutMs after which a connection that does not come up is given up
 * @param maxRetryAfterMs longest pause advised to a rejected client; 0: no advice is given
 * @param idleConnectionMs an idle connection to a worker closes after this long
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
     * Checks the figures.
     *
     * @throws IllegalArgumentException if one is out of range
     */
    public SitePermissions {
        Preconditions.require(maxAttempts >= 1, "tryLimit must be at least 1");
        Preconditions.require(connectTimeoutMs >= 0 && maxRetryAfterMs >= 0, "times must not be negative");
        Preconditions.require(idleConnectionMs >= 0, "connIdleMs must not be negative");
    }
}

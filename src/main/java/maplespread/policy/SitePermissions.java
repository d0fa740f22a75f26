package maplespread.policy;

/**
 * What the site allows. {@code tryLimit} counts attempts; {@code maxPauseMs} is 0 where advice is not
 * given; an idle connection closes after {@code connIdleMs}.
 */
public record SitePermissions(
        boolean cancellation,
        boolean probing,
        boolean hedging,
        int maxAttempts,
        double connectTimeoutMs,
        double maxRetryAfterMs,
        double idleConnectionMs) {
    public SitePermissions {
        Preconditions.require(maxAttempts >= 1, "tryLimit must be at least 1");
        Preconditions.require(connectTimeoutMs >= 0 && maxRetryAfterMs >= 0, "times must not be negative");
        Preconditions.require(idleConnectionMs >= 0, "connIdleMs must not be negative");
    }
}

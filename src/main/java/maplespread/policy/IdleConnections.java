package maplespread.policy;

/**
 * Whether an idle connection to a worker stands open, as far as this dispatcher's own traffic shows: a new one costs
 * time, and is lost where workers cannot be connected to.
 */
final class IdleConnections {
    private final PolicyContext context;
    private final FailureStatistics failures;
    private final Worker worker;
    private double openUntilMs;
    private double count;

    IdleConnections(PolicyContext context, FailureStatistics failures, Worker worker) {
        this.context = context;
        this.failures = failures;
        this.worker = worker;
    }

    boolean hasIdle() {
        return context.nowMs < openUntilMs && worker.backlog.inFlight().size() < count;
    }

    /** A response came over a connection, which is idle now. {@code opened}: it was a new one. */
    void used(boolean opened) {
        double known = context.nowMs < openUntilMs ? count : 0;
        count = Math.max(known, worker.backlog.inFlight().size() + 1);
        openUntilMs = context.nowMs + context.permissions.idleConnectionMs();
        if (opened) {
            failures.connectionAttempted(false);
        }
    }
}

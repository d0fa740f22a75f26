package maplespread.policy;

/**
 * Estimates from this dispatcher's own traffic whether an idle connection to a worker is open. A new connection costs
 * time, and fails where workers cannot be connected to.
 */
final class IdleConnections {
    private final PolicyContext context;
    private final FailureStatistics failures;
    private final Worker worker;
    private double openUntilMs;
    private double openConnections;

    IdleConnections(PolicyContext context, FailureStatistics failures, Worker worker) {
        this.context = context;
        this.failures = failures;
        this.worker = worker;
    }

    boolean hasIdle() {
        return context.nowMs < openUntilMs && worker.backlog.inFlight().size() < openConnections;
    }

    /**
     * A response came over a connection, which is idle now.
     *
     * @param opened whether the connection was a new one
     */
    void used(boolean opened) {
        double knownConnections = context.nowMs < openUntilMs ? openConnections : 0;
        openConnections = Math.max(knownConnections, worker.backlog.inFlight().size() + 1);
        openUntilMs = context.nowMs + context.permissions.idleConnectionMs();
        if (opened) {
            failures.connectionAttempted(false);
        }
    }
}

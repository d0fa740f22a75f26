package maplespread.policy;

/** One attempt of a request at one worker, from its sending to its end. Times are ms on the host's clock. */
final class InFlightAttempt {
    final PendingRequest request;
    final Worker worker;

    /** The request's expected work when it was sent, ms on a standard core. */
    final double workMs;

    /** Time that fetching the request's data set was expected to take. */
    final double fetchMs;

    /** Work reserved at the worker, ms on a standard core: the request's and the fetch's, times the slots. */
    final double reservedWorkMs;

    final double sentAtMs;

    /** Expected wait in the worker's queue. */
    final double expectedWaitMs;

    /** Time at which the attempt was expected to end. */
    final double expectedEndMs;

    /** Whether a slot was free when the attempt was sent. */
    final boolean hadFreeSlot;

    /** Whether the attempt needed a new connection, as none to the worker was idle. */
    final boolean openedConnection;

    /** Time at which the worker reported the start; NaN before that. */
    double startedAtMs = Double.NaN;

    /** Time of the worker's last report on the attempt; 0 before the first one. */
    double progressedAtMs;

    /** Share of the work that is done, as reported by the worker. */
    double doneShare;

    boolean ended;

    /** Whether the attempt's end proved that it never ran. */
    boolean neverRan;

    /** Whether the attempt was overdue and has been counted as a failure. */
    boolean countedAsFailure;

    /** Whether an attempt sent well after this one has started: the connection of this one is taken for dead. */
    boolean overtaken;

    InFlightAttempt(PendingRequest request, Worker worker, double nowMs, double fetchMs) {
        this.request = request;
        this.worker = worker;
        this.fetchMs = fetchMs;
        double speed = worker.speedEstimator.speed();
        workMs = request.workMs;
        reservedWorkMs = (workMs + fetchMs * speed) * request.slots;
        sentAtMs = nowMs;
        hadFreeSlot = worker.backlog.hasFreeSlot(request);
        openedConnection = !worker.connections.hasIdle();
        expectedWaitMs = hadFreeSlot ? 0 : worker.backlog.waitMs();
        expectedEndMs = nowMs + expectedWaitMs + workMs / speed + fetchMs;
    }

    boolean hasStarted() {
        return !Double.isNaN(startedAtMs);
    }

    /** Run time since the last report, less the part that the fetch has probably taken. */
    double runTimeMs(double nowMs) {
        double sinceReportMs = nowMs - progressedAtMs;
        return doneShare > 0 ? sinceReportMs : Math.max(sinceReportMs / 2, sinceReportMs - fetchMs);
    }
}

package maplespread.policy;

/** One attempt of a request at one worker, from its sending to its end. Times are ms on the host's clock. */
final class InFlightAttempt {
    final PendingRequest request;
    final Worker worker;

    /** The request's expected work when it was sent, ms on a standard core. */
    final double workMs;

    /** The time that fetching the request's data set was expected to take. */
    final double fetchMs;

    /** Work that it keeps from others: its own and the fetch, times its slots. */
    final double reservedWorkMs;

    final double sentAtMs;

    /** Expected wait in the worker's queue. */
    final double expectedWaitMs;

    /** When it was expected to be done. */
    final double expectedEndMs;

    /** A slot was free when it was sent. */
    final boolean hadFreeSlot;

    /** No idle connection was open to the worker. */
    final boolean openedConnection;

    /** When the worker reported that it runs; NaN before that. */
    double startedAtMs = Double.NaN;

    /** When the worker last reported its progress. */
    double progressedAtMs;

    /** Share of the work that is done, as the worker reported. */
    double doneShare;

    boolean ended;

    /** Its end proved that it never ran. */
    boolean neverRan;

    /** It was overdue and has been counted as a failure. */
    boolean countedAsFailure;

    /** A request sent well after it has started: its connection is taken for dead. */
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

    /** Time since the last report on it, less what the fetch is likely to have taken of that. */
    double runTimeMs(double nowMs) {
        double tookMs = nowMs - progressedAtMs;
        return doneShare > 0 ? tookMs : Math.max(tookMs / 2, tookMs - fetchMs);
    }
}

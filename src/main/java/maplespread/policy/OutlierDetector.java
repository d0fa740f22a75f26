package maplespread.policy;

/**
 * Decides when a worker gets no new requests because of its failures and when it is tried again, and estimates how
 * likely each request class is to fail at it.
 *
 * <ul>
 *   <li>Ejected: a connection to the worker broke or could not be opened. This applies only where probing is allowed,
 *       and not to a slow connection failure while a quarter of all connections fails slowly. A probe is sent at once,
 *       and again at each scan of the fleet ({@link FleetLoadEstimate#refresh}, so only while requests arrive) at which
 *       the worker's backoff is over. The ejection ends with a sign of life (an answered probe, a served attempt, a
 *       start or progress report) or when the endpoint list shows that the worker has started since.
 *   <li>Backing off, ejected or not: after a rejection, a failed connection, a timeout without a later sign of life,
 *       or a probe round without the worker's answer. The backoff takes one objective, doubles with each such failure
 *       in a row, and is limited to 32 objectives and to half the estimators' memory.
 *   <li>Neither: a class that fails at the worker, or has overdue attempts, raises its cost for that class alone.
 * </ul>
 *
 * <p>A request for which no ready worker is left may still be sent to an ejected one, as a trial ({@link
 * WorkerSelector#place}). Times are ms.
 */
final class OutlierDetector {
    /** Share of the connect timeout after which a failed connection counts as unanswered, not as refused. */
    private static final double SLOW_CONNECT_SHARE = 0.5;

    /** Share of new connections that fail slowly from which the network is at fault and no worker is ejected. */
    private static final double NETWORK_FAULT_SHARE = 0.25;

    /** Weight of an attempt in the worker's own failure rate, which thus remembers about two attempts. */
    private static final double CLASS_RATE_STEP = 0.5;

    /** Time constant with which the worker's own failure rate fades, in estimator memories. */
    private static final double CLASS_RATE_MEMORIES = 4;

    /** A difference from the failure rate of all workers is taken for chance unless it exceeds this. */
    private static final double MIN_RATE_DIFFERENCE = 0.1;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final FailureStatistics failures;
    private final Worker worker;
    private final DoublesByIndex failureRateByClass = new DoublesByIndex();
    private final DoublesByIndex failureRateUpdatedAtMs = new DoublesByIndex();
    private int consecutiveFailures;
    private boolean ejected;
    private double retryNotBeforeMs;
    private double connectionLostAtMs;
    private double lastAliveMs;

    OutlierDetector(PolicyContext context, ArrivalStatistics arrivals, FailureStatistics failures, Worker worker) {
        this.context = context;
        this.arrivals = arrivals;
        this.failures = failures;
        this.worker = worker;
    }

    boolean isEjected() {
        return ejected;
    }

    /** Neither ejected nor backing off. */
    boolean isReady() {
        return !ejected && !isBackingOff();
    }

    boolean isBackingOff() {
        return context.nowMs < retryNotBeforeMs;
    }

    /**
     * How likely a request of the class is to fail at this worker, 0 to 1: the rate of all workers, or the worker's own
     * where that differs by more than chance. It affects only the choice among workers and never causes a rejection.
     */
    double failureRate(int classIndex) {
        double ageMs = context.nowMs - failureRateUpdatedAtMs.get(classIndex);
        double difference = (failureRateByClass.get(classIndex) - failures.failureRate(classIndex))
                * PolicyMath.decay(ageMs / (CLASS_RATE_MEMORIES * context.memoryMs));
        return failures.failureRate(classIndex) + (Math.abs(difference) > MIN_RATE_DIFFERENCE ? difference : 0);
    }

    /** An attempt of the class ended here, or is overdue. */
    void attemptEnded(int classIndex, boolean failed) {
        double rate = CLASS_RATE_STEP * failureRate(classIndex) + CLASS_RATE_STEP * (failed ? 1 : 0);
        failureRateByClass.set(classIndex, rate);
        failureRateUpdatedAtMs.set(classIndex, context.nowMs);
        failures.attemptEnded(classIndex, failed);
    }

    /**
     * Records a sign of life, which ends the ejection. A current backoff continues; the next failure starts with the
     * shortest backoff.
     */
    void recordAlive() {
        lastAliveMs = context.nowMs;
        consecutiveFailures = 0;
        ejected = false;
    }

    /** A probe was answered. An ejected worker gets requests again, in slow start if it may be a new process. */
    void probeAnswered() {
        if (ejected) {
            recordAlive();
            retryNotBeforeMs = context.nowMs;
            if (context.nowMs - connectionLostAtMs > context.objectiveMs) {
                worker.slowStart.restart(context.nowMs);
            }
        }
    }

    /**
     * The endpoint list shows that the worker started at this time: connections lost before that do not count against
     * the new process.
     */
    void restarted(double startedAtMs) {
        ejected &= connectionLostAtMs >= startedAtMs;
    }

    /** Starts a backoff of one objective, doubled with each failure in a row. */
    void backOff() {
        int doublings = Math.min(consecutiveFailures++, MAX_BACKOFF_DOUBLINGS);
        retryNotBeforeMs = context.nowMs + Math.min(context.memoryMs / 2, context.objectiveMs * (1 << doublings));
    }

    /**
     * An attempt timed out. Either the worker hangs or only that connection does, so the timeout counts only without a
     * later sign of life.
     */
    void timedOut(InFlightAttempt attempt) {
        if (lastAliveMs < attempt.sentAtMs) {
            backOff();
        }
    }

    /**
     * A connection failed to open after this time, or an open one broke (0 ms). One broken connection does not prove a
     * restart, and treating it as one would cost a healthy worker's capacity. A second one without a sign of life in
     * between counts as a restart. A slow failure counts against this worker only while others can be connected to.
     */
    void connectionFailed(double elapsedMs) {
        boolean slow = elapsedMs > context.permissions.connectTimeoutMs() * SLOW_CONNECT_SHARE;
        if (!slow || failures.slowConnectShare() < NETWORK_FAULT_SHARE) {
            if (ejected || !context.permissions.probing()) {
                worker.slowStart.restart(context.nowMs);
            } else {
                connectionLostAtMs = context.nowMs;
                ejected = true;
                worker.probe();
            }
        }
        backOff();
        failures.connectionAttempted(slow);
    }

    /**
     * Counts every overdue attempt in flight as failed, once.
     *
     * @param pauseEndedMs end of this process's last pause; time up to then does not make an attempt overdue
     */
    void countOverdue(double pauseEndedMs) {
        for (InFlightAttempt attempt : worker.backlog.inFlight()) {
            if (!attempt.countedAsFailure && isOverdue(attempt, pauseEndedMs)) {
                attempt.countedAsFailure = true;
                attemptEnded(attempt.request.classIndex, true);
            }
        }
    }

    /**
     * Whether a start, a progress report or a response is overdue by as long again as it should have taken. This
     * detects hangs, cut connections, stopped processes and severe slowdowns.
     */
    private boolean isOverdue(InFlightAttempt attempt, double pauseEndedMs) {
        double graceMs = attempt.expectedEndMs - attempt.sentAtMs;
        double progressMs = context.settings.progressIntervalMs();
        double reportDueMs = attempt.expectedEndMs + graceMs;
        if (context.settings.workersReportStart() && !attempt.hasStarted()) {
            reportDueMs = attempt.expectedEndMs + Math.max(progressMs, graceMs);
        } else if (context.settings.workersReportStart() && progressMs > 0) {
            reportDueMs = Math.min(reportDueMs, attempt.progressedAtMs + progressMs);
        }
        double meanRunMs = arrivals.meanWorkMs() / worker.speedEstimator.speed();
        return context.nowMs - context.objectiveMs - meanRunMs > Math.max(reportDueMs, pauseEndedMs);
    }
}

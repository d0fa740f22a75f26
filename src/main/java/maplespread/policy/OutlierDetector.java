package maplespread.policy;

/**
 * When a worker gets no new requests because of what was seen of it, when it is tried again, and how likely each
 * request class is to fail at it.
 *
 * <ul>
 *   <li>Ejected: a connection to it broke or could not be had. Only where probing is allowed, and not on a slow failure
 *       while a quarter of all connections fails slowly. A probe goes out at once, and again at a look at the fleet
 *       ({@link FleetLoadEstimate#refresh}, so only while requests come) whenever its backoff is over. It ends with a sign of life: an answered
 *       probe, a served attempt, a start or progress report; or when the list says that the worker has started since.
 *   <li>Backing off, ejected or not: after a rejection, a failed connection, a timeout without a later sign of life,
 *       or a probe round without its answer. It ends after one objective, twice as long with each such failure in a
 *       row, 32 objectives or half the estimators' memory at most.
 *   <li>Neither: a class that fails there, or has overdue attempts, raises the worker's price for that class alone.
 * </ul>
 *
 * <p>A request for which no ready worker is left may still be sent to an ejected one, as a trial ({@link
 * WorkerSelector#place}). Times are ms.
 */
final class OutlierDetector {
    /** A connection that took this share of the connect timeout to fail was not refused: nobody answered. */
    private static final double SLOW_CONNECT_SHARE = 0.5;

    /** When this share of new connections fails slowly, the network is at fault, and no worker is ejected. */
    private static final double NETWORK_FAULT_SHARE = 0.25;

    /** Weight of an attempt in the worker's own rate: a memory of about two. */
    private static final double CLASS_STEP = 0.5;

    /** The worker's own rate fades over this many estimator memories. */
    private static final double CLASS_MEMORIES = 4;

    /** A difference from the other workers' rate that is no more than chance. */
    private static final double MIN_DIFFERENCE = 0.1;

    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final FailureStatistics failures;
    private final Worker worker;
    private final DoublesByIndex failureRateByClass = new DoublesByIndex();
    private final DoublesByIndex failureRateAtMs = new DoublesByIndex();
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
     * How likely a request of the class is to fail at this worker, 0 to 1: all workers' rate, and the worker's own
     * where it differs by more than chance. It chooses among workers and rejects nothing.
     */
    double failureRate(int classIndex) {
        double ageMs = context.nowMs - failureRateAtMs.get(classIndex);
        double difference = (failureRateByClass.get(classIndex) - failures.failureRate(classIndex))
                * PolicyMath.decay(ageMs / (CLASS_MEMORIES * context.memoryMs));
        return failures.failureRate(classIndex) + (Math.abs(difference) > MIN_DIFFERENCE ? difference : 0);
    }

    /** An attempt of the class ended here, or is overdue. */
    void attemptEnded(int classIndex, boolean failed) {
        double rate = CLASS_STEP * failureRate(classIndex) + CLASS_STEP * (failed ? 1 : 0);
        failureRateByClass.set(classIndex, rate);
        failureRateAtMs.set(classIndex, context.nowMs);
        failures.attemptEnded(classIndex, failed);
    }

    /** A sign of life ends the ejection; a backoff that is on goes on, and the next failure begins with the shortest one. */
    void aliveSeen() {
        lastAliveMs = context.nowMs;
        consecutiveFailures = 0;
        ejected = false;
    }

    /** A probe of an ejected worker was answered: it takes requests again, in slow start if it may be a new process. */
    void probeAnswered() {
        if (ejected) {
            aliveSeen();
            retryNotBeforeMs = context.nowMs;
            if (context.nowMs - connectionLostAtMs > context.objectiveMs) {
                worker.slowStart.restart(context.nowMs);
            }
        }
    }

    /**
     * The list says that the worker has started then: connections lost before that are no sign against the new
     * process.
     */
    void restarted(double startedAtMs) {
        ejected &= connectionLostAtMs >= startedAtMs;
    }

    /** Not to be tried again before a while that doubles from one objective with each failure in a row. */
    void backOff() {
        int doublings = Math.min(consecutiveFailures++, MAX_BACKOFF_DOUBLINGS);
        retryNotBeforeMs = context.nowMs + Math.min(context.memoryMs / 2, context.objectiveMs * (1 << doublings));
    }

    /**
     * An attempt timed out. The worker may hang, or that connection alone: only without a later sign of life it
     * counts.
     */
    void timedOut(InFlightAttempt attempt) {
        if (lastAliveMs < attempt.sentAtMs) {
            backOff();
        }
    }

    /**
     * No connection could be had after this time, or one broke (0 ms). One connection that breaks proves no restart:
     * taken for one, it would cost a healthy worker's capacity; a second one without a sign of life in between does. A
     * slow failure counts against this worker only where others can be connected to.
     */
    void connectionFailed(double lagMs) {
        boolean slow = lagMs > context.permissions.connectTimeoutMs() * SLOW_CONNECT_SHARE;
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
     * Counts every attempt in flight that is overdue as failed, once.
     *
     * @param pauseEndedMs when this process last stood still: what it slept through itself does not count
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
     * Whether a start, progress or a response is overdue by as long again as it should have taken. That notices
     * hangs, cut links, stopped processes and a harsh slowing.
     */
    private boolean isOverdue(InFlightAttempt attempt, double pauseEndedMs) {
        double graceMs = attempt.expectedEndMs - attempt.sentAtMs;
        double progressMs = context.settings.progressIntervalMs();
        double signDueMs = attempt.expectedEndMs + graceMs;
        if (context.settings.workersReportStart() && !attempt.hasStarted()) {
            signDueMs = attempt.expectedEndMs + Math.max(progressMs, graceMs);
        } else if (context.settings.workersReportStart() && progressMs > 0) {
            signDueMs = Math.min(signDueMs, attempt.progressedAtMs + progressMs);
        }
        double meanRunMs = arrivals.meanWorkMs() / worker.speedEstimator.speed();
        return context.nowMs - context.objectiveMs - meanRunMs > Math.max(signDueMs, pauseEndedMs);
    }
}

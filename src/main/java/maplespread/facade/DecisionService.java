package maplespread.facade;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import maplespread.log.Event;
import maplespread.metrics.Metrics;
import maplespread.policy.AttemptOutcome;
import maplespread.policy.DispatchPolicy;
import maplespread.policy.EndpointEntry;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointListKind;
import maplespread.policy.EndpointListState;
import maplespread.policy.EndpointWatchFailure;
import maplespread.policy.Idempotency;
import maplespread.policy.LoadReport;
import maplespread.policy.PolicyActions;
import maplespread.policy.PolicyRequest;
import maplespread.policy.PolicySettings;
import maplespread.policy.RejectionReason;
import maplespread.policy.RequestClass;
import org.tinylog.Logger;

/**
 * A blocking, thread-safe interface to the policy: {@link #decide} for requests, {@code report...} for events, {@link
 * #tick} for timers and actions. Only this class calls {@link DispatchPolicy}, under one lock and on one clock, and it
 * does no input or output under that lock. It is independent of the protocol.
 */
public final class DecisionService {
    /** Age in microseconds beyond which a tick updates {@link #hostCounts}. */
    private static final long MAX_HOST_COUNTS_AGE_US = 100_000;

    private final ReentrantLock lock = new ReentrantLock();
    /** Signalled when an action or a timer is added; the new timer may be due before all others. */
    private final Condition tickNeeded = lock.newCondition();

    private final long startUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private final DispatchPolicy policy;
    private final RequestWeights weights;
    private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final PolicyTimers timers = new PolicyTimers();
    private final ArrayDeque<Action> pendingActions = new ArrayDeque<>();
    private volatile PolicySettings settings;
    private volatile EndpointListState listState = EndpointListState.UNCONFIRMED;
    private volatile Metrics.HostCounts hostCounts = new Metrics.HostCounts(0, 0);
    private long hostCountsUpdatedUs;
    private long listVersion;
    private long lastRequestId;

    /**
     * Creates a service that does not enforce the tenants' quotas.
     *
     * @param seed of the policy's random draws
     */
    public DecisionService(PolicySettings settings, long seed) {
        this(settings, seed, false);
    }

    /**
     * Creates a service.
     *
     * @param seed of the policy's random draws
     * @param quotaEnforced whether requests beyond their tenant's quota have less weight while requests within a quota
     *     are rejected
     */
    public DecisionService(PolicySettings settings, long seed, boolean quotaEnforced) {
        this.settings = settings;
        weights = new RequestWeights(quotaEnforced, settings.tenants());
        policy = new DispatchPolicy(settings, seed, new Actions());
    }

    /**
     * The time in microseconds on the clock of this service: Unix time at its start, advanced by the monotonic clock
     * alone. Workers' start times can be compared with it, and a correction of the system clock does not turn it back.
     */
    public long nowUs() {
        return startUs + (System.nanoTime() - startNanos) / 1000;
    }

    // ------------------------------------------------------------ requests and attempts

    /**
     * Returns the policy's decision on the request: the first time for a new request, then after each attempt that
     * ended without a result. Blocks while the policy keeps the request parked, but never past its deadline.
     */
    public Decision decide(InFlightRequest request) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            if (!request.submitted && !request.ended) {
                submit(request);
            }
            while (request.decision == null && !request.ended) {
                long remainingUs = request.deadlineUs - nowUs();
                if (remainingUs <= 0) {
                    endUndecided(request);
                } else {
                    request.decisionAvailable.await(remainingUs, TimeUnit.MICROSECONDS);
                }
            }
            Decision decision = request.decision;
            request.decision = null;
            return decision == null ? new Decision.Failed(RejectionReason.FAULT) : decision;
        } finally {
            lock.unlock();
        }
    }

    private void submit(InFlightRequest request) {
        request.submitted = true;
        request.id = ++lastRequestId;
        request.decisionAvailable = lock.newCondition();
        inFlight.put(request.id, request);
        boolean accepted = guarded("requestAccepted", () -> policy.requestAccepted(nowUs(), policyRequest(request)));
        if (!accepted && request.decision == null) {
            end(request, new Decision.Failed(RejectionReason.FAULT));
        }
    }

    private PolicyRequest policyRequest(InFlightRequest request) {
        return new PolicyRequest(
                request.id,
                request.requestClass,
                request.tenant,
                request.deadlineUs,
                request.workMs,
                request.slots,
                request.memory,
                request.key,
                request.acceptedSettings,
                priorityWeight(request),
                request.eligibleWorkers);
    }

    /** Ends a request on which the policy has not decided: the client must receive a response by the deadline. */
    private void endUndecided(InFlightRequest request) {
        Logger.warn("request {} had no decision by its deadline", request.id);
        end(request, new Decision.Failed(RejectionReason.OUT_OF_TIME));
        guarded("requestAbandoned", () -> policy.requestAbandoned(nowUs(), request.id));
    }

    /**
     * Reports that the worker has started the attempt or made progress on it.
     *
     * @param share the completed share of its work, 0 to 1; 0 at the start
     */
    public void reportProgress(Attempt attempt, boolean started, double share) {
        locked(() -> guarded(
                "attemptProgressed",
                () -> policy.attemptProgressed(
                        nowUs(), attempt.request().id, attempt.number(), attempt.worker(), started, share)));
    }

    /**
     * Reports that an attempt has ended. Unless its outcome is {@link Outcome#SERVED}, {@link #decide} returns the next
     * decision.
     *
     * @param load the worker's load report, or null
     */
    public void reportAttemptEnded(Attempt attempt, Outcome outcome, WorkerLoad load) {
        locked(() -> {
            InFlightRequest request = attempt.request();
            AttemptOutcome attemptOutcome = PolicyMapping.outcome(outcome);
            request.attemptsInFlight--;
            if (!attemptOutcome.provesNeverRan() && request.firstPossibleRunUs == 0) {
                request.firstPossibleRunUs = attempt.decidedUs();
            }
            if (outcome == Outcome.SERVED) {
                request.ended = true;
                weights.requestCompleted(request, false);
            }
            LoadReport report = PolicyMapping.load(load);
            boolean accepted = guarded("attemptEnded", () -> {
                long nowUs = nowUs();
                policy.attemptEnded(
                        nowUs,
                        request.id,
                        attempt.number(),
                        attempt.worker(),
                        attemptOutcome,
                        (nowUs - attempt.decidedUs()) / 1000.0,
                        request.ended,
                        report);
            });
            if (!accepted && request.decision == null) {
                end(request, new Decision.Failed(RejectionReason.FAULT));
            }
            forget(request);
        });
    }

    /** Reports that the client has left, so no response is sent. Outcomes of attempts in flight are still reported. */
    public void reportClientLeft(InFlightRequest request) {
        locked(() -> {
            if (request.ended) {
                return;
            }
            if (!request.submitted) { // the request's thread has not called decide() yet
                request.ended = true;
                request.decision = new Decision.ClientLeft();
                return;
            }
            Decision unread = request.decision;
            weights.clientLeft(request);
            end(request, new Decision.ClientLeft());
            guarded("requestAbandoned", () -> policy.requestAbandoned(nowUs(), request.id));
            if (unread instanceof Attempt attempt) { // decided, but no thread will send it
                reportAttemptEnded(attempt, Outcome.NEVER_SENT, null);
            }
        });
    }

    /**
     * Whether the attempt may be sent now; to be called just before its first byte. While its connection was
     * being established, the worker may have begun to drain, the client may have left, or the time in which workers
     * recognize a repeat may have passed.
     */
    public SendCheck checkSend(Attempt attempt) {
        InFlightRequest request = attempt.request();
        BooleanSupplier permitted = request.sendPermitted;
        if (permitted != null && !permitted.getAsBoolean()) { // called without the lock: it may take its own
            return SendCheck.ORDERING_PERMIT_LOST;
        }
        lock.lock();
        try {
            if (request.ended) {
                return SendCheck.REQUEST_ENDED;
            }
            if (!isServing(attempt)) {
                return SendCheck.SERVER_NOT_LISTED;
            }
            if (!policy.endpointListUsable(nowUs())) {
                return SendCheck.LIST_NOT_CONFIRMED;
            }
            return mayRepeatNow(request) ? SendCheck.ALLOWED : SendCheck.REPEAT_WINDOW_OVER;
        } finally {
            lock.unlock();
        }
    }

    private boolean isServing(Attempt attempt) {
        Endpoint endpoint = endpoints.get(attempt.worker());
        return endpoint != null
                && endpoint.state() == Endpoint.State.SERVING
                && endpoint.address().equals(attempt.address());
    }

    private boolean mayRepeatNow(InFlightRequest request) {
        if (request.firstPossibleRunUs == 0) {
            return true;
        }
        double sinceMs = (nowUs() - request.firstPossibleRunUs) / 1000.0;
        return requestClass(request).mayRepeatAfter(sinceMs);
    }

    /** Whether the attempt's request may safely run twice at any time. */
    public boolean isIdempotent(Attempt attempt) {
        return requestClass(attempt.request()).idempotency() == Idempotency.READ_LIKE;
    }

    private RequestClass requestClass(InFlightRequest request) {
        return settingsOf(request).classes().get(request.requestClass);
    }

    private PolicySettings settingsOf(InFlightRequest request) {
        return request.acceptedSettings == null ? settings : request.acceptedSettings;
    }

    // ------------------------------------------------------------ probes, endpoints, settings

    /**
     * Reports that a probe ended after {@code durationMs} milliseconds.
     *
     * @param load the worker's load report, or null
     */
    public void reportProbeEnded(Action.Probe probe, Outcome outcome, double durationMs, WorkerLoad load) {
        locked(() -> guarded(
                "probeEnded",
                () -> policy.probeEnded(
                        nowUs(),
                        probe.worker(),
                        PolicyMapping.outcome(outcome),
                        durationMs,
                        PolicyMapping.load(load))));
    }

    /** Reports that the endpoint list, or a change of it, was received. */
    public void reportEndpoints(EndpointUpdate update) {
        locked(() -> {
            applyEndpoints(update);
            EndpointListKind kind = PolicyMapping.listKind(update.kind());
            List<EndpointEntry> entries = PolicyMapping.entries(update.endpoints());
            guarded(
                    "endpointListReceived",
                    () -> policy.endpointListReceived(nowUs(), kind, update.version(), entries));
            listVersion = update.version();
            if (update.confirmed()) {
                guarded("endpointListConfirmed", () -> policy.endpointListConfirmed(nowUs()));
            }
        });
    }

    private void applyEndpoints(EndpointUpdate update) {
        if (update.kind() != EndpointUpdate.Kind.DELTA) {
            endpoints.clear();
        }
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.state() == Endpoint.State.DELETED) {
                endpoints.remove(endpoint.worker());
            } else {
                endpoints.put(endpoint.worker(), endpoint);
            }
        }
    }

    /**
     * Reports that a watch of the endpoint list could not be opened, or ended.
     *
     * @param lastMessageAgoMs milliseconds since its last line, or since the call if there was none
     */
    public void reportWatchLost(EndpointWatchFailure failure, double lastMessageAgoMs) {
        locked(() ->
                guarded("endpointWatchFailed", () -> policy.endpointWatchFailed(nowUs(), failure, lastMessageAgoMs)));
    }

    /**
     * Reports that discovery's list may differ from the received one until that is confirmed again.
     *
     * @param lastMessageAgoMs milliseconds since the last message of discovery
     */
    public void reportListUnconfirmed(EndpointListDoubt doubt, double lastMessageAgoMs) {
        locked(() -> guarded(
                "endpointListUnconfirmed", () -> policy.endpointListUnconfirmed(nowUs(), doubt, lastMessageAgoMs)));
    }

    /** Applies settings to future requests; the request classes of the old settings must keep their indexes. */
    public void applySettings(PolicySettings next) {
        locked(() -> {
            if (guarded("settingsChanged", () -> policy.settingsChanged(nowUs(), next))) {
                weights.tenantsChanged(settings.tenants(), next.tenants());
                settings = next;
            }
        });
    }

    /** Sets the weights of future requests by tenant, 1 or more; tenants beyond the array's end are not boosted. */
    public void setPriorityBoosts(double[] weightsByTenant) {
        weights.setBoosts(weightsByTenant);
    }

    // ------------------------------------------------------------ timers and actions

    /**
     * Runs the timers that are due and returns the pending actions. Blocks until there is an action, for {@code waitMs}
     * milliseconds at most.
     */
    public List<Action> tick(long waitMs) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long endUs = nowUs() + waitMs * 1000;
            while (true) {
                long nowUs = nowUs();
                runTimers(nowUs);
                updateHostCounts(nowUs);
                long wakeUs = timers.nextDueUs(endUs);
                if (!pendingActions.isEmpty() || nowUs >= endUs) {
                    List<Action> actions = List.copyOf(pendingActions);
                    pendingActions.clear();
                    return actions;
                }
                tickNeeded.await(Math.max(1, wakeUs - nowUs()), TimeUnit.MICROSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    private void runTimers(long nowUs) {
        while (timers.isDue(nowUs)) {
            long label = timers.removeFirst();
            guarded("timerExpired", () -> policy.timerExpired(nowUs(), label));
        }
    }

    private void updateHostCounts(long nowUs) {
        if (nowUs - hostCountsUpdatedUs > MAX_HOST_COUNTS_AGE_US) {
            hostCountsUpdatedUs = nowUs;
            hostCounts = new Metrics.HostCounts(endpoints.size(), policy.avoidedWorkers());
        }
    }

    // ------------------------------------------------------------ status

    /** The endpoint list's state at the policy's last event; does not block. */
    public EndpointListState listState() {
        return listState;
    }

    /** The numbers of listed and of avoided workers, updated by {@link #tick}; does not block. */
    public Metrics.HostCounts hostCounts() {
        return hostCounts;
    }

    /** The number of dispatchers among which the policy divides the slow-start budget of a worker. */
    public int dispatcherCount() {
        return settings.dispatcherCount();
    }

    /** Whether any listed worker accepts requests. */
    public boolean canServe() {
        lock.lock();
        try {
            return endpoints.values().stream().anyMatch(endpoint -> endpoint.state() == Endpoint.State.SERVING);
        } finally {
            lock.unlock();
        }
    }

    /** The addresses of all listed workers. */
    public List<String> endpointAddresses() {
        lock.lock();
        try {
            return endpoints.values().stream().map(Endpoint::address).toList();
        } finally {
            lock.unlock();
        }
    }

    // ------------------------------------------------------------ under the lock

    /** The request's weight by its tenant's quota and boost; see {@link RequestWeights}. */
    double priorityWeight(InFlightRequest request) {
        return weights.of(request, settingsOf(request), nowUs());
    }

    private void locked(Runnable work) {
        lock.lock();
        try {
            work.run();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns whether the policy accepted the event. A rejection is logged; the caller decides on any further effect,
     * such as failing the request.
     */
    private boolean guarded(String event, Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            Logger.error(e, "the policy rejected an event: {}", event);
            return false;
        }
    }

    private void end(InFlightRequest request, Decision decision) {
        request.ended = true;
        weights.requestCompleted(request, true);
        request.decision = decision;
        request.decisionAvailable.signalAll();
        forget(request);
    }

    private void forget(InFlightRequest request) {
        if (request.ended && request.attemptsInFlight == 0) {
            inFlight.remove(request.id);
        }
    }

    /** Receives the policy's actions. Called by the policy, under the lock. */
    private final class Actions implements PolicyActions {
        @Override
        public void sendAttempt(long id, String worker) {
            InFlightRequest request = inFlight.get(id);
            Attempt attempt = new Attempt(request, request.attempts.size(), worker, address(worker), nowUs());
            request.attempts.add(attempt);
            request.attemptsInFlight++;
            request.decision = attempt;
            request.decisionAvailable.signalAll();
        }

        private String address(String worker) {
            Endpoint endpoint = endpoints.get(worker);
            return endpoint == null ? "" : endpoint.address();
        }

        @Override
        public void reject(long id, double retryAfterMs, RejectionReason reason) {
            end(inFlight.get(id), new Decision.Rejected(retryAfterMs, reason));
        }

        @Override
        public void fail(long id, RejectionReason reason) {
            end(inFlight.get(id), new Decision.Failed(reason));
        }

        @Override
        public void cancelAttempt(long id, int number) {
            InFlightRequest request = inFlight.get(id);
            if (request != null && number < request.attempts.size()) {
                schedule(new Action.Cancel(request.attempts.get(number)));
            }
        }

        @Override
        public void probe(String worker) {
            schedule(new Action.Probe(worker, address(worker)));
        }

        @Override
        public void watchEndpointList() {
            schedule(new Action.Watch());
        }

        private void schedule(Action action) {
            pendingActions.add(action);
            tickNeeded.signal();
        }

        @Override
        public void scheduleTimer(double delayMs, long label) {
            timers.add(nowUs() + Math.round(delayMs * 1000), label);
            tickNeeded.signal();
        }

        @Override
        public void listStateChanged(EndpointListState from, EndpointListState to, double ageMs) {
            listState = to;
            Long knownAgeMs = Double.isInfinite(ageMs) ? null : Long.valueOf(Math.round(ageMs));
            Event.of("list.state", "from", from, "to", to, "age_ms", knownAgeMs, "revision", listVersion)
                    .info();
        }

        @Override
        public void log(String line) {
            Logger.info("policy: {}", line);
        }
    }
}

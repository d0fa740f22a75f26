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
 * The policy behind blocking calls: {@link #decide} for requests, {@code report...} for what happened, {@link #tick} for
 * timers and actions. It alone calls {@link DispatchPolicy}, under one lock and on one clock, and does no input or output
 * under that lock. Any thread may call it. It knows no protocol.
 */
public final class DecisionService {
    /** The age, in microseconds, up to which {@link #hostCounts} may be out of date. */
    private static final long HOST_COUNTS_AGE_US = 100_000;

    private final ReentrantLock lock = new ReentrantLock();
    /** Signalled when an action is added or a timer that may be the first one. */
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
    private long hostCountsUs;
    private long listVersion;
    private long lastId;

    /** All requests count alike, whatever their tenants' quotas. {@code seed}: of the policy's random draws. */
    public DecisionService(PolicySettings settings, long seed) {
        this(settings, seed, false);
    }

    /** {@code quotaEnforced}: requests beyond their tenant's quota count for less while others are rejected. */
    public DecisionService(PolicySettings settings, long seed, boolean quotaEnforced) {
        this.settings = settings;
        weights = new RequestWeights(quotaEnforced, settings.tenants());
        policy = new DispatchPolicy(settings, seed, new Actions());
    }

    /**
     * Microseconds of the one clock: Unix time at the start, moved on by the monotonic clock alone, so that a
     * worker's start can be placed on it and no correction of the system's clock turns it back.
     */
    public long nowUs() {
        return startUs + (System.nanoTime() - startNanos) / 1000;
    }

    // ------------------------------------------------------------ requests and attempts

    /**
     * The policy's decision about the request: at first when it is new, then after each attempt that ended unserved.
     * Blocks while the policy holds it back, but never past its deadline.
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
        request.id = ++lastId;
        request.decisionAvailable = lock.newCondition();
        inFlight.put(request.id, request);
        boolean taken = guarded("requestAccepted", () -> policy.requestAccepted(nowUs(), policyRequest(request)));
        if (!taken && request.decision == null) {
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

    /** Ends a request that the policy has left without a decision: its client must have an answer in time. */
    private void endUndecided(InFlightRequest request) {
        Logger.warn("request {} had no decision by its deadline", request.id);
        end(request, new Decision.Failed(RejectionReason.OUT_OF_TIME));
        guarded("requestAbandoned", () -> policy.requestAbandoned(nowUs(), request.id));
    }

    /** The attempt has started at its worker ({@code share} 0) or has done this share of its work, 0 to 1. */
    public void reportProgress(Attempt attempt, boolean started, double share) {
        locked(() -> guarded(
                "attemptProgressed",
                () -> policy.attemptProgressed(
                        nowUs(), attempt.request().id, attempt.number(), attempt.worker(), started, share)));
    }

    /**
     * An attempt is over. Unless it served, {@link #decide} has the next decision. {@code load}: the worker's report,
     * or null.
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
            boolean taken = guarded("attemptEnded", () -> {
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
            if (!taken && request.decision == null) {
                end(request, new Decision.Failed(RejectionReason.FAULT));
            }
            forget(request);
        });
    }

    /** The client left: no response is owed. Attempts in flight still get their outcome. */
    public void reportClientLeft(InFlightRequest request) {
        locked(() -> {
            if (request.ended) {
                return;
            }
            if (!request.submitted) { // its own thread has not asked for a decision yet
                request.ended = true;
                request.decision = new Decision.ClientLeft();
                return;
            }
            Decision unread = request.decision;
            weights.clientLeft(request);
            end(request, new Decision.ClientLeft());
            guarded("requestAbandoned", () -> policy.requestAbandoned(nowUs(), request.id));
            if (unread instanceof Attempt attempt) { // decided on, and nobody will send it now
                reportAttemptEnded(attempt, Outcome.NEVER_SENT, null);
            }
        });
    }

    /**
     * Whether the attempt may be sent now: to be asked again just before its first byte. While its connection came up,
     * the worker may have begun to drain, the client may have left, or the time may have run out in which workers
     * recognize a repeat.
     */
    public SendCheck checkSend(Attempt attempt) {
        InFlightRequest request = attempt.request();
        BooleanSupplier permitted = request.sendPermitted;
        if (permitted != null && !permitted.getAsBoolean()) { // not under the lock: it may have its own
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

    /** Whether it would be harmless to run the attempt's request twice, however late. */
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

    /** A probe ended after {@code tookMs}. {@code load}: the worker's report, or null. */
    public void reportProbeEnded(Action.Probe probe, Outcome outcome, double tookMs, WorkerLoad load) {
        locked(() -> guarded(
                "probeEnded",
                () -> policy.probeEnded(
                        nowUs(), probe.worker(), PolicyMapping.outcome(outcome), tookMs, PolicyMapping.load(load))));
    }

    /** The endpoint list, or changes of it, have come. */
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
     * A watch on the endpoint list could not be had, or broke. {@code heardAgoMs}: milliseconds since its last line, or
     * since the call.
     */
    public void reportWatchLost(EndpointWatchFailure failure, double heardAgoMs) {
        locked(() -> guarded("endpointWatchFailed", () -> policy.endpointWatchFailed(nowUs(), failure, heardAgoMs)));
    }

    /**
     * What discovery has may differ from the list until it is confirmed anew. {@code heardAgoMs}: milliseconds since
     * discovery was last heard of.
     */
    public void reportListUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
        locked(() ->
                guarded("endpointListUnconfirmed", () -> policy.endpointListUnconfirmed(nowUs(), why, heardAgoMs)));
    }

    /** Other settings for requests to come; their classes keep their numbers. */
    public void applySettings(PolicySettings next) {
        locked(() -> {
            if (guarded("settingsChanged", () -> policy.settingsChanged(nowUs(), next))) {
                weights.tenantsChanged(settings.tenants(), next.tenants());
                settings = next;
            }
        });
    }

    /** Weights of requests to come by tenant, 1 or more each; tenants beyond the array's end are not boosted. */
    public void setPriorityBoosts(double[] weightsByTenant) {
        weights.setBoosts(weightsByTenant);
    }

    // ------------------------------------------------------------ timers and actions

    /**
     * Runs the timers that are due and returns the actions to be carried out, blocking for {@code waitMs} at most for
     * either.
     */
    public List<Action> tick(long waitMs) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long endUs = nowUs() + waitMs * 1000;
            while (true) {
                long nowUs = nowUs();
                runTimers(nowUs);
                countHosts(nowUs);
                long wakeUs = timers.firstDueUs(endUs);
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

    private void countHosts(long nowUs) {
        if (nowUs - hostCountsUs > HOST_COUNTS_AGE_US) {
            hostCountsUs = nowUs;
            hostCounts = new Metrics.HostCounts(endpoints.size(), policy.avoidedWorkers());
        }
    }

    // ------------------------------------------------------------ what is shown

    /** How far the endpoint list can be relied on, as of the policy's last look; waits for nobody. */
    public EndpointListState listState() {
        return listState;
    }

    /** The workers on the list and those avoided, as of the last ticks; waits for nobody. */
    public Metrics.HostCounts hostCounts() {
        return hostCounts;
    }

    /** Among how many dispatchers the policy shares out what a worker in slow start may be sent. */
    public int dispatcherCount() {
        return settings.dispatcherCount();
    }

    /** Whether any worker is known that takes requests. */
    public boolean canServe() {
        lock.lock();
        try {
            return endpoints.values().stream().anyMatch(endpoint -> endpoint.state() == Endpoint.State.SERVING);
        } finally {
            lock.unlock();
        }
    }

    /** The addresses of all workers that are on the list. */
    public List<String> endpointAddresses() {
        lock.lock();
        try {
            return endpoints.values().stream().map(Endpoint::address).toList();
        } finally {
            lock.unlock();
        }
    }

    // ------------------------------------------------------------ under the lock

    /** What the request counts for by its tenant's quota and boost; see {@link RequestWeights}. */
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

    /** Whether the policy took the event. One that it rejects costs that event and a line in the log. */
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

    /** Takes what the policy wants done. Called by the policy, under the lock. */
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

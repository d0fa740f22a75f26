package maplespread.facade;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import maplespread.log.Event;
import maplespread.metrics.Metrics;
import maplespread.policy.AttemptOutcome;
import maplespread.policy.DispatchPolicy;
import maplespread.policy.EndpointEntry;
import maplespread.policy.EndpointLifecycle;
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
import maplespread.quota.TenantQuota;
import org.tinylog.Logger;

/**
 * The decision module in blocking style: pick, report, tick. It alone calls {@link DispatchPolicy}, under one lock and
 * on one clock, and does no input or output under that lock. It knows nothing of any protocol.
 */
public final class DecisionService {
    private record Due(long atUs, long order, long label) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private static final long COUNT_US = 100_000; // the age of what hosts() tells
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition pending = lock.newCondition(); // a chore, or an earlier timer
    private volatile PolicySettings settings; // for transactions that carry none
    private final DispatchPolicy policy;
    private TenantQuota shares; // null: all requests count alike
    private volatile double[] setPriorityBoosts = {}; // what a starved tenant's count for more
    private final Map<Long, InFlightRequest> inFlight = new HashMap<>(); // until ended and no branch is out
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final ArrayDeque<Action> pendingActions = new ArrayDeque<>();
    private final long startUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private long lastId;
    private long timerOrder;
    private volatile Metrics.HostCounts hostCounts = new Metrics.HostCounts(0, 0);
    private long countedUs;
    private long listVersion; // of the list, as discovery counts
    private volatile EndpointListState listState = EndpointListState.UNCONFIRMED;

    public DecisionService(PolicySettings settings, long seed) {
        this(settings, seed, false);
    }

    /** {@code fair}: requests beyond their tenant's share count for less while others are turned away. */
    public DecisionService(PolicySettings settings, long seed, boolean fair) {
        this.settings = settings;
        shares = fair ? new TenantQuota(settings.tenants()) : null;
        policy = new DispatchPolicy(settings, seed, new Actions());
    }

    /**
     * Microseconds of the one clock: Unix time at the start, moved on by the monotonic clock alone, so that a
     * worker's start can be placed on it and no correction of the system's clock turns it back.
     */
    public long nowUs() {
        return startUs + (System.nanoTime() - startNanos) / 1000;
    }

    /**
     * The module's word on the transaction: at first when it is new, then after each branch that ended
     * unserved. Waits while the module holds it back, but never past its deadline.
     */
    public Decision decide(InFlightRequest t) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            if (!t.submitted && !t.ended) {
                t.submitted = true;
                t.id = ++lastId;
                t.decisionAvailable = lock.newCondition();
                inFlight.put(t.id, t);
                if (!guarded(
                                "request",
                                () -> policy.requestAccepted(
                                        nowUs(),
                                        new PolicyRequest(
                                                t.id,
                                                t.requestClass,
                                                t.tenant,
                                                t.deadlineUs,
                                                t.workMs,
                                                t.slots,
                                                t.memory,
                                                t.key,
                                                t.acceptedSettings,
                                                priorityWeight(t),
                                                t.eligibleWorkers)))
                        && t.decision == null) {
                    end(t, new Decision.Failed(RejectionReason.FAULT));
                }
            }
            while (t.decision == null && !t.ended) {
                long left = t.deadlineUs - nowUs();
                if (left <= 0) { // guards a request that the module let lie
                    Logger.warn("transaction {} had no word by its deadline", t.id);
                    end(t, new Decision.Failed(RejectionReason.OUT_OF_TIME));
                    guarded("gone", () -> policy.requestAbandoned(nowUs(), t.id));
                } else {
                    t.decisionAvailable.await(left, TimeUnit.MICROSECONDS);
                }
            }
            Decision word = t.decision == null ? new Decision.Failed(RejectionReason.FAULT) : t.decision;
            t.decision = null;
            return word;
        } finally {
            lock.unlock();
        }
    }

    /** The branch's job has started (share 0) or has done this share of its work. */
    public void report(Attempt b, boolean started, double share) {
        locked(() -> guarded(
                "progress",
                () -> policy.attemptProgressed(nowUs(), b.request().id, b.number(), b.worker(), started, share)));
    }

    /** A branch is over. Unless it served, {@link #decide} has the next word. */
    public void report(Attempt b, Outcome outcome, WorkerLoad load) {
        locked(() -> {
            InFlightRequest t = b.request();
            t.attemptsInFlight--;
            if (!verdict(outcome).provesNeverRan() && t.firstPossibleRunUs == 0) {
                t.firstPossibleRunUs = b.decidedUs(); // attempts follow one another
            }
            if (outcome == Outcome.SERVED) {
                t.ended = true;
                settleQuota(t, false);
            }
            boolean ended = t.ended;
            if (!guarded(
                            "outcome",
                            () -> policy.attemptEnded(
                                    nowUs(),
                                    t.id,
                                    b.number(),
                                    b.worker(),
                                    verdict(outcome),
                                    (nowUs() - b.decidedUs()) / 1000.0,
                                    ended,
                                    load(load)))
                    && t.decision == null) {
                end(t, new Decision.Failed(RejectionReason.FAULT));
            }
            forget(t);
        });
    }

    /** A probe ended after {@code tookMs}. */
    public void report(Action.Probe probe, Outcome outcome, double tookMs, WorkerLoad load) {
        locked(() -> guarded(
                "probed", () -> policy.probeEnded(nowUs(), probe.worker(), verdict(outcome), tookMs, load(load))));
    }

    /** News of the route set. */
    public void report(EndpointUpdate news) {
        locked(() -> {
            boolean whole = news.kind() != EndpointUpdate.Kind.DELTA;
            if (whole) {
                endpoints.clear(); // who is absent from the whole is gone
            }
            List<EndpointEntry> entries = new ArrayList<>(news.endpoints().size());
            for (Endpoint r : news.endpoints()) {
                if (r.state() == Endpoint.State.DELETED) {
                    endpoints.remove(r.worker());
                } else {
                    endpoints.put(r.worker(), r);
                }
                entries.add(new EndpointEntry(
                        r.worker(), health(r.state()), r.weight(), r.kind(), r.cell(), r.zone(), r.startedAtMs()));
            }
            EndpointListKind kind =
                    switch (news.kind()) {
                        case DELTA -> EndpointListKind.DELTA;
                        case FULL_SNAPSHOT -> EndpointListKind.FULL_SNAPSHOT;
                        case CACHED_SNAPSHOT -> EndpointListKind.CACHED_SNAPSHOT;
                    };
            guarded("list", () -> policy.endpointListReceived(nowUs(), kind, news.version(), entries));
            listVersion = news.version();
            if (news.confirmed()) {
                guarded("listConfirmed", () -> policy.endpointListConfirmed(nowUs()));
            }
        });
    }

    /** Other settings for transactions to come; their classes stand where they stood. */
    public void report(PolicySettings next) {
        locked(() -> {
            if (guarded("settings", () -> policy.settingsChanged(nowUs(), next))) {
                if (shares != null && !next.tenants().equals(settings.tenants())) {
                    shares = new TenantQuota(next.tenants());
                }
                settings = next;
            }
        });
    }

    /** What requests to come count for more, by tenant, 1 or more each; beyond its end: as they are. */
    public void setPriorityBoosts(double[] weights) {
        setPriorityBoosts = weights.clone();
    }

    /** A watch could not be had or broke; {@code heardAgoMs}: since its last line, or since the call. */
    public void reportWatchLost(EndpointWatchFailure loss, double heardAgoMs) {
        locked(() -> guarded("listFailed", () -> policy.endpointWatchFailed(nowUs(), loss, heardAgoMs)));
    }

    /** What discovery has may differ from the list, heard of last so long ago, until it is confirmed anew. */
    public void reportListUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
        locked(() -> guarded("listUnconfirmed", () -> policy.endpointListUnconfirmed(nowUs(), why, heardAgoMs)));
    }

    /** How far the list can be relied on, as of the module's last look; waits for nobody. */
    public EndpointListState listState() {
        return listState;
    }

    /** The client left: no answer is owed. AttemptRunner that are out still get their outcome. */
    public void reportClientLeft(InFlightRequest t) {
        locked(() -> {
            if (!t.submitted && !t.ended) { // its thread has not come to ask yet
                t.ended = true;
                t.decision = new Decision.ClientLeft();
            } else if (!t.ended) {
                Decision unread = t.decision;
                if (shares != null) {
                    shares.clientLeft(t.id);
                }
                end(t, new Decision.ClientLeft());
                guarded("gone", () -> policy.requestAbandoned(nowUs(), t.id));
                if (unread instanceof Attempt b) { // picked, and nobody will send it now
                    report(b, Outcome.NEVER_SENT, null);
                }
            }
        });
    }

    /** Runs the timers that are due and returns the chores, waiting at most so long for either. */
    public List<Action> tick(long waitMs) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long end = nowUs() + waitMs * 1000;
            while (true) {
                long now = nowUs();
                while (!timers.isEmpty() && timers.peek().atUs() <= now) {
                    long label = timers.remove().label();
                    guarded("timer", () -> policy.timerExpired(nowUs(), label));
                }
                if (now - countedUs > COUNT_US) {
                    countedUs = now;
                    hostCounts = new Metrics.HostCounts(endpoints.size(), policy.avoidedWorkers());
                }
                long until =
                        timers.isEmpty() ? end : Math.min(end, timers.peek().atUs());
                if (!pendingActions.isEmpty() || now >= end) {
                    List<Action> all = List.copyOf(pendingActions);
                    pendingActions.clear();
                    return all;
                }
                pending.await(Math.max(1, until - nowUs()), TimeUnit.MICROSECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Whether the branch may be sent now: to be asked again just before. While a connection came up, a drain
     * may have been told, the client may have left, whose work would be done for nobody, or the time may have
     * run out in which workers drop a repeat.
     */
    public SendCheck checkSend(Attempt b) {
        BooleanSupplier still = b.request().sendPermitted;
        if (still != null && !still.getAsBoolean()) { // not under the lock: it may have its own
            return SendCheck.ORDERING_PERMIT_LOST;
        }
        lock.lock();
        try {
            if (b.request().ended) {
                return SendCheck.REQUEST_ENDED;
            }
            Endpoint r = endpoints.get(b.worker());
            if (r == null || r.state() != Endpoint.State.SERVING || !r.address().equals(b.address())) {
                return SendCheck.SERVER_NOT_LISTED;
            }
            if (!policy.endpointListUsable(nowUs())) { // it may have gone stale while the connection came up
                return SendCheck.LIST_NOT_CONFIRMED;
            }
            return inWindow(b.request()) ? SendCheck.ALLOWED : SendCheck.REPEAT_WINDOW_OVER;
        } finally {
            lock.unlock();
        }
    }

    /** Whether it would be harmless to run the branch's job twice. */
    public boolean isIdempotent(Attempt b) {
        return spec(b.request()).idempotency() == Idempotency.READ_LIKE;
    }

    private RequestClass spec(InFlightRequest t) {
        return (t.acceptedSettings == null ? settings : t.acceptedSettings)
                .classes()
                .get(t.requestClass);
    }

    private boolean inWindow(InFlightRequest t) {
        return t.firstPossibleRunUs == 0 || spec(t).mayRepeatAfter((nowUs() - t.firstPossibleRunUs) / 1000.0);
    }

    /** Whether any worker is known that takes work. */
    public boolean canServe() {
        lock.lock();
        try {
            return endpoints.values().stream().anyMatch(r -> r.state() == Endpoint.State.SERVING);
        } finally {
            lock.unlock();
        }
    }

    /** The workers on the list and those avoided, as of the last ticks; waits for nobody. */
    public Metrics.HostCounts hostCounts() {
        return hostCounts;
    }

    /** Among how many nodes the module shares out what a cold worker may be sent. */
    public int dispatcherCount() {
        return settings.dispatcherCount();
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

    /** What the request counts for, under its tenant's share; what is beyond that is not relieved. */
    double priorityWeight(InFlightRequest t) {
        double share = quotaWeight(t);
        double[] more = setPriorityBoosts;
        return share < 1 || t.tenant < 0 || t.tenant >= more.length ? share : more[t.tenant];
    }

    private double quotaWeight(InFlightRequest t) {
        if (shares == null) {
            return 1;
        }
        // By the transaction's own settings: the module's count is of those that share this one's workers,
        // while a tenant's traffic is spread over all dispatchers.
        PolicySettings told = t.acceptedSettings == null ? settings : t.acceptedSettings;
        double leftMs = (t.deadlineUs - nowUs()) / 1000.0;
        return shares.weight(
                nowUs() / 1000.0, t.id, t.tenant, told.isFirstAttempt(t.requestClass, leftMs), told.dispatcherCount());
    }

    private void locked(Runnable work) {
        lock.lock();
        try {
            work.run();
        } finally {
            lock.unlock();
        }
    }

    /** Guards the process: an event that the module rejects costs that event and a line in the log. */
    private boolean guarded(String event, Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            Logger.error(e, "the module rejected an event: {}", event);
            return false;
        }
    }

    private void settleQuota(InFlightRequest t, boolean away) {
        if (shares != null) {
            shares.requestCompleted(t.id, away);
        }
    }

    private void end(InFlightRequest t, Decision word) {
        t.ended = true;
        settleQuota(t, true);
        t.decision = word;
        t.decisionAvailable.signalAll();
        forget(t);
    }

    private void forget(InFlightRequest t) {
        if (t.ended && t.attemptsInFlight == 0) {
            inFlight.remove(t.id);
        }
    }

    private static AttemptOutcome verdict(Outcome outcome) {
        return switch (outcome) {
            case SERVED -> AttemptOutcome.SERVED;
            case ERROR -> AttemptOutcome.ERROR;
            case REJECTED -> AttemptOutcome.REJECTED;
            case TIMED_OUT -> AttemptOutcome.TIMED_OUT;
            case CONNECT_FAILED -> AttemptOutcome.CONNECT_FAILED;
            case RESET -> AttemptOutcome.RESET;
            case CANCELLED -> AttemptOutcome.CANCELLED;
            case NEVER_SENT -> AttemptOutcome.NEVER_SENT;
            case STALE_CONNECTION_RESET -> AttemptOutcome.STALE_CONNECTION_RESET;
        };
    }

    private static EndpointLifecycle health(Endpoint.State state) {
        return switch (state) {
            case SERVING -> EndpointLifecycle.ACTIVE;
            case DRAINING -> EndpointLifecycle.DRAINING;
            case DELETED -> EndpointLifecycle.REMOVED;
        };
    }

    private static LoadReport load(WorkerLoad load) {
        return load == null
                ? null
                : new LoadReport(
                        load.figure("active"),
                        load.figure("waiting"),
                        load.figure("cpu"),
                        load.figure("avg_ms"),
                        load.figure("x0"),
                        load.figure("x1"));
    }

    /** What the module wants done; called back by it under the lock. */
    private final class Actions implements PolicyActions {
        @Override
        public void sendAttempt(long id, String worker) {
            InFlightRequest t = inFlight.get(id);
            Endpoint r = endpoints.get(worker);
            Attempt b = new Attempt(t, t.attempts.size(), worker, r == null ? "" : r.address(), nowUs());
            t.attempts.add(b);
            t.attemptsInFlight++;
            t.decision = b;
            t.decisionAvailable.signalAll();
        }

        @Override
        public void reject(long id, double pauseMs, RejectionReason why) {
            end(inFlight.get(id), new Decision.Rejected(pauseMs, why));
        }

        @Override
        public void fail(long id, RejectionReason why) {
            end(inFlight.get(id), new Decision.Failed(why));
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            InFlightRequest t = inFlight.get(id);
            if (t != null && attempt < t.attempts.size()) {
                schedule(new Action.Cancel(t.attempts.get(attempt)));
            }
        }

        @Override
        public void probe(String worker) {
            Endpoint r = endpoints.get(worker);
            schedule(new Action.Probe(worker, r == null ? "" : r.address()));
        }

        @Override
        public void watchEndpointList() {
            schedule(new Action.Watch());
        }

        @Override
        public void scheduleTimer(double delayMs, long label) {
            timers.add(new Due(nowUs() + Math.round(delayMs * 1000), ++timerOrder, label));
            pending.signal();
        }

        @Override
        public void listStateChanged(EndpointListState from, EndpointListState to, double ageMs) {
            listState = to;
            Event.of(
                            "list.state",
                            "from",
                            from,
                            "to",
                            to,
                            "age_ms",
                            Double.isInfinite(ageMs) ? null : Math.round(ageMs),
                            "revision",
                            listVersion)
                    .info();
        }

        @Override
        public void log(String line) {
            Logger.info("module: {}", line);
        }

        private void schedule(Action chore) {
            pendingActions.add(chore);
            pending.signal();
        }
    }
}

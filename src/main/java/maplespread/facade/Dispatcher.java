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
import maplespread.decision.Dispatch;
import maplespread.decision.Logic;
import maplespread.fair.Shares;
import maplespread.figures.Figures;
import maplespread.log.Event;
import org.tinylog.Logger;

/**
 * The decision module in blocking style: pick, report, tick. It alone calls {@link Logic}, under one lock and
 * on one clock, and does no input or output under that lock. It knows nothing of any protocol.
 */
public final class Dispatcher {
    private record Due(long atUs, long order, long label) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private static final long COUNT_US = 100_000; // the age of what hosts() tells
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition pending = lock.newCondition(); // a chore, or an earlier timer
    private volatile Dispatch.Settings settings; // for transactions that carry none
    private final Logic logic;
    private Shares shares; // null: all requests count alike
    private volatile double[] relief = {}; // what a starved tenant's count for more
    private final Map<Long, Transaction> open = new HashMap<>(); // until ended and no branch is out
    private final Map<String, Route> routes = new HashMap<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final ArrayDeque<Action> chores = new ArrayDeque<>();
    private final long startUs = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();
    private long lastId;
    private long timerOrder;
    private volatile Figures.Hosts hosts = new Figures.Hosts(0, 0);
    private long countedUs;
    private long generation; // of the list, as discovery counts
    private volatile Dispatch.ListState listState = Dispatch.ListState.UNCONFIRMED;

    public Dispatcher(Dispatch.Settings settings, long seed) {
        this(settings, seed, false);
    }

    /** {@code fair}: requests beyond their tenant's share count for less while others are turned away. */
    public Dispatcher(Dispatch.Settings settings, long seed, boolean fair) {
        this.settings = settings;
        shares = fair ? new Shares(settings.tenants()) : null;
        logic = new Logic(settings, seed, new Actions());
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
    public Decision decide(Transaction t) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            if (!t.taken && !t.ended) {
                t.taken = true;
                t.id = ++lastId;
                t.changed = lock.newCondition();
                open.put(t.id, t);
                if (!guarded(
                                "request",
                                () -> logic.request(
                                        nowUs(),
                                        new Dispatch.Request(
                                                t.id,
                                                t.cls,
                                                t.tenant,
                                                t.deadlineUs,
                                                t.workMs,
                                                t.slots,
                                                t.memory,
                                                t.key,
                                                t.under,
                                                counts(t),
                                                t.among)))
                        && t.word == null) {
                    end(t, new Decision.Failed(Dispatch.Refusal.FAULT));
                }
            }
            while (t.word == null && !t.ended) {
                long left = t.deadlineUs - nowUs();
                if (left <= 0) { // guards a request that the module let lie
                    Logger.warn("transaction {} had no word by its deadline", t.id);
                    end(t, new Decision.Failed(Dispatch.Refusal.OUT_OF_TIME));
                    guarded("gone", () -> logic.gone(nowUs(), t.id));
                } else {
                    t.changed.await(left, TimeUnit.MICROSECONDS);
                }
            }
            Decision word = t.word == null ? new Decision.Failed(Dispatch.Refusal.FAULT) : t.word;
            t.word = null;
            return word;
        } finally {
            lock.unlock();
        }
    }

    /** The branch's job has started (share 0) or has done this share of its work. */
    public void report(Attempt b, boolean started, double share) {
        locked(() -> guarded(
                "progress", () -> logic.progress(nowUs(), b.transaction().id, b.number(), b.worker(), started, share)));
    }

    /** A branch is over. Unless it served, {@link #decide} has the next word. */
    public void report(Attempt b, Outcome outcome, Load load) {
        locked(() -> {
            Transaction t = b.transaction();
            t.out--;
            if (!verdict(outcome).neverRan() && t.mayHaveRunUs == 0) {
                t.mayHaveRunUs = b.pickedUs(); // attempts follow one another
            }
            if (outcome == Outcome.SERVED) {
                t.ended = true;
                told(t, false);
            }
            boolean ended = t.ended;
            if (!guarded(
                            "outcome",
                            () -> logic.outcome(
                                    nowUs(),
                                    t.id,
                                    b.number(),
                                    b.worker(),
                                    verdict(outcome),
                                    (nowUs() - b.pickedUs()) / 1000.0,
                                    ended,
                                    load(load)))
                    && t.word == null) {
                end(t, new Decision.Failed(Dispatch.Refusal.FAULT));
            }
            forget(t);
        });
    }

    /** A probe ended after {@code tookMs}. */
    public void report(Action.Probe probe, Outcome outcome, double tookMs, Load load) {
        locked(() ->
                guarded("probed", () -> logic.probed(nowUs(), probe.worker(), verdict(outcome), tookMs, load(load))));
    }

    /** News of the route set. */
    public void report(EndpointUpdate news) {
        locked(() -> {
            boolean whole = news.kind() != EndpointUpdate.Kind.CHANGES;
            if (whole) {
                routes.clear(); // who is absent from the whole is gone
            }
            List<Dispatch.Entry> entries = new ArrayList<>(news.routes().size());
            for (Route r : news.routes()) {
                if (r.state() == Route.State.DELETED) {
                    routes.remove(r.worker());
                } else {
                    routes.put(r.worker(), r);
                }
                entries.add(new Dispatch.Entry(
                        r.worker(), health(r.state()), r.weight(), r.kind(), r.cell(), r.zone(), r.startedAtMs()));
            }
            Dispatch.ListKind kind =
                    switch (news.kind()) {
                        case CHANGES -> Dispatch.ListKind.CHANGES;
                        case WHOLE -> Dispatch.ListKind.FULL;
                        case HELD -> Dispatch.ListKind.HELD;
                    };
            guarded("list", () -> logic.list(nowUs(), kind, news.generation(), entries));
            generation = news.generation();
            if (news.current()) {
                guarded("listConfirmed", () -> logic.listConfirmed(nowUs()));
            }
        });
    }

    /** Other settings for transactions to come; their classes stand where they stood. */
    public void report(Dispatch.Settings next) {
        locked(() -> {
            if (guarded("settings", () -> logic.settings(nowUs(), next))) {
                if (shares != null && !next.tenants().equals(settings.tenants())) {
                    shares = new Shares(next.tenants());
                }
                settings = next;
            }
        });
    }

    /** What requests to come count for more, by tenant, 1 or more each; beyond its end: as they are. */
    public void relief(double[] weights) {
        relief = weights.clone();
    }

    /** A watch could not be had or broke; {@code heardAgoMs}: since its last line, or since the call. */
    public void reportWatchLost(Dispatch.ListLoss loss, double heardAgoMs) {
        locked(() -> guarded("listFailed", () -> logic.listFailed(nowUs(), loss, heardAgoMs)));
    }

    /** What discovery has may differ from the list, heard of last so long ago, until it is confirmed anew. */
    public void reportUnconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {
        locked(() -> guarded("listUnconfirmed", () -> logic.listUnconfirmed(nowUs(), why, heardAgoMs)));
    }

    /** How far the list can be relied on, as of the module's last look; waits for nobody. */
    public Dispatch.ListState listState() {
        return listState;
    }

    /** The client left: no answer is owed. AttemptRunner that are out still get their outcome. */
    public void reportLeft(Transaction t) {
        locked(() -> {
            if (!t.taken && !t.ended) { // its thread has not come to ask yet
                t.ended = true;
                t.word = new Decision.Left();
            } else if (!t.ended) {
                Decision unread = t.word;
                if (shares != null) {
                    shares.left(t.id);
                }
                end(t, new Decision.Left());
                guarded("gone", () -> logic.gone(nowUs(), t.id));
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
                    guarded("timer", () -> logic.timer(nowUs(), label));
                }
                if (now - countedUs > COUNT_US) {
                    countedUs = now;
                    hosts = new Figures.Hosts(routes.size(), logic.avoided());
                }
                long until =
                        timers.isEmpty() ? end : Math.min(end, timers.peek().atUs());
                if (!chores.isEmpty() || now >= end) {
                    List<Action> all = List.copyOf(chores);
                    chores.clear();
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
    public SendCheck check(Attempt b) {
        BooleanSupplier still = b.transaction().still;
        if (still != null && !still.getAsBoolean()) { // not under the lock: it may have its own
            return SendCheck.TURN_LOST;
        }
        lock.lock();
        try {
            if (b.transaction().ended) {
                return SendCheck.REQUEST_ENDED;
            }
            Route r = routes.get(b.worker());
            if (r == null || r.state() != Route.State.SERVING || !r.address().equals(b.address())) {
                return SendCheck.SERVER_NOT_LISTED;
            }
            if (!logic.listUsable(nowUs())) { // it may have gone stale while the connection came up
                return SendCheck.LIST_NOT_CONFIRMED;
            }
            return inWindow(b.transaction()) ? SendCheck.ALLOWED : SendCheck.REPEAT_WINDOW_OVER;
        } finally {
            lock.unlock();
        }
    }

    /** Whether it would be harmless to run the branch's job twice. */
    public boolean repeatable(Attempt b) {
        return spec(b.transaction()).effect() == Dispatch.Effect.READ_LIKE;
    }

    private Dispatch.ClassSpec spec(Transaction t) {
        return (t.under == null ? settings : t.under).classes().get(t.cls);
    }

    private boolean inWindow(Transaction t) {
        return t.mayHaveRunUs == 0 || spec(t).repeatable((nowUs() - t.mayHaveRunUs) / 1000.0);
    }

    /** Whether any worker is known that takes work. */
    public boolean canServe() {
        lock.lock();
        try {
            return routes.values().stream().anyMatch(r -> r.state() == Route.State.SERVING);
        } finally {
            lock.unlock();
        }
    }

    /** The workers on the list and those avoided, as of the last ticks; waits for nobody. */
    public Figures.Hosts hosts() {
        return hosts;
    }

    /** Among how many nodes the module shares out what a cold worker may be sent. */
    public int sharing() {
        return settings.balancers();
    }

    /** The addresses of all workers that are on the list. */
    public List<String> addresses() {
        lock.lock();
        try {
            return routes.values().stream().map(Route::address).toList();
        } finally {
            lock.unlock();
        }
    }

    // ------------------------------------------------------------ under the lock

    /** What the request counts for, under its tenant's share; what is beyond that is not relieved. */
    double counts(Transaction t) {
        double share = share(t);
        double[] more = relief;
        return share < 1 || t.tenant < 0 || t.tenant >= more.length ? share : more[t.tenant];
    }

    private double share(Transaction t) {
        if (shares == null) {
            return 1;
        }
        // By the transaction's own settings: the module's count is of those that share this one's workers,
        // while a tenant's traffic is spread over all dispatchers.
        Dispatch.Settings told = t.under == null ? settings : t.under;
        double leftMs = (t.deadlineUs - nowUs()) / 1000.0;
        return shares.of(nowUs() / 1000.0, t.id, t.tenant, told.firstTry(t.cls, leftMs), told.balancers());
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

    private void told(Transaction t, boolean away) {
        if (shares != null) {
            shares.ended(t.id, away);
        }
    }

    private void end(Transaction t, Decision word) {
        t.ended = true;
        told(t, true);
        t.word = word;
        t.changed.signalAll();
        forget(t);
    }

    private void forget(Transaction t) {
        if (t.ended && t.out == 0) {
            open.remove(t.id);
        }
    }

    private static Dispatch.Verdict verdict(Outcome outcome) {
        return switch (outcome) {
            case SERVED -> Dispatch.Verdict.OK;
            case ERROR -> Dispatch.Verdict.ERROR;
            case TURNED_AWAY -> Dispatch.Verdict.FULL;
            case TIMED_OUT -> Dispatch.Verdict.TIMEOUT;
            case NOT_CONNECTED -> Dispatch.Verdict.NO_CONNECTION;
            case RESET -> Dispatch.Verdict.RESET;
            case CANCELLED -> Dispatch.Verdict.CANCELLED;
            case NEVER_SENT -> Dispatch.Verdict.MOOT;
            case CUT -> Dispatch.Verdict.CUT;
        };
    }

    private static Dispatch.Health health(Route.State state) {
        return switch (state) {
            case SERVING -> Dispatch.Health.ACTIVE;
            case DRAINING -> Dispatch.Health.LEAVING;
            case DELETED -> Dispatch.Health.LEFT;
        };
    }

    private static Dispatch.Report load(Load load) {
        return load == null
                ? null
                : new Dispatch.Report(
                        load.figure("active"),
                        load.figure("waiting"),
                        load.figure("cpu"),
                        load.figure("avg_ms"),
                        load.figure("x0"),
                        load.figure("x1"));
    }

    /** What the module wants done; called back by it under the lock. */
    private final class Actions implements Dispatch.Actions {
        @Override
        public void send(long id, String worker) {
            Transaction t = open.get(id);
            Route r = routes.get(worker);
            Attempt b = new Attempt(t, t.branches.size(), worker, r == null ? "" : r.address(), nowUs());
            t.branches.add(b);
            t.out++;
            t.word = b;
            t.changed.signalAll();
        }

        @Override
        public void refuse(long id, double pauseMs, Dispatch.Refusal why) {
            end(open.get(id), new Decision.BusyAnswer(pauseMs, why));
        }

        @Override
        public void fail(long id, Dispatch.Refusal why) {
            end(open.get(id), new Decision.Failed(why));
        }

        @Override
        public void cancel(long id, int attempt) {
            Transaction t = open.get(id);
            if (t != null && attempt < t.branches.size()) {
                chore(new Action.Cancel(t.branches.get(attempt)));
            }
        }

        @Override
        public void probe(String worker) {
            Route r = routes.get(worker);
            chore(new Action.Probe(worker, r == null ? "" : r.address()));
        }

        @Override
        public void watch() {
            chore(new Action.Watch());
        }

        @Override
        public void timer(double delayMs, long label) {
            timers.add(new Due(nowUs() + Math.round(delayMs * 1000), ++timerOrder, label));
            pending.signal();
        }

        @Override
        public void listState(Dispatch.ListState from, Dispatch.ListState to, double ageMs) {
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
                            generation)
                    .info();
        }

        @Override
        public void log(String line) {
            Logger.info("module: {}", line);
        }

        private void chore(Action chore) {
            chores.add(chore);
            pending.signal();
        }
    }
}

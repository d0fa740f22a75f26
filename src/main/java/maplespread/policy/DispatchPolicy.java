package maplespread.policy;

import static maplespread.policy.PolicyMath.clamp;
import static maplespread.policy.PolicyMath.decay;
import static maplespread.policy.PolicyMath.drawExponential;
import static maplespread.policy.StableHash.hash;
import static maplespread.policy.StableHash.mix;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * All decisions of a node; its interface (settings, events, actions) is in Dispatch.java. The design is rule
 * (25) of "Meeting Soft Deadlines in Single- and Multi-Server Systems"; docs/design.md says what was kept and
 * changed. Parts: events, roster, worker, value function, request, placement, upkeep. Times are milliseconds,
 * work is milliseconds on a standard core. Nothing hangs on the order of a hash map.
 */
public final class DispatchPolicy implements PolicyEvents {
    private static final long TICK = 1;
    private static final double TOLD = 6000; // then a change counts as told, whatever failed
    private static final double ROUND = 5500; // of a large fleet's calls: within TOLD each comes again
    private static final double LINE_COST = 0.7; // of discovery for a line of a whole list, with a margin
    private PolicySettings set;
    private PlatformRules rules;
    private SitePermissions allow;
    private final PolicyActions actions;
    private final SplittableRandom random;
    private final WorkerTable<Worker> workers = new WorkerTable<>();
    private final EndpointListFreshness freshness;
    private final Map<String, Worker> byId = new HashMap<>();
    private final Map<Integer, Kind> kinds = new HashMap<>();
    private final Map<Long, Req> open = new HashMap<>(); // until ended and all attempts are over
    private final List<Req> parked = new ArrayList<>(); // nothing out, waiting for a legal worker
    private double aim; // shortest class aim: the clock of upkeep
    private double horizon; // shortest deadline: the estimators' memory
    private double period; // half an aim: a few scans a request, no more
    private double now = Double.NEGATIVE_INFINITY;

    public DispatchPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        Preconditions.require(settings != null && actions != null, "settings and actions are needed");
        this.actions = actions;
        random = new SplittableRandom(seed);
        freshness = new EndpointListFreshness(actions::listStateChanged);
        take(settings);
    }

    private void take(PolicySettings settings) {
        set = settings;
        rules = set.rules();
        allow = set.permissions();
        aim = set.classes().stream()
                .mapToDouble(RequestClass::latencyObjectiveMs)
                .min()
                .orElseThrow();
        horizon = set.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .min()
                .orElseThrow();
        period = Math.max(set.tickMs(), aim / 2);
        freshness.settings(!set.pollsDiscovery(), rules.maxListAgeMs());
    }

    // ------------------------------------------------------------ events

    @Override
    public void settingsChanged(long nowUs, PolicySettings next) {
        at(nowUs);
        Preconditions.require(next.classes().size() >= set.classes().size(), "classes keep their places");
        take(next);
        scanAt = Double.NEGATIVE_INFINITY; // sums are made anew
    }

    @Override
    public void endpointListReceived(long nowUs, EndpointListKind kind, long version, List<EndpointEntry> entries) {
        at(nowUs);
        boolean whole = kind != EndpointListKind.DELTA;
        if (whole) { // who is absent from the whole has left
            Set<String> named = entries.stream().map(EndpointEntry::worker).collect(Collectors.toSet());
            List.copyOf(workers.all()).stream()
                    .filter(w -> !named.contains(w.id))
                    .forEach(w -> health(w, EndpointLifecycle.REMOVED));
        }
        scanAt = Double.NEGATIVE_INFINITY; // sums are made anew
        entries.forEach(this::entry);
        if (byId.size() > 2 * workers.size() + 100) { // what is known of those long gone
            byId.values().removeIf(w -> w.at < 0 && w.held.isEmpty());
        }
        priced = null;
        looks.forEach(q -> q.asked.clear());
        if (kind == EndpointListKind.CACHED_SNAPSHOT) {
            // A whole large fleet may start at once, and discovery answers one call after another: each has its turn.
            double last = Math.min(TOLD * 2 / 3, LINE_COST * set.dispatcherCount() * entries.size()) - TOLD / 30;
            watchAt = now + turn(Math.max(0, last));
            double first = period * (0.5 + random.nextDouble() / 2); // nodes must not tick in step
            tickAt = now + first;
            actions.scheduleTimer(first, TICK);
        } else {
            watchAt = Double.POSITIVE_INFINITY;
            watchFails = 0;
        }
    }

    @Override
    public void endpointListConfirmed(long nowUs) {
        at(nowUs);
        boolean usable = freshness.usable(now);
        freshness.confirmed(now);
        if (!usable) {
            placeParked(); // they have waited for this
        }
    }

    @Override
    public void endpointListUnconfirmed(long nowUs, EndpointListDoubt why, double heardAgoMs) {
        at(nowUs);
        if (why == EndpointListDoubt.MOVED) {
            freshness.moved(now);
        } else {
            freshness.silent(now, heardAgoMs);
        }
    }

    @Override
    public void endpointWatchFailed(long nowUs, EndpointWatchFailure loss, double heardAgoMs) {
        at(nowUs);
        freshness.failed(now, loss, heardAgoMs);
        // Jittered: calls in step would all be late. As long as this one waited: dead calls are served too.
        double most = Math.min(rules.maxListAgeMs() / 4, TOLD / 5), took = watchAt < 1e300 ? now - askedAt : 0;
        double wait = Math.min(most, horizon / 20 * (1L << Math.min(++watchFails, 6)));
        watchAt = now + Math.max(wait, Math.min(took, TOLD / 3)) * (0.4 + 0.8 * random.nextDouble());
        double all = LINE_COST * set.dispatcherCount() * workers.size();
        if (all > TOLD / 2) { // a large fleet's calls would be a crowd by themselves
            watchAt = took > TOLD / 6 ? slotAfter(now + period, Math.min(ROUND, all)) : now + period + turn(TOLD / 2);
        }
    }

    @Override
    public void requestAccepted(long nowUs, PolicyRequest r) {
        at(nowUs);
        Preconditions.require(
                r.classIndex() >= 0 && r.classIndex() < set.classes().size(), "no such class: " + r.classIndex());
        if (open.containsKey(r.id())) {
            throw new IllegalStateException("request " + r.id() + " was taken before");
        }
        Req q = new Req(r);
        open.put(r.id(), q);
        scan();
        offered(q);
        place(q);
        if (allow.probing() && set.dispatcherCount() > 1 && q.rounds == 0) {
            workers.all().stream()
                    .filter(w -> !w.down && now - w.reportAt > aim) // the stalest
                    .min(Comparator.comparingDouble(w -> w.reportAt))
                    .ifPresent(this::probe);
        }
    }

    @Override
    public void attemptProgressed(long nowUs, long id, int n, String worker, boolean started, double share) {
        heard(nowUs, id, n).ifPresent(a -> a.worker.ran(a, started ? 0 : clamp(share, 0, 1)));
    }

    @Override
    public void responseStarted(long nowUs, long id, int attempt, String worker) {
        heard(nowUs, id, attempt).ifPresent(a -> a.req.streaming = true);
    }

    private Optional<Attempt> heard(long nowUs, long id, int n) {
        at(nowUs);
        Optional<Attempt> a = Optional.ofNullable(attempt(id, n));
        a.ifPresent(of -> of.worker.alive());
        return a;
    }

    @Override
    public void attemptEnded(
            long nowUs,
            long id,
            int attempt,
            String worker,
            AttemptOutcome verdict,
            double lagMs,
            boolean ended,
            LoadReport report) {
        at(nowUs);
        Optional.ofNullable(byId.get(worker)).ifPresent(w -> w.report(report));
        Attempt a = attempt(id, attempt);
        if (a == null) {
            return;
        }
        a.worker.settled(a, verdict, lagMs);
        if (ended) {
            a.req.end();
        } else if (!a.req.ended && !a.req.streaming && a.req.out == 0) {
            scan();
            place(a.req); // another attempt, or the end
        }
        a.req.forget();
    }

    @Override
    public void requestAbandoned(long nowUs, long id) {
        at(nowUs);
        Optional.ofNullable(open.get(id)).ifPresent(Req::end);
    }

    @Override
    public void timerExpired(long nowUs, long label) {
        at(nowUs);
        if (label == TICK) {
            upkeep();
            tickAt = now + period;
            actions.scheduleTimer(period, TICK);
        } else {
            looked(open.get(label - 1 - TICK));
        }
    }

    @Override
    public void probeEnded(long nowUs, String worker, AttemptOutcome verdict, double lagMs, LoadReport report) {
        at(nowUs);
        Worker w = byId.get(worker);
        if (w == null) {
            return;
        }
        w.probing = false;
        if (verdict == AttemptOutcome.CONNECT_FAILED) {
            w.unconnected(lagMs);
        } else if (verdict == AttemptOutcome.SERVED) {
            w.report(report);
            w.carried(!w.connected());
            w.refresh();
            if (w.down) {
                w.alive();
                w.tryAt = now;
                if (now - w.lostAt > aim) { // long enough to have started anew
                    w.cold(now);
                }
            }
        }
        for (Req q : List.copyOf(looks)) {
            if (q.unheard.remove(w) && q.unheard.isEmpty()) {
                looked(q);
            }
        }
    }

    private void at(long nowUs) {
        Preconditions.require(nowUs / 1000.0 >= now, "time ran backwards");
        now = nowUs / 1000.0;
        if (now - tickAt > period) {
            tickAt = stalledAt = now;
        }
    }

    private Attempt attempt(long id, int n) {
        Req q = open.get(id);
        Attempt a = q == null || n < 0 || n >= q.attempts.size() ? null : q.attempts.get(n);
        return a == null || a.over ? null : a;
    }

    // ------------------------------------------------------------ roster: list, asking, drains

    private double watchAt = Double.POSITIVE_INFINITY, askedAt;
    private int watchFails;

    private void entry(EndpointEntry e) {
        Worker w = byId.get(e.worker());
        if (w == null) {
            w = new Worker(e.worker());
            byId.put(w.id, w);
        }
        w.kindNo = e.workerKind();
        w.kind = kinds.computeIfAbsent(e.workerKind(), k -> new Kind());
        w.cell = e.cell();
        w.zone = e.zone();
        if (e.startedAtMs() > 0 && e.startedAtMs() != w.upSince) {
            w.upSince = e.startedAtMs();
            w.cold(Math.min(now, w.upSince));
            w.down &= w.lostAt >= w.upSince;
        }
        w.refresh();
        health(w, e.lifecycle());
    }

    /** A change costs that worker and no other. */
    private void health(Worker w, EndpointLifecycle health) {
        w.health = health;
        workers.put(w, health != EndpointLifecycle.REMOVED);
        workers.share(w, w.usable());
    }

    // ------------------------------------------------------------ worker: backlog, speed, health, cold

    /** What workers of one kind have in common: pooled speed and slots, the prior of each of them. */
    private static final class Kind {
        double work, time, speed = 1, slots, unseen, unseenAt; // unseen: others' backlog, as time
    }

    private final class Worker extends WorkerTable.Indexed {
        final String id;
        final DoublesByIndex bad = new DoublesByIndex(), badAt = new DoublesByIndex(); // by class
        final List<Attempt> held = new ArrayList<>(); // sent from here, outcome not yet seen
        Kind kind;
        EndpointLifecycle health;
        int kindNo, cell, zone, fails;
        boolean down, probing;
        double upSince, coldAt = Double.NEGATIVE_INFINITY, own; // own: hinted work pushed and not finished
        double foreign, foreignAt = Double.NEGATIVE_INFINITY; // others' requests by its reports
        double openUntil, conns, memory, foreignMemory; // idle connections; units held, by others
        double work, time, learnAt, slots; // done work, the time it took, forgetting
        double service = Double.NaN; // its last reported service time
        double speed = 1, cap = 1, extra, u; // core speed, c, unseen work, u: refreshed
        double reportAt = Double.NEGATIVE_INFINITY, tryAt, lostAt, aliveAt, inUse; // slots of held jobs
        double saved, savedAt, fullAt; // of its share of the cold budget
        double logHint, logRun, runs; // recent means, see compare
        double shadow, shadowAt, shadowSeen, shadowLost;
        final long idHash;
        final Map<Long, Boolean> kept = new LinkedHashMap<>(16, 0.75f, true); // keys last sent from here

        Worker(String id) {
            this.id = id;
            idHash = hash(id);
        }

        /** Brings speed, c and the unseen work up to date, when looked at and at its events. */
        void refresh() {
            double m = meanAll(), keep = decay((now - learnAt) / (2 * horizon));
            // Unconfirmed it returns to the kind's speed, or none thought slow is tried again; prior: two mean jobs.
            speed = clamp((work * keep + 2 * m) / (time * keep + 2 * m / kind.speed), 0.02, 50);
            cap = speed * slots() * warmth();
            extra = foreignWork();
            u = (own + extra) / cap + outwaited();
            if (isCold()) {
                saved = Math.min(saved + coldBudget() * (now - savedAt) / rules.overloadWindowMs(), coldMost());
                fullAt = saved < coldMost() ? now : fullAt;
                saved = now - fullAt > rules.overloadWindowMs() ? 0 : saved;
                savedAt = now;
            }
        }

        /** Departure "late start": by how much the longest waiting job from here outwaits its estimate. */
        double outwaited() {
            double over = 0;
            for (Attempt a : held) {
                double wait = Double.isNaN(a.startAt) && !a.lost ? now - aim / 8 - a.sentAt - a.wait : 0;
                over = Math.max(over, wait);
            }
            return set.workersReportStart() ? over : 0;
        }

        /** Departure "free slot": the job starts at once, as far as pushes and reports tell. */
        boolean free(Req q) {
            return inUse + extra / meanAll() + q.slots - 0.5 < slots();
        }

        double usable() {
            return health == EndpointLifecycle.ACTIVE && !down ? cap : 0;
        }

        double slots() {
            return Math.max(1, Math.rint(slots > 0 ? slots : kind.slots > 0 ? kind.slots : 2));
        }

        double warmth() {
            double from = rules.slowStartCapacityShare();
            return isCold() ? from + (1 - from) * Math.max(0, now - coldAt) / rules.slowStartMs() : 1;
        }

        boolean isCold() {
            return now - coldAt < rules.slowStartMs();
        }

        void cold(double since) {
            coldAt = Math.max(coldAt, since);
            saved = Math.max(random.nextDouble() * meanAll(), coldBudget() / 2);
            savedAt = fullAt = now;
        }

        /**
         * Departure "unseen": others' work in hand by the reports; news fades over two mean jobs. What is too
         * old to know is drawn anew, from half the fleet's mean on: with the mean itself all nodes would rush
         * the same fast workers; from zero on the least of many drawn is none. Harms where nodes differ much.
         */
        double foreignWork() {
            double keep = decay((now - foreignAt) * speed / (2 * meanAll()));
            double drawn = set.dispatcherCount() == 1 ? 0 : kind.unseen * cap * (1 + drawExponential(random)) / 2;
            return keep * foreign * meanAll() + (1 - keep) * drawn;
        }

        void report(LoadReport r) {
            if (r == null || r.activeRequests() > 1e4 || r.freeSlots() > 1e4) {
                return; // none, or absurd: no part of it is believed
            }
            reportAt = now;
            foreignMemory = r.freeMemoryUnits() >= 0 ? Math.max(0, slots() - r.freeMemoryUnits() - memory) : 0;
            if (!set.workersReportStart()
                    && r.meanServiceMs() > 0
                    && r.meanServiceMs() < horizon
                    && r.meanServiceMs() != service) {
                service = r.meanServiceMs();
                learn(meanAll() / 2, service / 2); // a recent mean over all nodes' jobs
            }
            double mine = Math.min(inUse, slots()), others = slots() - r.freeSlots() - mine;
            if (r.activeRequests() >= 0) {
                others = r.activeRequests() - held.size();
                if (r.freeSlots() > 0.5) {
                    seeSlots(r.activeRequests() + r.freeSlots());
                }
            } else if (r.freeSlots() >= 0 && held.isEmpty()) {
                seeSlots(Math.max(r.freeSlots(), slots()));
            }
            if (!Double.isNaN(others)) {
                double keep = 0.5 * decay((now - foreignAt) * speed / (2 * meanAll()));
                // A full worker's free slots say nothing of its queue: it is taken for its kind's usual one.
                double full = Math.max(Math.max(foreign, others), kind.unseen * cap / meanAll());
                foreign = r.activeRequests() >= 0 || r.freeSlots() > 0.5
                        ? keep * foreign + (1 - keep) * Math.max(0, others)
                        : full;
                foreignAt = now;
                kind.unseen += set.workersReportStart() ? 0 : 0.05 * (foreign * meanAll() / cap - kind.unseen);
            }
        }

        /**
         * Workers start in order: what was sent well before a job that has started must have started too.
         * That nothing was heard of it tells of its connection, not of a queue or of a worker that stands
         * still; where a repeat is harmless, it is called off and placed anew.
         */
        void outrun(Attempt a) {
            for (Attempt b : set.fifoWorkers() ? List.copyOf(held) : List.<Attempt>of()) {
                if (Double.isNaN(b.startAt) && !b.lost && a.sentAt - b.sentAt > aim / 2) {
                    b.lost = true;
                    if (allow.cancellation() && b.req.spec.idempotency() == Idempotency.READ_LIKE && !b.req.ended) {
                        actions.cancelAttempt(b.req.of.id(), b.req.attempts.indexOf(b));
                    }
                }
            }
        }

        void seeSlots(double s) {
            slots = slots > 0 ? slots + 0.1 * (s - slots) : Math.max(1, s);
            kind.slots = kind.slots > 0 ? kind.slots + 0.05 * (s - kind.slots) : Math.max(1, s);
        }

        /** A job started or went on: its done share leaves the backlog, never by time alone. */
        void ran(Attempt a, double share) {
            if (Double.isNaN(a.startAt)) {
                a.startAt = now;
                outrun(a);
                double running = held.stream()
                        .filter(b -> !Double.isNaN(b.startAt))
                        .mapToDouble(b -> b.req.slots)
                        .sum();
                slots = running > slots() ? running : slots;
                double off = now - a.sentAt - a.wait; // what of the queue was not seen then
                foreign = Math.max(0, foreign + 0.5 * (off - clamp(off, 0, aim / 8)) * cap / meanAll());
                foreignAt = now;
                double newer = Math.max(0.05, 1 - decay((now - kind.unseenAt) * speed / (2 * meanAll())));
                kind.unseen += newer * (foreign * meanAll() / cap - kind.unseen);
                kind.unseenAt = now;
            } else if (share > a.share) {
                learn(a.x * (share - a.share), a.spent());
            }
            a.noteAt = now;
            own -= a.work * Math.max(0, share - a.share);
            a.share = Math.max(share, a.share);
        }

        /** One sample counts as at most four times off: a pause, a hang or a wild hint is not a speed. */
        void learn(double done, double took) {
            if (done > 0 && took > 0) {
                double t = clamp(took * warmth(), done / (4 * speed), 4 * done / speed); // c is given it too
                double keep = decay((now - learnAt) / (2 * horizon)) * Math.exp(-t * speed / (4 * meanAll()));
                learnAt = now; // remembers about four mean jobs
                work = work * keep + done;
                time = time * keep + t;
                double pooled = isCold() ? 0 : 1; // cold runs tell nothing of the kind
                kind.work = kind.work * (1 - 0.02 * pooled) + pooled * done; // and the kind about fifty
                kind.time = kind.time * (1 - 0.02 * pooled) + pooled * t;
                kind.speed = (kind.work + meanAll()) / (kind.time + meanAll());
            }
        }

        /** The one end of every attempt: its work leaves the backlog, unless it may go on unseen. */
        void settled(Attempt a, AttemptOutcome v, double lag) {
            a.over = true;
            a.req.out--;
            a.neverRan = v.provesNeverRan();
            held.remove(a);
            memory = held.isEmpty() ? 0 : memory - a.req.memory;
            if (held.isEmpty()) {
                busy.remove(this);
            }
            double rest = a.work * (1 - a.share);
            inUse = held.isEmpty() ? 0 : inUse - a.req.slots;
            if (!a.neverRan && v != AttemptOutcome.CANCELLED && v != AttemptOutcome.STALE_CONNECTION_RESET && !a.late) {
                tried(a.req.cls, v == AttemptOutcome.SERVED ? 0 : 1);
            }
            own = held.isEmpty() ? 0 : Math.max(0, own - rest);
            switch (v) {
                case SERVED -> {
                    if (!Double.isNaN(a.startAt) || a.free) {
                        compare(this, a.req.logHint, Double.isNaN(a.startAt) ? lag : now - a.startAt);
                    }
                    if (!Double.isNaN(a.startAt)) {
                        learn(a.x * (1 - a.share), a.spent());
                    } else if (a.free && Double.isNaN(service)) {
                        learn(a.x, lag);
                    }
                    alive();
                    carried(a.dialed);
                }
                case CONNECT_FAILED -> unconnected(lag);
                case RESET -> unconnected(0);
                case REJECTED -> rest();
                case TIMED_OUT -> {
                    if (aliveAt < a.sentAt) { // it may hang, or only that connection
                        rest();
                    }
                }
                default -> {}
            }
            refresh();
        }

        /**
         * Departure "failing class": how likely a request of the class is to fail here, by this node's own
         * tries, else by all its tries. Guards against workers that hang, or fail one class or a part of all
         * and serve the rest. It chooses among workers and refuses nothing.
         */
        double failing(int cls) {
            double more = (bad.get(cls) - failed.get(cls)) * decay((now - badAt.get(cls)) / (4 * horizon));
            return failed.get(cls) + (Math.abs(more) > 0.1 ? more : 0); // less is no more than chance
        }

        void tried(int cls, double fail) {
            bad.set(cls, 0.5 * failing(cls) + 0.5 * fail);
            badAt.set(cls, now);
            failed.set(cls, failed.get(cls) + 0.05 * (fail - failed.get(cls))); // about 20 tries; here 2
        }

        void alive() {
            aliveAt = now;
            fails = 0;
            down = false;
        }

        /** Not to be tried again before a while that doubles from one aim while it keeps failing. */
        void rest() {
            tryAt = now + Math.min(horizon / 2, aim * (1 << Math.min(fails++, 5)));
        }

        /**
         * Rule 4: this node's share of the work that a cold worker may be sent, at its kind's usual capacity,
         * as a bucket: filled by half the budget a window, the rest kept for estimates that are off, and
         * holding a quarter of it, or one job where many nodes share. It starts below that, each node's
         * elsewhere, and what is not used within a window is lost: savings must not pile up over nodes, a
         * stall or a restart. Every attempt counts as a mean job at least, refused ones too.
         */
        boolean coldRoom(double x) {
            double weight = Math.max(x, meanAll());
            return !isCold()
                    || saved >= Math.min(weight, coldMost()) && weight <= coldBudget() * set.dispatcherCount() / 2;
        }

        double coldBudget() {
            double sure = Math.min(kind.speed, speed) * slots() * warmth();
            return 0.5 * rules.overloadFactor() * sure * rules.overloadWindowMs() / set.dispatcherCount();
        }

        double coldMost() {
            return Math.max(coldBudget() / 2, meanAll());
        }

        void keep(long key) {
            if (key != 0) {
                kept.put(key, true);
                if (kept.size() > KEPT * slots()) {
                    kept.remove(kept.keySet().iterator().next());
                }
            }
        }

        /** An idle connection stands open, as far as this node's own traffic tells. */
        boolean connected() {
            return now < openUntil && held.size() < conns;
        }

        void carried(boolean dialed) {
            conns = Math.max(now < openUntil ? conns : 0, held.size() + 1);
            openUntil = now + allow.idleConnectionMs();
            if (dialed) {
                dialled(0);
            }
        }

        /**
         * No connection or a broken one: down until a probe or a trial gets through, which is tried at once;
         * cold, should that take long enough for a new start. One connection that breaks is no proof of more:
         * taken for a restart, it would cost a healthy worker's capacity. A slow failure to connect tells of
         * this worker only where others can be connected to.
         */
        void unconnected(double lag) {
            boolean slow = lag > allow.connectTimeoutMs() / 2;
            if (!slow || dialFailures() < 0.25) {
                if (down || !allow.probing()) {
                    cold(now);
                } else {
                    lostAt = now;
                    down = true;
                    probe(this);
                }
            }
            rest();
            dialled(slow ? 1 : 0);
        }
    }

    // ------------------------------------------------------------ value function

    private final DoublesByIndex mean = new DoublesByIndex(),
            seen = new DoublesByIndex(),
            failed = new DoublesByIndex(); // of classes
    private double rate, rateAt = Double.NaN; // offered jobs a millisecond, before refusal
    private double meanX = Double.NaN, meanWorth = Double.NaN, offers, lostShare;
    private double mineAvg, unseenAvg, crowd = 1, scanAt; // crowd: all nodes' load over its own
    private double meanAt = Double.NaN, crammed; // when formed; mean wait, in mean jobs
    private double logMid, hints, hintVar, hintCov, trust = 1; // how far hints are to be believed

    /**
     * Departure "rough hints": small hints run longer than told and large ones shorter; slow workers, given
     * the small ones, would look ever slower and fast ones ever faster. The slope of log run time on log
     * hint, within each worker, says how much of a hint's distance from the middle is real. Starts at one,
     * worth ten jobs.
     */
    private void compare(Worker w, double logHint, double run) {
        if (!Double.isNaN(logHint) && run > 0 && run < 1e3 * horizon) {
            double logRun = Math.log(run), step = 1 / Math.min(++w.runs, 20);
            double dx = logHint - w.logHint, dt = logRun - w.logRun;
            w.logHint += step * dx;
            w.logRun += step * dt;
            if (w.runs > 1) {
                hintVar = 0.995 * hintVar + dx * dx;
                hintCov = 0.995 * hintCov + dx * dt;
                trust = clamp((hintCov + 10) / (hintVar + 10), 0.2, 1);
            }
        }
    }

    private double meanAll() {
        return offers > 0 ? meanX : aim;
    }

    /** Counts an offered request: sizes, rate, and the shadow queue under the basic rule, which yields r. */
    private void offered(Req q) {
        if (q.x > 0) {
            q.logHint = Math.log(q.x);
            logMid += (q.logHint - logMid) / Math.min(++hints, 200);
            q.x = Math.exp(logMid + trust * (q.logHint - logMid));
            seen.set(q.cls, Math.min(seen.get(q.cls) + 1, 200));
            mean.set(q.cls, mean.get(q.cls) + (q.x - mean.get(q.cls)) / seen.get(q.cls));
        } else {
            q.x = mean.get(q.cls) > 0 ? mean.get(q.cls) : meanAll();
        }
        double worth = q.spec.priorityWeight() * (set.weightPerWork() ? q.x : 1);
        double step = Math.max(0.01, 1 / ++offers); // a plain mean first, forgetting later
        meanX = offers == 1 ? q.x : meanX + step * (q.x - meanX);
        meanWorth = offers == 1 ? worth : meanWorth + step * (worth - meanWorth);
        q.weight = clamp(worth / Math.max(meanWorth, 1e-9), 0.05, 50) * q.of.weightFactor();
        if (offers > 1 && !set.isFirstAttempt(q.cls, q.deadline - now)) {
            return; // a client's later try: offered before
        }
        rate = (Double.isNaN(rateAt) ? 0 : rate * Math.exp((rateAt - now) / horizon)) + 1 / horizon;
        rateAt = now;
        double pick = random.nextDouble() * workers.total(); // the paper's load-balanced random split
        int i = 0;
        while (i < workers.size() - 1 && (pick -= workers.share(i)) >= 0) {
            i++;
        }
        if (i < workers.size()) {
            Worker w = workers.get(i);
            double u = Math.max(0, w.shadow - (now - w.shadowAt) / crowd);
            int lost = u > tau(q) ? 1 : 0;
            w.shadow = u + (1 - lost) * q.x * q.slots / w.cap;
            w.shadowAt = now;
            w.shadowSeen = w.shadowSeen * 0.98 + 1;
            w.shadowLost = w.shadowLost * 0.98 + lost;
            lostShare += 0.02 * (lost - lostShare);
        }
    }

    /** The waiting-time aim of a class: its aim plus (stretch - 1) typical run times, within the deadline. */
    private double tau(Req q) {
        double m = mean.get(q.cls) > 0 ? mean.get(q.cls) : meanAll();
        return clamp(
                q.spec.latencyObjectiveMs() + (q.spec.stretchFactor() - 1) * m,
                q.spec.latencyObjectiveMs() / 4,
                q.spec.deadlineMs());
    }

    /** v(u + g) - v(u) of a worker; its lost share leans on the fleet's, worth ten jobs, against noise. */
    private double increase(Worker w, double u, double g, double tau) {
        double lambda = Math.max(rate, 1 / horizon) * crowd * w.cap / Math.max(workers.total(), w.cap);
        double r = lambda * (w.shadowLost + 10 * lostShare) / (w.shadowSeen + 10);
        double s = meanAll() / w.cap;
        return ValueFunction.value(lambda, r, s, tau, u + g) - ValueFunction.value(lambda, r, s, tau, u);
    }

    // ------------------------------------------------------------ request

    private final class Attempt {
        final Req req;
        final Worker worker;
        final double x, work, sentAt, due; // work: all that it keeps from others
        final boolean free, dialed; // to a free slot; over a new connection
        final double fetch, wait; // both as estimated when it was sent
        double startAt = Double.NaN, noteAt, share;
        boolean over, neverRan, late, lost; // late: counted as failed; lost: unheard of

        /** Time since the last note, without what the fetch is likely to have taken of it. */
        double spent() {
            double took = now - noteAt;
            return share > 0 ? took : Math.max(took / 2, took - fetch);
        }

        Attempt(Req req, Worker worker) {
            this.req = req;
            this.worker = worker;
            x = req.x;
            fetch = fetch(req, worker);
            work = (x + fetch * worker.speed) * req.slots;
            sentAt = now;
            free = worker.free(req);
            dialed = !worker.connected();
            wait = free ? 0 : worker.u;
            due = now + wait + x / worker.speed + fetch;
        }
    }

    private final class Req {
        final PolicyRequest of; // as it was taken
        final int cls, tries; // tries: attempts at most
        final RequestClass spec; // both as when it was taken
        final double arrived, deadline, slots, memory;
        final List<Attempt> attempts = new ArrayList<>(2);
        final List<Worker> asked = new ArrayList<>(LOOKS); // probed for it
        final List<Worker> unheard = new ArrayList<>(LOOKS); // of these, not answered yet
        long key; // hash of what it concerns; 0: nothing
        Worker home, second; // where its key belongs, by hash
        double x, weight, logHint = Double.NaN; // hinted work; worth over the mean's
        int out, rounds; // attempts out; looks taken
        boolean ended, streaming;

        double rank(Worker w) {
            return mix(key ^ w.idHash) >>> 1;
        }

        Req(PolicyRequest r) {
            of = r;
            cls = r.classIndex();
            PolicySettings under = r.acceptedSettings() == null ? set : r.acceptedSettings();
            spec = under.classes().get(cls);
            tries = under.permissions().maxAttempts();
            arrived = now;
            deadline = r.deadlineUs() / 1000.0;
            x = r.workHintMs() > 1e-4 * aim && r.workHintMs() < 1e3 * spec.deadlineMs() ? r.workHintMs() : Double.NaN;
            memory = r.memoryUnits() > 0 && r.memoryUnits() < 1000 ? r.memoryUnits() : 0;
            slots = r.slots() > 0 && r.slots() < 1000 ? r.slots() : 1;
            key = r.affinityKey() == null || r.affinityKey().isEmpty() ? 0 : hash(r.affinityKey()) | 1;
        }

        /** Rules 1 and 2: may it be sent to w, as far as it and its earlier attempts go? */
        boolean legal(Worker w) {
            if (ended || streaming || now >= deadline || out > 0 || attempts.size() >= tries) {
                return false;
            }
            for (Attempt a : attempts) {
                if (!a.neverRan
                        && (!spec.mayRepeatAfter(now - a.sentAt)
                                || spec.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                        && (spec.deduplicationScope() == DeduplicationScope.ZONE
                                                        && a.worker.zone != w.zone
                                                || spec.deduplicationScope() == DeduplicationScope.CELL
                                                        && a.worker.cell != w.cell))) {
                    return false;
                }
            }
            return true;
        }

        boolean refusable() {
            return spec.idempotency() == Idempotency.READ_LIKE
                    || spec.idempotency() == Idempotency.IDEMPOTENCY_KEY
                            && spec.deduplicationScope() == DeduplicationScope.ALL
                    || attempts.stream().allMatch(a -> a.neverRan);
        }

        /** The one exit of every request that this node ends: refused where that is legal, else failed. */
        void stop(RejectionReason why) {
            if (refusable() && now < deadline) {
                actions.reject(of.id(), Math.min(Math.max(soonest, aim / 2), allow.maxRetryAfterMs()), why);
            } else {
                actions.fail(of.id(), why);
            }
            end();
        }

        void end() {
            ended = true;
            parked.remove(this);
            looks.remove(this);
            forget();
        }

        void forget() {
            if (ended && out == 0) {
                open.remove(of.id());
            }
        }
    }

    // ------------------------------------------------------------ placement

    private static final double REFUSED = Double.MAX_VALUE; // dearer than a refusal; infinite: barred
    private Req priced; // the request of these costs
    private boolean allowed; // any of them is finite

    /**
     * Every send passes here: rules 1 and 2 (legal), 3 (only workers listed as active), 4 (coldRoom). A list that is
     * not confirmed may name servers whose removal counts as notified, so its freshness is asked at every send.
     */
    private boolean gate(Req q, Worker w) {
        return w.health == EndpointLifecycle.ACTIVE
                && freshness.usable(now)
                && (q.spec.requiredWorkerKind() < 0 || q.spec.requiredWorkerKind() == w.kindNo)
                && Math.max(q.slots, q.memory) <= Math.max(1, w.slots())
                && q.of.mayGoTo(w.id)
                && q.legal(w)
                && w.coldRoom(q.x);
    }

    /** On the ordinary path: neither down nor resting. */
    private boolean ready(Worker w) {
        return !w.down && now >= w.tryAt;
    }

    /** Whether a request may be sent by the list at this moment, which may be later than its choice. */
    public boolean endpointListUsable(long nowUs) {
        return freshness.usable(nowUs / 1000.0);
    }

    /** How many listed workers get nothing new at present: leaving, down or resting. */
    public int avoidedWorkers() {
        return (int) workers.all().stream()
                .filter(w -> w.health != EndpointLifecycle.ACTIVE || !ready(w))
                .count();
    }

    /** Rule (25): the least cost over the ready workers, or any legal one where none is; refusal at one. */
    private void place(Req q) {
        if (priced != q) {
            priceAll(q, false);
        }
        Worker best = workers.cheapest(REFUSED), seen = workers.cheapest(q.asked, REFUSED);
        boolean sure = seen != null && seen.free(q) && late(q, seen, 0) < 0.5;
        if (best != null && !sure && look(q, best)) {
            return;
        }
        if (!allowed) {
            priceAll(q, true);
            best = workers.cheapest(REFUSED);
        }
        priced = null;
        q.asked.clear();
        if (best != null) {
            send(q, seen == null ? best : seen);
        } else {
            RejectionReason why = refusal(q);
            if (why == null) {
                parked.add(q); // no legal worker: a bounded wait
            } else {
                q.stop(why); // also where none can be legal any more
            }
        }
    }

    /** Why no attempt is made for a request for which there is no worker now; null: it may wait for one. */
    private RejectionReason refusal(Req q) {
        if (allowed) {
            return RejectionReason.OVERLOADED;
        } else if (q.attempts.size() >= q.tries) {
            return RejectionReason.ATTEMPTS_USED;
        } else if (q.spec.idempotency() == Idempotency.NON_IDEMPOTENT && !q.refusable()) {
            return RejectionReason.MAY_HAVE_RUN;
        } else if (now < q.deadline - 2 * period && now - q.arrived < q.spec.latencyObjectiveMs()) {
            return null;
        } else if (now >= q.deadline - 2 * period) {
            return RejectionReason.OUT_OF_TIME;
        }
        return freshness.usable(now) ? RejectionReason.NO_SERVER : RejectionReason.LIST_NOT_CONFIRMED;
    }

    private static final int LOOKS = 3, ROUNDS = 2;
    private final List<Req> looks = new ArrayList<>(); // requests that wait for probes

    /**
     * Departure "look": where others push most of the load, own pushes do not mirror it, so a worker is
     * probed before it is chosen: the three cheapest by rule (25) at once, twice at most, and the rule
     * decides on the answers. One that does not answer in an eighth of the aim rests, whatever its reason.
     */
    private boolean look(Req q, Worker best) {
        if (!allow.probing() || crowd < 8 || now - best.reportAt < aim / 8 || q.rounds >= ROUNDS) {
            return false;
        }
        q.rounds++;
        for (int i = 0; i < LOOKS && best != null; i++) {
            if (now - best.reportAt >= aim / 8) {
                probe(best);
                q.asked.add(best);
                q.unheard.add(best);
            }
            workers.cost(best, REFUSED); // until it has answered
            best = workers.cheapest(REFUSED);
        }
        looks.add(q);
        actions.scheduleTimer(aim / 8, q.of.id() + 1 + TICK);
        return true;
    }

    /** The look is over: rule (25) decides, or asks for another one. */
    private void looked(Req q) {
        if (q != null && stalledAt > q.arrived && !q.unheard.isEmpty()) {
            stalledAt = Double.NEGATIVE_INFINITY; // the answers may stand behind this timer
            actions.scheduleTimer(set.tickMs(), q.of.id() + 1 + TICK);
        } else if (q != null && looks.remove(q)) {
            q.unheard.forEach(Worker::rest);
            q.unheard.clear();
            if (priced == q) {
                q.asked.forEach(w -> workers.cost(w, price(q, w, false)));
                priced = workers.cheapest(REFUSED) == null ? null : q; // none left: seen anew
            }
            place(q);
        }
    }

    private double dialShare, dialAt; // of new connections, how many failed slowly

    private void dialled(double failed) {
        dialShare = 0.9 * dialFailures() + 0.1 * failed; // about ten dials
        dialAt = now;
    }

    private double dialFailures() {
        return dialShare * decay((now - dialAt) / horizon);
    }

    private void priceAll(Req q, boolean any) {
        priced = q;
        allowed = false;
        homes(q);
        for (Worker w : workers.all()) {
            workers.cost(w, price(q, w, any));
            allowed |= workers.cost(w) < Double.POSITIVE_INFINITY;
        }
    }

    /** The cost of rule (25): d plus the increase of v, against refusal at one. */
    private double price(Req q, Worker w, boolean any) {
        if (!any && !ready(w) || !gate(q, w)) {
            return Double.POSITIVE_INFINITY;
        }
        // Departure "memory": a job starts at once only where its memory has room too, by pushes and report.
        boolean fits = q.memory == 0
                || q.memory + w.memory + w.foreignMemory * decay((now - w.reportAt) / meanAll()) <= w.slots();
        double d = late(q, w, !fits ? Math.max(w.u, meanAll() / w.cap) : w.free(q) ? 0 : w.u);
        // Departure "late worth": an answer past the aim but before the deadline keeps that share.
        d *= now + w.u + q.x / w.speed < q.deadline ? 1 - q.spec.lateWeightShare() : 1;
        // Departure "worth": the increase counts mean jobs; set against refusing this one, at one.
        double tau = tau(q), g = (q.x + fetch(q, w) * w.speed) * q.slots / w.cap;
        double cost = d + increase(w, w.u, g, tau) / q.weight;
        // Departure "crossing": its price chooses among workers but refuses nothing by itself.
        double toll = w.zone == set.zone() ? 0 : set.crossZoneCost() / q.weight;
        // Departure "open connections": so does the time that a new one is likely to lose.
        toll += dialShare < 1e-3 || w.connected() ? 0 : dialFailures() * allow.connectTimeoutMs() / tau;
        // Departure "trial": who sends nothing learns nothing, and would refuse all for as long as it lasts.
        return cost < 1 || now - lastSent > horizon / 2 ? cost + toll + w.failing(q.cls) : REFUSED;
    }

    /** d of rule (25), departure "own aim": its own hinted run against its own aim; 0 to 1, as hints are rough. */
    private double late(Req q, Worker w, double wait) {
        double left = Math.min(
                q.spec.latencyObjectiveMs() + q.spec.stretchFactor() * q.x - (now - q.arrived), q.deadline - now);
        double takes = wait + q.x / w.speed + fetch(q, w);
        return clamp(0.5 + 2 * (takes - left) / takes, 0, 1);
    }

    /**
     * Departure "key": a miss is priced as this many mean jobs. Its own wait is under one, but it also takes of the
     * store that all share and drives out a set that others will miss. From a mean wait of one mean job on no slot is
     * free and those it holds are missed, at two it costs CRAMMED more. HOME, OTHER and SECOND: how likely a miss is at
     * the key's home, where it went from here lately, and at its second choice. KEPT: data sets a worker keeps a slot.
     */
    private static final double FETCH = 3, CRAMMED = 3, HOME = 0.1, OTHER = 0.2, SECOND = 0.5, KEPT = 1.4;

    /** Highest random weight: all nodes find the same home for a key without a word between them. */
    private void homes(Req q) {
        q.home = null;
        q.second = null;
        for (Worker w : q.key != 0 ? workers.all() : List.<Worker>of()) {
            if (w.health == EndpointLifecycle.ACTIVE && !w.down && q.of.mayGoTo(w.id)) {
                if (q.home == null || q.rank(w) > q.rank(q.home)) {
                    q.second = q.home;
                    q.home = w;
                } else if (q.second == null || q.rank(w) > q.rank(q.second)) {
                    q.second = w;
                }
            }
        }
    }

    /** The price of the data set that a job may have to wait for at w, holding its slots, as time. */
    private double fetch(Req q, Worker w) {
        double miss = w == q.home ? HOME : w.kept.containsKey(q.key) ? OTHER : w == q.second ? SECOND : 1;
        return q.key == 0 ? 0 : (FETCH + CRAMMED * clamp(crammed - 1, 0, 1)) * miss * meanAll();
    }

    private double lastSent = Double.NEGATIVE_INFINITY;

    private void send(Req q, Worker w) {
        lastSent = now;
        Attempt a = new Attempt(q, w);
        if (w.held.isEmpty()) {
            busy.add(w);
        }
        q.attempts.add(a);
        q.out++;
        w.held.add(a);
        w.own += a.work;
        w.inUse += q.slots;
        w.keep(q.key);
        w.memory += q.memory;
        w.saved -= Math.max(a.x, meanAll());
        w.refresh();
        actions.sendAttempt(q.of.id(), w.id);
    }

    // ------------------------------------------------------------ upkeep: silence, probes

    private final List<Worker> busy = new ArrayList<>(); // those that hold work from here
    private double soonest, tickAt = Double.POSITIVE_INFINITY, stalledAt = Double.NEGATIVE_INFINITY;

    /** Brings all workers up to date: once for each look at the fleet, never by the clock alone. */
    private void scan() {
        if (now - scanAt < aim / 8) {
            return; // fresh enough: its own events are in
        }
        double mine = 0, unseen = 0, waits = 0, ready = 0;
        soonest = allow.maxRetryAfterMs();
        for (Worker w : workers.all()) {
            w.refresh();
            workers.share(w, w.usable());
            if (w.health == EndpointLifecycle.ACTIVE) {
                soonest = ready(w) ? Math.min(soonest, w.u) : soonest;
                waits += ready(w) ? w.u : 0;
                ready += ready(w) ? 1 : 0;
                mine += w.down ? 0 : w.own;
                unseen += w.down ? 0 : w.extra;
                if (w.down && now >= w.tryAt) {
                    w.rest();
                    probe(w);
                }
            }
        }
        workers.sum();
        double step = clamp((now - meanAt) / horizon, 0, 1); // at first one among nodes of its own size
        unseenAvg = Double.isNaN(meanAt) ? (set.dispatcherCount() - 1) * meanAll() / 2 : unseenAvg;
        scanAt = meanAt = now;
        crammed += step * (waits / Math.max(1, ready) / meanAll() - crammed);
        mineAvg += step * (mine - mineAvg);
        unseenAvg += step * (unseen - unseenAvg);
        crowd = clamp(1 + unseenAvg / Math.max(mineAvg, meanAll() / 2), 1, set.dispatcherCount());
    }

    private void upkeep() {
        freshness.usable(now); // so that its end is told in time
        askInTurn();
        for (Worker w : busy) {
            for (Attempt a : w.held) {
                if (!a.late && overdue(a)) {
                    a.late = true;
                    w.tried(a.req.cls, 1);
                }
            }
        }
        placeParked();
    }

    /**
     * This node's next place in the fleet's round of calls, by the clock that all machines read. Calls drawn at random
     * come faster than discovery answers whole lists: it then works for callers that have given up, and for ever so.
     */
    private double slotAfter(double from, double round) {
        return from + Math.floorMod(Math.round(turn(round) - from), Math.round(round));
    }

    /** When it is this node's turn, where all share a time. */
    private double turn(double time) {
        return time * (set.dispatcherIndex() % set.dispatcherCount()) / set.dispatcherCount();
    }

    private void askInTurn() {
        if (now >= watchAt && set.pollsDiscovery()) {
            actions.watchEndpointList();
            askedAt = now;
            watchAt = now + rules.maxListAgeMs() / 2; // no answer by then: ask again
        }
    }

    private void placeParked() {
        if (!parked.isEmpty()) {
            List<Req> waiting = List.copyOf(parked);
            parked.clear();
            scan();
            waiting.forEach(this::place);
        }
    }

    /**
     * A start, progress or an answer overdue by as long again as it should have taken counts as failed, once.
     * Catches hangs, cut links, stopped processes, a harsh slowing. Could harm when hints are far too low:
     * then many look so, and all alike. What this node slept through itself does not count.
     */
    private boolean overdue(Attempt a) {
        double grace = a.due - a.sentAt, expect = a.due + grace;
        if (set.workersReportStart() && Double.isNaN(a.startAt)) {
            expect = a.due + Math.max(set.progressIntervalMs(), grace);
        } else if (set.workersReportStart() && set.progressIntervalMs() > 0) {
            expect = Math.min(expect, a.noteAt + set.progressIntervalMs());
        }
        return now - aim - meanAll() / a.worker.speed > Math.max(expect, stalledAt);
    }

    private void probe(Worker w) {
        if (!w.probing) {
            actions.probe(w.id);
        }
        w.probing = true;
    }
}

package maplespread.partition.client;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.Supplier;
import maplespread.caller.RequestSequencer;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.http.HttpWriter;
import maplespread.log.Event;
import maplespread.partition.FencingCheck;
import maplespread.partition.LeaseSettings;
import maplespread.partition.Partition;
import maplespread.partition.PerKeyQueue;
import maplespread.partition.RequestAttributes;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableTransition;
import maplespread.partition.Rule;
import maplespread.partition.SlotAssignment;
import maplespread.worker.PeerForwarder;

/**
 * Gives jobs their turn: the fence, the tables and the lines of keys under one lock, which is held for
 * moments only; jobs wait on the threads that they have anyway, and are handed on from there.
 */
final class OrderedDispatch implements RequestSequencer, PerKeyQueue.Callbacks {
    private static final double PAUSE_MS = 250; // advised to who is refused
    private static final double SOON_MS = 100; // where another one may serve at once
    private static final long LOOK_MS = 10; // at what may have changed elsewhere

    /** What it needs of the fleet. */
    interface ClusterOperations {
        /** Where a member takes jobs; null: not known. Does not wait. */
        String address(String member);

        /** Has it stored that the key is stopped; false: that is not known. Waits: not under the lock. */
        boolean stop(String key, long waitMs);

        /** The longest pause that clients may be advised. */
        double mostPauseMs();
    }

    /** A job from when it came to when it is sent or answered; under the lock but for the hand-over. */
    private final class PendingRequest {
        final SequencedRequest job;
        final RequestAttributes attributes;
        final double workMs;
        final long deadline;
        volatile boolean left;
        OrderedRequest waits; // in a line; null: in none
        String to; // where it is handed on; null: nowhere
        String owner; // that is there, of this slot
        int slot;
        long epoch; // under which it is
        int tries;

        PendingRequest(SequencedRequest job) {
            this.job = job;
            String path = job.message().target();
            int query = path.indexOf('?');
            attributes = new RequestAttributes(
                    job.message().lane(),
                    job.tenant(),
                    job.entity(),
                    query < 0 ? path : path.substring(0, query),
                    job.labels());
            double work = job.request().workMs();
            workMs = work > 0 ? work : 0;
            deadline = now() + job.remainingMs();
        }

        boolean handed() {
            return job.forwardedBy() != null;
        }

        /** Whether whoever handed it on knows of a later epoch than this one. */
        boolean ahead(long known) {
            String[] words = job.forwardedBy().split(" ");
            return words.length > 1 && words[1].matches("[0-9]{1,18}") && Long.parseLong(words[1]) > known;
        }

        long leftMs() {
            return deadline - now();
        }

        boolean late() {
            return leftMs() <= workMs;
        }
    }

    /** A job that is this member's to send. */
    private final class OrderedRequest implements Permit {
        final long id;
        final PendingRequest visit;
        final Rule rule;
        final String key;
        final long since; // of its slot, when it was taken
        final Condition word = lock.newCondition();
        boolean sent;
        PerKeyQueue.Rejection answer;
        long tablesSeen; // by which the next two were found
        boolean sameKey = true;
        long from;
        volatile boolean ran, lingers, failed;

        OrderedRequest(PendingRequest visit, RoutingTableTransition.RoutingDecision place, long since) {
            id = ++ids;
            this.visit = visit;
            rule = place.rule();
            key = place.key();
            from = place.sendAllowedFrom();
            tablesSeen = tablesLearned;
            this.since = since;
        }

        /** From when on it may be sent; under the lock. */
        long from(long now) {
            if (tablesSeen != tablesLearned) {
                RoutingTableTransition.RoutingDecision p = tables.decide(now, visit.attributes);
                sameKey = key.equals(p.key());
                from = p.sendAllowedFrom();
                tablesSeen = tablesLearned;
            }
            return sameKey
                    ? Math.max(
                            from, fence.sendAllowedFrom(now, fence.assignment().slotOf(key), since))
                    : FencingCheck.NEVER;
        }

        @Override
        public boolean isValid() {
            lock.lock();
            try {
                long now = now();
                return from(now) <= now;
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void attemptCompleted(Outcome how) {
            boolean never = how == Outcome.REJECTED || how == Outcome.CONNECT_FAILED || how == Outcome.NEVER_SENT;
            ran |= !never;
            failed |= how == Outcome.ERROR;
            lingers |= !never && how != Outcome.SERVED && how != Outcome.ERROR;
        }

        @Override
        public Completion release(boolean served) {
            PerKeyQueue.ExecutionResult how = served
                    ? lingers ? PerKeyQueue.ExecutionResult.DONE_ATTEMPT_MAY_RUN : PerKeyQueue.ExecutionResult.DONE
                    : lingers
                            ? PerKeyQueue.ExecutionResult.UNKNOWN
                            : failed ? PerKeyQueue.ExecutionResult.FAILED : PerKeyQueue.ExecutionResult.NEVER_RAN;
            boolean stop;
            lock.lock();
            try {
                mine.remove(id);
                queue.complete(now(), id, how);
                stop = how == PerKeyQueue.ExecutionResult.FAILED
                        && queue.unstoredStops().contains(key)
                        && storing.add(key);
                due();
            } finally {
                lock.unlock();
            }
            if (stop && !stored(key, Math.max(1, visit.leftMs()))) {
                return Completion.IN_DOUBT;
            }
            return !ran
                    ? Completion.NEVER_RAN
                    : how == PerKeyQueue.ExecutionResult.UNKNOWN ? Completion.IN_DOUBT : Completion.ENDED;
        }

        @Override
        public FinalResponse permitLostResponse() {
            return refused("moved", SOON_MS, !visit.handed());
        }
    }

    /** A job of no order: its rule says only where it may go. */
    private static final Permit FREE = new Permit() {
        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void attemptCompleted(Outcome how) {}

        @Override
        public Completion release(boolean served) {
            return Completion.ENDED;
        }

        @Override
        public FinalResponse permitLostResponse() {
            return null;
        }
    };

    private final String name;
    private final LeaseSettings set;
    private final PartitionEndpoints fleet;
    private final PeerForwarder relay;
    private final ClusterOperations others;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition(); // lease, owners or tables
    private final Condition dueSooner = lock.newCondition();
    private final PerKeyQueue queue;
    private final Map<Long, OrderedRequest> mine = new HashMap<>(); // waiting or out
    private final Map<InFlightRequest, PendingRequest> open = new IdentityHashMap<>();
    private final Set<String> storing = new HashSet<>(); // keys whose stop is under way
    private FencingCheck fence; // null: not in the group yet
    private String member = "";
    private RoutingTableTransition tables; // null: none agreed on
    private RoutingTable table; // the one that counts, else the file's
    private long ids;
    private long tablesLearned;
    private boolean leased;
    private long dueAt = Long.MAX_VALUE;

    /** {@code file}: the table while none is agreed on. */
    OrderedDispatch(
            String name,
            LeaseSettings set,
            RoutingTable file,
            PartitionEndpoints fleet,
            PeerForwarder relay,
            ClusterOperations others) {
        this.name = name;
        this.set = set;
        this.table = file;
        this.fleet = fleet;
        this.relay = relay;
        this.others = others;
        queue = new PerKeyQueue(set, this);
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private <T> T locked(Supplier<T> work) {
        lock.lock();
        try {
            return work.get();
        } finally {
            lock.unlock();
        }
    }

    // ------------------------------------------------------------ jobs

    @Override
    public SequencingResult acquire(SequencedRequest job) throws InterruptedException {
        PendingRequest v = new PendingRequest(job);
        locked(() -> open.put(job.request(), v));
        try {
            while (true) {
                SequencingResult turn = here(v);
                turn = turn == null ? elsewhere(v) : turn;
                if (turn != null) {
                    return turn;
                }
            }
        } finally {
            locked(() -> open.remove(job.request()));
        }
    }

    @Override
    public void clientLeft(InFlightRequest t) {
        PendingRequest v = locked(() -> {
            PendingRequest found = open.get(t);
            if (found != null) {
                found.left = true;
                if (found.waits != null) {
                    found.waits.word.signal();
                }
            }
            return found;
        });
        if (v != null) {
            relay.cancel(v);
        }
    }

    /** What becomes of the job as far as this member goes; null: it is to be handed on. */
    private SequencingResult here(PendingRequest v) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (!v.left) {
                long now = now();
                RoutingTableTransition.RoutingDecision p = tables == null ? null : tables.decide(now, v.attributes);
                Rule rule = p == null ? table.decide(v.attributes) : p.rule();
                if (!rule.isOrdered()) {
                    return v.handed() ? moved() : free(v, rule);
                }
                if (rule.keyOf(v.attributes) == null) {
                    return said(400, List.of(), "it lacks " + rule.key() + ", by which it is ordered", true);
                }
                String why = "no-lease";
                if (p != null) {
                    SlotAssignment owners = fence.assignment();
                    int place = owners.slotOf(p.key());
                    SlotAssignment.Slot slot = owners.slots().get(place);
                    boolean own = slot.owner().equals(member);
                    if (v.handed() && (!own || v.ahead(owners.epoch()))) {
                        return moved();
                    }
                    if (own && fence.sendAllowedFrom(now, place, slot.ownedSinceEpoch()) != FencingCheck.NEVER) {
                        SequencingResult turn = line(v, p, slot.ownedSinceEpoch());
                        if (turn != null) {
                            return turn;
                        }
                        continue; // it moved meanwhile: taken anew
                    }
                    v.to = own || slot.owner().isEmpty() ? null : others.address(slot.owner());
                    v.owner = slot.owner();
                    v.slot = place;
                    v.epoch = owners.epoch();
                    why = own || slot.owner().isEmpty() ? why : "moved";
                }
                if (v.handed()) {
                    return moved();
                }
                if (v.late()) {
                    return refused(why, SOON_MS, true);
                }
                if (v.to != null) {
                    return null;
                }
                changed.await(LOOK_MS, TimeUnit.MILLISECONDS);
            }
            return new ClientLeft();
        } finally {
            lock.unlock();
        }
    }

    /** Waits in the line of its key; null: its slot went to another member before its turn. */
    private SequencingResult line(PendingRequest v, RoutingTableTransition.RoutingDecision p, long since)
            throws InterruptedException {
        PartitionEndpoints.PartitionWorkers workers =
                fleet.workersOf(table.partitions().get(p.rule().partition()));
        if (!workers.hasServingWorker()) {
            return refused("no-worker", PAUSE_MS, true);
        }
        long now = now();
        OrderedRequest m = new OrderedRequest(v, p, since);
        mine.put(m.id, m);
        v.waits = m;
        try {
            queue.enqueue(now, new PerKeyQueue.QueuedRequest(m.id, m.key, m.rule, v.workMs, v.deadline, now));
            due();
            while (!m.sent && m.answer == null && !v.left) {
                m.word.await();
            }
        } finally {
            v.waits = null;
            if (!m.sent) {
                queue.cancel(now(), m.id);
                mine.remove(m.id);
                due();
            }
        }
        if (m.sent) {
            v.job.request().restrict(workers, m::isValid);
            return m;
        }
        if (v.left) {
            return new ClientLeft();
        }
        return switch (m.answer) {
            case MOVED -> v.handed() ? moved() : null;
            case STOPPED -> said(409, List.of(), m.key + " is stopped until it is started", "stopped");
            default -> refused(m.answer.name().toLowerCase(Locale.ROOT), PAUSE_MS, true);
        };
    }

    /** To the rule's partition, or where that has no worker to the first one of its spill that has. */
    private SequencingResult free(PendingRequest v, Rule rule) {
        List<String> ways = new ArrayList<>(List.of(rule.partition()));
        ways.addAll(rule.spill());
        String way = ways.stream()
                .filter(w -> fleet.workersOf(table.partitions().get(w)).hasServingWorker())
                .findFirst()
                .orElse(rule.partition());
        v.job.request().restrict(fleet.workersOf(table.partitions().get(way)), null);
        return FREE;
    }

    /** Hands the job on, not under the lock; null: it was not taken there, and may be looked at again. */
    private SequencingResult elsewhere(PendingRequest v) throws InterruptedException {
        HttpWriter request = HttpWriter.request(
                        v.job.message().method(), v.job.message().target(), v.to)
                .field("X-Txn", v.job.message().id())
                .field("X-Remaining-Ms", Long.toString(Math.max(1, v.leftMs())))
                .field(FORWARDED_BY_HEADER, name + ' ' + v.epoch);
        v.job.fields().forEach(f -> request.field(f[0], f[1]));
        PeerForwarder.Result end = relay.run(v, v.to, request, v.job.message().body(), Math.max(1, v.leftMs()));
        if (v.left) {
            return new ClientLeft();
        }
        boolean moved = end.status() == PeerForwarder.Status.NOT_SENT
                || end.httpStatus() == 503 && "moved".equals(field(end, ORDER_REASON_HEADER));
        if (end.status() == PeerForwarder.Status.LOST) {
            return said(502, List.of(), "handed on, and not heard of again: it may have run", "in-doubt");
        }
        if (!moved) {
            List<String[]> fields = new ArrayList<>();
            for (String kept : new String[] {ORDER_REASON_HEADER, "Retry-After", "Allow"}) {
                if (field(end, kept) != null) {
                    fields.add(new String[] {kept, field(end, kept)});
                }
            }
            return new FinalResponse(end.httpStatus(), fields, end.body(), true);
        }
        v.to = null;
        lock.lockInterruptibly();
        try { // until who owns it is agreed on anew
            changed.await(Math.min(LOOK_MS << Math.min(v.tries++, 3), Math.max(1, v.leftMs())), TimeUnit.MILLISECONDS);
        } finally {
            lock.unlock();
        }
        return null;
    }

    private static String field(PeerForwarder.Result end, String name) {
        return end.fields().stream()
                .filter(f -> f[0].equalsIgnoreCase(name))
                .map(f -> f[1])
                .findFirst()
                .orElse(null);
    }

    /** Not taken here: whoever handed it on looks again. */
    private FinalResponse moved() {
        return refused("moved", SOON_MS, false);
    }

    private FinalResponse refused(String why, double pauseMs, boolean taken) {
        List<String[]> fields = new ArrayList<>(List.<String[]>of(new String[] {ORDER_REASON_HEADER, why}));
        double pause = Math.min(pauseMs, others.mostPauseMs());
        if (pause > 0) {
            fields.add(new String[] {"Retry-After", String.format(Locale.ROOT, "%.3f", pause / 1000)});
        }
        return said(503, fields, why, taken);
    }

    private static FinalResponse said(int status, List<String[]> fields, String text, String why) {
        List<String[]> all = new ArrayList<>(fields);
        all.add(new String[] {ORDER_REASON_HEADER, why});
        return said(status, all, text, true);
    }

    private static FinalResponse said(int status, List<String[]> fields, String text, boolean taken) {
        return new FinalResponse(status, fields, (text + "\n").getBytes(StandardCharsets.UTF_8), taken);
    }

    // ------------------------------------------------------------ the lines, under the lock

    @Override
    public long sendAllowedFrom(PerKeyQueue.QueuedRequest job) {
        return mine.get(job.id()).from(now());
    }

    @Override
    public void send(PerKeyQueue.QueuedRequest job) {
        OrderedRequest m = mine.get(job.id());
        m.sent = true;
        m.word.signal();
    }

    @Override
    public void reject(PerKeyQueue.QueuedRequest job, PerKeyQueue.Rejection why) {
        OrderedRequest m = mine.get(job.id());
        m.answer = why;
        m.word.signal();
    }

    /** After whatever may have changed what is due when. */
    private void due() {
        long at = queue.runDue(now());
        if (at < dueAt) {
            dueAt = at;
            dueSooner.signal();
        }
    }

    /** Does what is due, on a thread for that alone. */
    void tick() throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (true) {
                dueAt = queue.runDue(now());
                dueSooner.await(Math.max(1, Math.min(1000, dueAt - now())), TimeUnit.MILLISECONDS);
            }
        } finally {
            lock.unlock();
        }
    }

    // ------------------------------------------------------------ what the fleet agrees on

    /** This one is in the group now, as this member. */
    void joined(String as, int slots) {
        locked(() -> {
            member = as;
            fence = new FencingCheck(set, as, SlotAssignment.initial(slots, "", 0));
            return null;
        });
    }

    /** A value that was agreed on, with its tables; false: it is not news. */
    boolean learned(SlotAssignment next, RoutingTable now, RoutingTable before) {
        boolean news = took(next, now, before);
        if (news) {
            // Silent, and now gone: its answers are in doubt, whether waited for or not.
            locked(() -> open.values().stream()
                            .filter(v -> v.to != null
                                    && v.slot < next.slots().size()
                                    && next.slots().get(v.slot).previousOwners().getOrDefault(v.owner, 0L) > 0)
                            .toList())
                    .forEach(relay::cancel);
        }
        return news;
    }

    private boolean took(SlotAssignment next, RoutingTable now, RoutingTable before) {
        return locked(() -> {
            long at = now();
            long runsMs = RoutingTableTransition.maxRunMs(now, before);
            if (!fence.learn(at, next, runsMs)) {
                return false;
            }
            if (tables == null || table != now) {
                tables = tables == null ? new RoutingTableTransition() : tables;
                table = now;
                tablesLearned++;
                queue.updatePartitions(now.partitions().values());
                Set<Partition> known = Collections.newSetFromMap(new IdentityHashMap<>());
                known.addAll(now.partitions().values());
                known.addAll(before.partitions().values());
                fleet.retain(known);
            }
            tables.learn(at, next.tableEpoch(), now, before, set.holdMs(runsMs));
            queue.updateStoppedKeys(next.stoppedKeys());
            looked(at);
            return true;
        });
    }

    private void looked(long at) {
        queue.reevaluateAll(at);
        changed.signalAll();
        due();
    }

    /** The latest value that is known; null: none. */
    SlotAssignment owners() {
        return locked(() -> tables == null ? null : fence.assignment());
    }

    /** The table that counts; null: none is agreed on. */
    RoutingTable table() {
        return locked(() -> tables == null ? null : table);
    }

    boolean mayChange() {
        return locked(() -> tables != null && tables.mayChange(now()));
    }

    /** A question to all electors: its number, and the epoch that it is about. */
    record LeaseQuestion(long number, long epoch) {}

    /** Begins one; null: not in the group yet. */
    LeaseQuestion ask() {
        return locked(() -> {
            if (fence == null) {
                return null;
            }
            lease();
            long number = fence.startRenewal(now());
            return new LeaseQuestion(number, tables == null ? 0 : fence.renewalEpoch());
        });
    }

    void granted(String elector, long number, Predicate<Set<String>> majority) {
        locked(() -> {
            fence.recordGrant(elector, number, majority);
            lease();
            return null;
        });
    }

    private void lease() {
        boolean now = fence.holdsLease(now());
        if (now != leased) {
            leased = now;
            Event.write(!now, "partition.lease", "member", member, "held", now);
            looked(now());
        }
    }

    boolean leased() {
        return locked(() -> fence != null && fence.holdsLease(now()));
    }

    /** The longest that a job under the table that counts, or the file's, can run. */
    long longestRunMs() {
        return locked(table::maxRunMs);
    }

    /** Slots of before, of which nothing is out or held any more. */
    Set<Integer> confirms() {
        return locked(() -> {
            if (tables == null) {
                return Set.<Integer>of();
            }
            Set<Integer> busy = queue.busySlots(now(), fence.assignment()::slotOf);
            return fence.drainedSlots(slot -> !busy.contains(slot));
        });
    }

    /** Slots for whose earlier owners this member has waited long enough. */
    Map<Integer, Long> opened() {
        return locked(() -> tables == null ? Map.<Integer, Long>of() : fence.openedSlots(now()));
    }

    /** Has the stops stored that nobody waits for. */
    void storeStops(long waitMs) {
        Set<String> keys = locked(() -> {
            Set<String> all = queue.unstoredStops();
            all.removeIf(key -> !storing.add(key));
            return all;
        });
        keys.forEach(key -> stored(key, waitMs));
    }

    /** Has a stop stored, by one thread; where that is not known, the key goes on. */
    private boolean stored(String key, long waitMs) {
        boolean stored = false;
        try {
            stored = others.stop(key, waitMs);
        } finally {
            boolean goesOn = !stored;
            locked(() -> {
                storing.remove(key);
                if (goesOn) {
                    queue.stopNotStored(now(), key);
                    due();
                }
                return null;
            });
        }
        return stored;
    }

    /** Slots that this member may send for at this moment. */
    List<Integer> openSlots() {
        return locked(() -> {
            List<Integer> all = new ArrayList<>();
            long now = now();
            for (int i = 0; tables != null && i < fence.assignment().slots().size(); i++) {
                if (fence.sendAllowedFrom(
                                now, i, fence.assignment().slots().get(i).ownedSinceEpoch())
                        <= now) {
                    all.add(i);
                }
            }
            return all;
        });
    }

    int waiting() {
        return locked(queue::waitingCount);
    }

    double workToCome(String partition) {
        return locked(() -> queue.waitingWorkMs(partition));
    }
}

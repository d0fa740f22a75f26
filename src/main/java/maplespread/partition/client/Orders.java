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
import maplespread.caller.Turns;
import maplespread.facade.Outcome;
import maplespread.facade.Transaction;
import maplespread.http.HttpWriter;
import maplespread.log.Event;
import maplespread.partition.Attributes;
import maplespread.partition.Fence;
import maplespread.partition.FenceSettings;
import maplespread.partition.KeyQueue;
import maplespread.partition.Owners;
import maplespread.partition.Partition;
import maplespread.partition.Rule;
import maplespread.partition.Table;
import maplespread.partition.Tables;
import maplespread.worker.Relay;

/**
 * Gives jobs their turn: the fence, the tables and the lines of keys under one lock, which is held for
 * moments only; jobs wait on the threads that they have anyway, and are handed on from there.
 */
final class Orders implements Turns, KeyQueue.Sink {
    private static final double PAUSE_MS = 250; // advised to who is refused
    private static final double SOON_MS = 100; // where another one may serve at once
    private static final long LOOK_MS = 10; // at what may have changed elsewhere

    /** What it needs of the fleet. */
    interface Others {
        /** Where a member takes jobs; null: not known. Does not wait. */
        String address(String member);

        /** Has it stored that the key is stopped; false: that is not known. Waits: not under the lock. */
        boolean stop(String key, long waitMs);

        /** The longest pause that clients may be advised. */
        double mostPauseMs();
    }

    /** A job from when it came to when it is sent or answered; under the lock but for the hand-over. */
    private final class Visit {
        final Job job;
        final Attributes attributes;
        final double workMs;
        final long deadline;
        volatile boolean left;
        Mine waits; // in a line; null: in none
        String to; // where it is handed on; null: nowhere
        String owner; // that is there, of this slot
        int slot;
        long epoch; // under which it is
        int tries;

        Visit(Job job) {
            this.job = job;
            String path = job.message().target();
            int query = path.indexOf('?');
            attributes = new Attributes(
                    job.message().lane(),
                    job.tenant(),
                    job.entity(),
                    query < 0 ? path : path.substring(0, query),
                    job.labels());
            double work = job.transaction().workMs();
            workMs = work > 0 ? work : 0;
            deadline = now() + job.leftMs();
        }

        boolean handed() {
            return job.handedBy() != null;
        }

        /** Whether whoever handed it on knows of a later epoch than this one. */
        boolean ahead(long known) {
            String[] words = job.handedBy().split(" ");
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
    private final class Mine implements Go {
        final long id;
        final Visit visit;
        final Rule rule;
        final String key;
        final long since; // of its slot, when it was taken
        final Condition word = lock.newCondition();
        boolean sent;
        KeyQueue.Answer answer;
        long tablesSeen; // by which the next two were found
        boolean sameKey = true;
        long from;
        volatile boolean ran, lingers, failed;

        Mine(Visit visit, Tables.Place place, long since) {
            id = ++ids;
            this.visit = visit;
            rule = place.rule();
            key = place.key();
            from = place.from();
            tablesSeen = tablesLearned;
            this.since = since;
        }

        /** From when on it may be sent; under the lock. */
        long from(long now) {
            if (tablesSeen != tablesLearned) {
                Tables.Place p = tables.decide(now, visit.attributes);
                sameKey = key.equals(p.key());
                from = p.from();
                tablesSeen = tablesLearned;
            }
            return sameKey ? Math.max(from, fence.from(now, fence.owners().slotOf(key), since)) : Fence.NEVER;
        }

        @Override
        public boolean still() {
            lock.lock();
            try {
                long now = now();
                return from(now) <= now;
            } finally {
                lock.unlock();
            }
        }

        @Override
        public void tried(Outcome how) {
            boolean never = how == Outcome.TURNED_AWAY || how == Outcome.NOT_CONNECTED || how == Outcome.NEVER_SENT;
            ran |= !never;
            failed |= how == Outcome.ERROR;
            lingers |= !never && how != Outcome.SERVED && how != Outcome.ERROR;
        }

        @Override
        public End over(boolean served) {
            KeyQueue.Outcome how = served
                    ? lingers ? KeyQueue.Outcome.LINGERS : KeyQueue.Outcome.DONE
                    : lingers
                            ? KeyQueue.Outcome.UNKNOWN
                            : failed ? KeyQueue.Outcome.FAILED : KeyQueue.Outcome.NEVER_RAN;
            boolean stop;
            lock.lock();
            try {
                mine.remove(id);
                queue.ended(now(), id, how);
                stop = how == KeyQueue.Outcome.FAILED && queue.stopping().contains(key) && storing.add(key);
                due();
            } finally {
                lock.unlock();
            }
            if (stop && !stored(key, Math.max(1, visit.leftMs()))) {
                return End.DOUBT;
            }
            return !ran ? End.NEVER_RAN : how == KeyQueue.Outcome.UNKNOWN ? End.DOUBT : End.ENDED;
        }

        @Override
        public Said lost() {
            return refused("moved", SOON_MS, !visit.handed());
        }
    }

    /** A job of no order: its rule says only where it may go. */
    private static final Go FREE = new Go() {
        @Override
        public boolean still() {
            return true;
        }

        @Override
        public void tried(Outcome how) {}

        @Override
        public End over(boolean served) {
            return End.ENDED;
        }

        @Override
        public Said lost() {
            return null;
        }
    };

    private final String name;
    private final FenceSettings set;
    private final Fleet fleet;
    private final Relay relay;
    private final Others others;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition(); // lease, owners or tables
    private final Condition dueSooner = lock.newCondition();
    private final KeyQueue queue;
    private final Map<Long, Mine> mine = new HashMap<>(); // waiting or out
    private final Map<Transaction, Visit> open = new IdentityHashMap<>();
    private final Set<String> storing = new HashSet<>(); // keys whose stop is under way
    private Fence fence; // null: not in the group yet
    private String member = "";
    private Tables tables; // null: none agreed on
    private Table table; // the one that counts, else the file's
    private long ids;
    private long tablesLearned;
    private boolean leased;
    private long dueAt = Long.MAX_VALUE;

    /** {@code file}: the table while none is agreed on. */
    Orders(String name, FenceSettings set, Table file, Fleet fleet, Relay relay, Others others) {
        this.name = name;
        this.set = set;
        this.table = file;
        this.fleet = fleet;
        this.relay = relay;
        this.others = others;
        queue = new KeyQueue(set, this);
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
    public Turn take(Job job) throws InterruptedException {
        Visit v = new Visit(job);
        locked(() -> open.put(job.transaction(), v));
        try {
            while (true) {
                Turn turn = here(v);
                turn = turn == null ? elsewhere(v) : turn;
                if (turn != null) {
                    return turn;
                }
            }
        } finally {
            locked(() -> open.remove(job.transaction()));
        }
    }

    @Override
    public void left(Transaction t) {
        Visit v = locked(() -> {
            Visit found = open.get(t);
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
    private Turn here(Visit v) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            while (!v.left) {
                long now = now();
                Tables.Place p = tables == null ? null : tables.decide(now, v.attributes);
                Rule rule = p == null ? table.decide(v.attributes) : p.rule();
                if (!rule.ordered()) {
                    return v.handed() ? moved() : free(v, rule);
                }
                if (rule.keyOf(v.attributes) == null) {
                    return said(400, List.of(), "it lacks " + rule.key() + ", by which it is ordered", true);
                }
                String why = "no-lease";
                if (p != null) {
                    Owners owners = fence.owners();
                    int place = owners.slotOf(p.key());
                    Owners.Slot slot = owners.slots().get(place);
                    boolean own = slot.owner().equals(member);
                    if (v.handed() && (!own || v.ahead(owners.epoch()))) {
                        return moved();
                    }
                    if (own && fence.from(now, place, slot.since()) != Fence.NEVER) {
                        Turn turn = line(v, p, slot.since());
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
            return new Left();
        } finally {
            lock.unlock();
        }
    }

    /** Waits in the line of its key; null: its slot went to another member before its turn. */
    private Turn line(Visit v, Tables.Place p, long since) throws InterruptedException {
        Fleet.Members workers = fleet.of(table.partitions().get(p.rule().partition()));
        if (!workers.served()) {
            return refused("no-worker", PAUSE_MS, true);
        }
        long now = now();
        Mine m = new Mine(v, p, since);
        mine.put(m.id, m);
        v.waits = m;
        try {
            queue.take(now, new KeyQueue.Job(m.id, m.key, m.rule, v.workMs, v.deadline, now));
            due();
            while (!m.sent && m.answer == null && !v.left) {
                m.word.await();
            }
        } finally {
            v.waits = null;
            if (!m.sent) {
                queue.gone(now(), m.id);
                mine.remove(m.id);
                due();
            }
        }
        if (m.sent) {
            v.job.transaction().narrow(workers, m::still);
            return m;
        }
        if (v.left) {
            return new Left();
        }
        return switch (m.answer) {
            case MOVED -> v.handed() ? moved() : null;
            case STOPPED -> said(409, List.of(), m.key + " is stopped until it is started", "stopped");
            default -> refused(m.answer.name().toLowerCase(Locale.ROOT), PAUSE_MS, true);
        };
    }

    /** To the rule's partition, or where that has no worker to the first one of its spill that has. */
    private Turn free(Visit v, Rule rule) {
        List<String> ways = new ArrayList<>(List.of(rule.partition()));
        ways.addAll(rule.spill());
        String way = ways.stream()
                .filter(w -> fleet.of(table.partitions().get(w)).served())
                .findFirst()
                .orElse(rule.partition());
        v.job.transaction().narrow(fleet.of(table.partitions().get(way)), null);
        return FREE;
    }

    /** Hands the job on, not under the lock; null: it was not taken there, and may be looked at again. */
    private Turn elsewhere(Visit v) throws InterruptedException {
        HttpWriter request = HttpWriter.request(
                        v.job.message().method(), v.job.message().target(), v.to)
                .field("X-Txn", v.job.message().id())
                .field("X-Remaining-Ms", Long.toString(Math.max(1, v.leftMs())))
                .field(HANDED_BY, name + ' ' + v.epoch);
        v.job.fields().forEach(f -> request.field(f[0], f[1]));
        Relay.Ended end = relay.run(v, v.to, request, v.job.message().body(), Math.max(1, v.leftMs()));
        if (v.left) {
            return new Left();
        }
        boolean moved = end.end() == Relay.End.NOT_SENT || end.status() == 503 && "moved".equals(field(end, REASON));
        if (end.end() == Relay.End.LOST) {
            return said(502, List.of(), "handed on, and not heard of again: it may have run", "in-doubt");
        }
        if (!moved) {
            List<String[]> fields = new ArrayList<>();
            for (String kept : new String[] {REASON, "Retry-After", "Allow"}) {
                if (field(end, kept) != null) {
                    fields.add(new String[] {kept, field(end, kept)});
                }
            }
            return new Said(end.status(), fields, end.body(), true);
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

    private static String field(Relay.Ended end, String name) {
        return end.fields().stream()
                .filter(f -> f[0].equalsIgnoreCase(name))
                .map(f -> f[1])
                .findFirst()
                .orElse(null);
    }

    /** Not taken here: whoever handed it on looks again. */
    private Said moved() {
        return refused("moved", SOON_MS, false);
    }

    private Said refused(String why, double pauseMs, boolean taken) {
        List<String[]> fields = new ArrayList<>(List.<String[]>of(new String[] {REASON, why}));
        double pause = Math.min(pauseMs, others.mostPauseMs());
        if (pause > 0) {
            fields.add(new String[] {"Retry-After", String.format(Locale.ROOT, "%.3f", pause / 1000)});
        }
        return said(503, fields, why, taken);
    }

    private static Said said(int status, List<String[]> fields, String text, String why) {
        List<String[]> all = new ArrayList<>(fields);
        all.add(new String[] {REASON, why});
        return said(status, all, text, true);
    }

    private static Said said(int status, List<String[]> fields, String text, boolean taken) {
        return new Said(status, fields, (text + "\n").getBytes(StandardCharsets.UTF_8), taken);
    }

    // ------------------------------------------------------------ the lines, under the lock

    @Override
    public long from(KeyQueue.Job job) {
        return mine.get(job.id()).from(now());
    }

    @Override
    public void send(KeyQueue.Job job) {
        Mine m = mine.get(job.id());
        m.sent = true;
        m.word.signal();
    }

    @Override
    public void answer(KeyQueue.Job job, KeyQueue.Answer why) {
        Mine m = mine.get(job.id());
        m.answer = why;
        m.word.signal();
    }

    /** After whatever may have changed what is due when. */
    private void due() {
        long at = queue.tick(now());
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
                dueAt = queue.tick(now());
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
            fence = new Fence(set, as, Owners.first(slots, "", 0));
            return null;
        });
    }

    /** A value that was agreed on, with its tables; false: it is not news. */
    boolean learned(Owners next, Table now, Table before) {
        boolean news = took(next, now, before);
        if (news) {
            // Silent, and now gone: its answers are in doubt, whether waited for or not.
            locked(() -> open.values().stream()
                            .filter(v -> v.to != null
                                    && v.slot < next.slots().size()
                                    && next.slots().get(v.slot).leavers().getOrDefault(v.owner, 0L) > 0)
                            .toList())
                    .forEach(relay::cancel);
        }
        return news;
    }

    private boolean took(Owners next, Table now, Table before) {
        return locked(() -> {
            long at = now();
            long runsMs = Tables.longestRunMs(now, before);
            if (!fence.learned(at, next, runsMs)) {
                return false;
            }
            if (tables == null || table != now) {
                tables = tables == null ? new Tables() : tables;
                table = now;
                tablesLearned++;
                queue.partitions(now.partitions().values());
                Set<Partition> known = Collections.newSetFromMap(new IdentityHashMap<>());
                known.addAll(now.partitions().values());
                known.addAll(before.partitions().values());
                fleet.keep(known);
            }
            tables.learned(at, next.tableSince(), now, before, set.holdMs(runsMs));
            queue.stopped(next.stopped());
            looked(at);
            return true;
        });
    }

    private void looked(long at) {
        queue.changed(at);
        changed.signalAll();
        due();
    }

    /** The latest value that is known; null: none. */
    Owners owners() {
        return locked(() -> tables == null ? null : fence.owners());
    }

    /** The table that counts; null: none is agreed on. */
    Table table() {
        return locked(() -> tables == null ? null : table);
    }

    boolean mayChange() {
        return locked(() -> tables != null && tables.mayChange(now()));
    }

    /** A question to all electors: its number, and the epoch that it is about. */
    record Question(long number, long epoch) {}

    /** Begins one; null: not in the group yet. */
    Question ask() {
        return locked(() -> {
            if (fence == null) {
                return null;
            }
            lease();
            long number = fence.ask(now());
            return new Question(number, tables == null ? 0 : fence.askedEpoch());
        });
    }

    void granted(String elector, long number, Predicate<Set<String>> majority) {
        locked(() -> {
            fence.granted(elector, number, majority);
            lease();
            return null;
        });
    }

    private void lease() {
        boolean now = fence.mayAct(now());
        if (now != leased) {
            leased = now;
            Event.write(!now, "partition.lease", "member", member, "held", now);
            looked(now());
        }
    }

    boolean leased() {
        return locked(() -> fence != null && fence.mayAct(now()));
    }

    /** The longest that a job under the table that counts, or the file's, can run. */
    long longestRunMs() {
        return locked(table::longestRunMs);
    }

    /** Slots of before, of which nothing is out or held any more. */
    Set<Integer> confirms() {
        return locked(() -> {
            if (tables == null) {
                return Set.<Integer>of();
            }
            Set<Integer> busy = queue.busy(now(), fence.owners()::slotOf);
            return fence.confirms(slot -> !busy.contains(slot));
        });
    }

    /** Slots for whose earlier owners this member has waited long enough. */
    Map<Integer, Long> opened() {
        return locked(() -> tables == null ? Map.<Integer, Long>of() : fence.opened(now()));
    }

    /** Has the stops stored that nobody waits for. */
    void storeStops(long waitMs) {
        Set<String> keys = locked(() -> {
            Set<String> all = queue.stopping();
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
                    queue.notStored(now(), key);
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
            for (int i = 0; tables != null && i < fence.owners().slots().size(); i++) {
                if (fence.from(now, i, fence.owners().slots().get(i).since()) <= now) {
                    all.add(i);
                }
            }
            return all;
        });
    }

    int waiting() {
        return locked(queue::waiting);
    }

    double workToCome(String partition) {
        return locked(() -> queue.workToCome(partition));
    }
}

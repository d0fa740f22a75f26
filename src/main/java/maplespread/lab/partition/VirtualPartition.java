package maplespread.lab.partition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import maplespread.partition.FencingCheck;
import maplespread.partition.LeaseSettings;
import maplespread.partition.PerKeyQueue;
import maplespread.partition.PerKeyQueue.ExecutionResult;
import maplespread.partition.PerKeyQueue.Rejection;
import maplespread.partition.RequestAttributes;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableException;
import maplespread.partition.RoutingTableParser;
import maplespread.partition.RoutingTableTransition;
import maplespread.partition.SlotAssignment;

/**
 * A fleet that keeps order, in virtual milliseconds, each dispatcher on a clock that drifts, and clients that
 * wait for each answer or do not. The workers judge: no two jobs of a key at once, none before one that was
 * taken earlier, none twice, none of a stopped key; and each job is answered once. The replicated register is
 * played as what it promises: a change counts when a majority of electors holds it. Deterministic by seed.
 */
public final class VirtualPartition {
    private static final LeaseSettings FENCE = new LeaseSettings(3, 300, 0.01);
    private static final int RENEW_MS = 75;
    private static final int SILENT_MS = 160; // not heard for so long: no lease any more
    private static final int GONE_MS = 350; // and for so long: its slots move
    private static final int SLOTS = 16;
    private static final int DEADLINE_MS = 1500;

    /** A client's job, and what became of it. */
    private static final class Play {
        final long id;
        final RequestAttributes attributes;
        final int client; // -1: does not wait for answers
        final int by; // the dispatcher it came to, and its run
        final long run;
        final long deadline; // true time
        String answer = "";
        boolean ran;

        Play(long id, RequestAttributes attributes, int client, Node by, long deadline) {
            this.id = id;
            this.attributes = attributes;
            this.client = client;
            this.by = by.place;
            run = by.run;
            this.deadline = deadline;
        }
    }

    /** A job as an owner took it: {@code since} and {@code place} are what took means. */
    private record Taken(Play play, String key, long since, long place, long from, long tableSince) {}

    private record Event(long at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** One dispatcher's present run. */
    private final class Node implements PerKeyQueue.Callbacks {
        final int place;
        long run;
        boolean dead;
        boolean cutFromElectors, cutFromPeers;
        long frozenUntil;
        double rate, local;
        FencingCheck fence;
        RoutingTableTransition tables;
        PerKeyQueue queue;
        final Map<Long, Taken> taken = new HashMap<>();
        final Map<String, Play> failures = new HashMap<>(); // not answered until the stop is stored

        Node(int place) {
            this.place = place;
        }

        void begin() {
            run++;
            dead = false;
            rate = 1 + (random.nextDouble() * 2 - 1) * FENCE.drift();
            local = random.nextInt(1_000_000);
            fence = new FencingCheck(FENCE, id(), SlotAssignment.initial(SLOTS, "v0"));
            tables = new RoutingTableTransition();
            queue = new PerKeyQueue(FENCE, this);
            taken.clear();
            failures.clear();
            RoutingTable first = TABLES.get("v0");
            queue.updatePartitions(first.partitions().values());
            tables.learn(clock(), 1, first, first, 0);
            renew(run);
        }

        String id() {
            return "n" + place + "#" + run;
        }

        long clock() {
            return (long) local;
        }

        boolean runs() {
            return !dead && frozenUntil <= now;
        }

        /** Does it when this run is not frozen; never, if it dies before. */
        void act(long delay, Runnable what) {
            long mine = run;
            at(delay, () -> {
                if (dead || run != mine) {
                    return;
                }
                if (frozenUntil > now) {
                    act(frozenUntil - now, what);
                } else {
                    what.run();
                }
            });
        }

        void renew(long mine) {
            long asked = fence.startRenewal(clock());
            long epoch = fence.renewalEpoch();
            for (int e = 0; e < electors.length; e++) {
                int elector = e;
                if (lost(this)) {
                    continue;
                }
                at(delay(), () -> {
                    lastHeard[place] = now;
                    heardRun[place] = Math.max(heardRun[place], mine);
                    SlotAssignment known = electors[elector];
                    boolean grants = known.grantsLease("n" + place + "#" + mine, epoch);
                    if (!lost(this)) {
                        act(delay(), () -> {
                            if (grants) {
                                fence.recordGrant(clock(), "e" + elector, asked);
                            }
                            learn(known);
                        });
                    }
                });
            }
            storeStops();
            Set<Integer> busy = queue.busySlots(clock(), fence.assignment()::slotOf);
            Set<Integer> done = fence.drainedSlots(slot -> !busy.contains(slot));
            if (!done.isEmpty()) {
                propose(this, o -> o.confirmDrained("n" + place + "#" + mine, done), () -> {});
            }
            act(RENEW_MS, () -> renew(mine));
        }

        void learn(SlotAssignment next) {
            RoutingTable table = TABLES.get(next.table());
            RoutingTable before = TABLES.get(next.previousTable());
            long runsMs = RoutingTableTransition.maxRunMs(table, before);
            if (fence.learn(clock(), next, runsMs)) {
                tables.learn(clock(), next.tableEpoch(), table, before, FENCE.holdMs(runsMs));
                queue.updatePartitions(table.partitions().values());
                queue.updateStoppedKeys(next.stoppedKeys());
                queue.reevaluateAll(clock());
            }
        }

        /** A client's job has come here. */
        void accept(Play play, int tries) {
            RoutingTableTransition.RoutingDecision p = tables.decide(clock(), play.attributes);
            if (p.key() == null) {
                toWorker(this, play, null, p.rule().maxRunMs());
                return;
            }
            String owner = fence.assignment()
                    .slots()
                    .get(fence.assignment().slotOf(p.key()))
                    .owner();
            if (owner.equals(id())) {
                own(play, () -> again(play, tries));
                return;
            }
            Node to = owner.isEmpty() ? this : nodes.get(owner.charAt(1) - '0');
            if (to == this || !to.id().equals(owner) || to.dead) {
                again(play, tries); // nobody listens there: it was not taken
            } else if (!cutFromPeers && !to.cutFromPeers) {
                to.act(delay(), () -> to.own(play, () -> act(delay(), () -> again(play, tries))));
            } // else the bytes are lost on their way
        }

        private void again(Play play, int tries) {
            if (tries == 0 || now > play.deadline) {
                settle(play, "refused");
            } else {
                act(10, () -> accept(play, tries - 1));
            }
        }

        /** Takes the job if its slot is this one's, or hands it back untaken. */
        void own(Play play, Runnable notMine) {
            RoutingTableTransition.RoutingDecision p = tables.decide(clock(), play.attributes);
            int slot = p.key() == null ? -1 : fence.assignment().slotOf(p.key());
            SlotAssignment.Slot held =
                    slot < 0 ? null : fence.assignment().slots().get(slot);
            if (held == null
                    || !held.owner().equals(id())
                    || fence.sendAllowedFrom(clock(), slot, held.ownedSinceEpoch()) == FencingCheck.NEVER) {
                notMine.run();
                return;
            }
            taken.put(
                    play.id,
                    new Taken(
                            play,
                            p.key(),
                            held.ownedSinceEpoch(),
                            ++places,
                            p.sendAllowedFrom(),
                            fence.assignment().tableEpoch()));
            queue.enqueue(
                    clock(),
                    new PerKeyQueue.QueuedRequest(
                            play.id, p.key(), p.rule(), 20, clock() + play.deadline - now, clock()));
        }

        @Override
        public long sendAllowedFrom(PerKeyQueue.QueuedRequest job) {
            Taken t = taken.get(job.id());
            long open = fence.sendAllowedFrom(clock(), fence.assignment().slotOf(job.key()), t.since);
            boolean same =
                    job.key().equals(tables.decide(clock(), t.play.attributes).key());
            return same ? Math.max(open, t.from) : FencingCheck.NEVER;
        }

        @Override
        public void send(PerKeyQueue.QueuedRequest job) {
            toWorker(
                    this,
                    taken.get(job.id()).play,
                    taken.get(job.id()),
                    job.rule().maxRunMs());
        }

        @Override
        public void reject(PerKeyQueue.QueuedRequest job, Rejection why) {
            back(taken.remove(job.id()).play, why == Rejection.STOPPED ? "stopped" : "refused");
        }

        void ended(Play play, ExecutionResult how) {
            Taken t = taken.remove(play.id);
            String word =
                    how == ExecutionResult.UNKNOWN ? "in doubt" : how == ExecutionResult.FAILED ? "failed" : "done";
            if (t == null) {
                back(play, word);
                return;
            }
            queue.complete(clock(), play.id, how);
            if (how == ExecutionResult.FAILED && queue.unstoredStops().contains(t.key)) {
                failures.put(t.key, play);
            } else {
                back(play, word);
            }
            storeStops();
        }

        private void storeStops() {
            for (String key : queue.unstoredStops()) {
                propose(this, o -> o.stopKey(id(), key), () -> {
                    learn(agreed);
                    Play failed = failures.remove(key);
                    boolean stored = agreed.stoppedKeys().contains(key);
                    if (!stored) {
                        queue.stopNotStored(clock(), key);
                    } else if (failed != null) {
                        stoppedForSure.add(key);
                    }
                    if (failed != null) {
                        back(failed, stored ? "failed" : "in doubt");
                    }
                });
            }
        }

        /** The answer goes to the dispatcher that has the client. */
        private void back(Play play, String word) {
            Node to = nodes.get(play.by);
            if (to == this) {
                settle(play, word);
            } else if (!cutFromPeers && !to.cutFromPeers) {
                to.act(delay(), () -> settle(play, word));
            }
        }
    }

    private static final Map<String, RoutingTable> TABLES = tables();

    /** Under v1 class b is ordered by tenant, under the others by entity; d has no order. */
    private static Map<String, RoutingTable> tables() {
        Map<String, RoutingTable> all = new HashMap<>();
        RoutingTableParser.SiteNames site = new RoutingTableParser.SiteNames(
                List.of("a", "b", "c", "d"), List.of(), List.of(), List.of(), List.of());
        try {
            for (String name : List.of("v0", "v1", "v2")) {
                String text = """
                    {"rules": [
                        {"when": {"class": "a"}, "order": "by_key", "runs_ms": RUNS},
                        {"when": {"class": "b"}, "order": "by_key", "failed": "skip", "runs_ms": 300,
                            "key": "KEY"},
                        {"when": {"class": "c"}, "order": "by_key_stop", "runs_ms": 300},
                        {}]}""";
                all.put(
                        name,
                        RoutingTableParser.parse(
                                text.replace("RUNS", name.equals("v2") ? "400" : "300")
                                        .replace("KEY", name.equals("v1") ? "tenant" : "entity"),
                                site));
            }
        } catch (RoutingTableException e) {
            throw new IllegalStateException(e);
        }
        return all;
    }

    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final SlotAssignment[] electors = new SlotAssignment[FENCE.electors()];
    private final long[] lastHeard, heardRun;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Taken> running = new ArrayList<>();
    private final Map<String, Taken> latest = new HashMap<>(); // by key: the last that was started
    private final Map<Integer, Long> latestOf = new HashMap<>(); // by client: its last job that was started
    private final Map<Integer, Play> current = new HashMap<>();
    private final Map<Long, String> tableNames = new HashMap<>();
    private final Set<String> stoppedForSure = new HashSet<>();
    private final Map<String, Integer> answers = new HashMap<>();
    private final List<Play> open = new ArrayList<>();
    private SlotAssignment agreed = SlotAssignment.initial(SLOTS, "v0");
    private long now, order, ids, places;
    private String fault = "";
    /** The share of messages to and from electors that is lost. */
    public double loss;
    /** New jobs come while this holds. */
    public boolean load = true;

    public VirtualPartition(int dispatchers, long seed) {
        random = new SplittableRandom(seed);
        lastHeard = new long[dispatchers];
        heardRun = new long[dispatchers];
        java.util.Arrays.fill(electors, agreed);
        for (int i = 0; i < dispatchers; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::begin);
        at(1, this::lookAfter);
    }

    /** What has gone wrong; empty: nothing. */
    public String fault() {
        return fault;
    }

    /** How many jobs got which answer. */
    public Map<String, Integer> answers() {
        return answers;
    }

    // ------------------------------------------------------------ faults

    public void kill(int place) {
        Node n = nodes.get(place);
        n.dead = true;
        for (Play p : List.copyOf(open)) {
            if (p.by == place && p.run == n.run) {
                settle(p, "reset");
            }
        }
    }

    public void restart(int place) {
        if (nodes.get(place).dead) {
            nodes.get(place).begin();
        }
    }

    public void freeze(int place, long ms) {
        nodes.get(place).frozenUntil = now + ms;
    }

    public void cut(int place, boolean fromElectors, boolean fromPeers) {
        nodes.get(place).cutFromElectors = fromElectors;
        nodes.get(place).cutFromPeers = fromPeers;
    }

    /** Whoever is up takes another table, if the last change is long enough ago. */
    public void table(String name) {
        Node n = nodes.get(random.nextInt(nodes.size()));
        if (n.runs() && n.tables.mayChange(n.clock())) {
            long seen = n.fence.assignment().tableEpoch();
            propose(n, o -> o.table(name, seen), () -> {});
        }
    }

    /** All stopped keys are started again. */
    public void startKeys() {
        for (String key : agreed.stoppedKeys()) {
            stoppedForSure.remove(key);
            commit(agreed.startKey(key));
        }
    }

    /** Takes this dispatcher's slots away or gives it some, however well it is. */
    public void misjudge(int place) {
        Set<String> members = new TreeSet<>(agreed.members());
        String id = nodes.get(place).id();
        if (!members.remove(id) && heardRun[place] == nodes.get(place).run) {
            members.removeIf(m -> m.startsWith("n" + place + "#"));
            members.add(id);
        }
        commit(agreed.members(members));
    }

    /** Milliseconds until all slots that this one owns by now are served by others; -1: not within 10 s. */
    public long unserved(int place, Runnable what) {
        List<Integer> slots = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            if (agreed.slots().get(i).owner().equals(nodes.get(place).id())) {
                slots.add(i);
            }
        }
        what.run();
        for (long from = now; now - from < 10_000; ) {
            if (slots.stream()
                    .allMatch(s -> nodes.stream()
                            .anyMatch(n -> n.place != place
                                    && n.runs()
                                    && n.fence.sendAllowedFrom(
                                                    n.clock(),
                                                    s,
                                                    agreed.slots().get(s).ownedSinceEpoch())
                                            <= n.clock()))) {
                return now - from;
            }
            run(1);
        }
        return -1;
    }

    // ------------------------------------------------------------ the world

    private void at(long delay, Runnable what) {
        events.add(new Event(now + delay, ++order, what));
    }

    private long delay() {
        return 1 + random.nextInt(random.nextInt(20) == 0 ? 60 : 3);
    }

    private boolean lost(Node n) {
        return n.cutFromElectors || random.nextDouble() < loss;
    }

    /** A change by whoever can reach a majority; {@code then}: it has heard that it counts. */
    private void propose(Node by, UnaryOperator<SlotAssignment> command, Runnable then) {
        at(delay() + delay(), () -> {
            if (!lost(by)) {
                commit(command.apply(agreed));
                by.act(delay(), then);
            }
        });
    }

    /** A majority has it from here on, the other elector a while later. */
    private void commit(SlotAssignment next) {
        if (next == agreed) {
            return;
        }
        agreed = SlotAssignment.fromJson(next.toJson());
        int late = random.nextInt(electors.length);
        for (int i = 0; i < electors.length; i++) {
            int elector = i;
            SlotAssignment told = agreed;
            if (i != late) {
                electors[i] = told;
            } else {
                at(random.nextInt(200), () -> {
                    if (electors[elector].version() < told.version()) {
                        electors[elector] = told;
                    }
                });
            }
        }
    }

    /** Whoever leads the group, by what electors have heard of the others. */
    private void lookAfter() {
        Set<String> members = new TreeSet<>(agreed.members());
        Set<String> silent = new TreeSet<>();
        for (Node n : nodes) {
            String id = "n" + n.place + "#" + heardRun[n.place];
            long quiet = now - lastHeard[n.place];
            members.removeIf(m -> m.startsWith("n" + n.place + "#") && (quiet > GONE_MS || !m.equals(id)));
            if (heardRun[n.place] > 0 && quiet <= SILENT_MS) {
                members.add(id);
            } else {
                silent.add(id);
            }
        }
        commit(agreed.members(members));
        commit(agreed.silent(silent));
        at(20, this::lookAfter);
    }

    /** Sent at this instant; {@code taken} null: without order. */
    private void toWorker(Node from, Play play, Taken taken, long runsMs) {
        long way = random.nextInt(random.nextInt(10) == 0 ? 100 : 3);
        long work = random.nextInt(12) == 0 ? runsMs - way : 5 + random.nextInt(40);
        int luck = random.nextInt(40);
        if (luck == 0) {
            from.act(way + 1, () -> from.ended(play, ExecutionResult.NEVER_RAN));
            return;
        }
        at(way, () -> started(play, taken));
        at(way + work, () -> running.remove(taken));
        long patience = Math.max(1, play.deadline - now);
        boolean lost = luck == 1 || way + work >= patience;
        from.act(
                lost ? patience : way + work + 1,
                () -> from.ended(
                        play,
                        lost ? ExecutionResult.UNKNOWN : luck <= 3 ? ExecutionResult.FAILED : ExecutionResult.DONE));
    }

    /** A worker begins: the only place from which order can be judged. */
    private void started(Play play, Taken t) {
        if (play.ran) {
            wrong("runs twice", play);
        }
        play.ran = true;
        if (play.client >= 0) {
            long before = latestOf.getOrDefault(play.client, 0L);
            if (before > play.id && !play.answer.equals("in doubt") && !play.answer.equals("reset")) {
                wrong("runs after a later one of its client", play);
            }
            latestOf.put(play.client, Math.max(before, play.id));
        }
        if (t == null) {
            return;
        }
        for (Taken o : running) {
            if (o.key.equals(t.key)) {
                wrong("runs beside " + o.play.id + " of its key", play);
            }
            // A job that the older table kept in another line must not meet what that table has sent.
            if (o.tableSince < t.tableSince
                    && t.key.equals(keyUnder(t.tableSince, o.play))
                    && !t.key.equals(keyUnder(o.tableSince, t.play))) {
                wrong("runs beside " + o.play.id + " that an older table sent", play);
            }
        }
        Taken last = latest.put(t.key, t);
        if (last != null && (last.since > t.since || last.since == t.since && last.place > t.place)) {
            wrong("runs after " + last.play.id + " that was taken later", play);
        }
        if (stoppedForSure.contains(t.key)) {
            wrong("runs while its key is stopped", play);
        }
        running.add(t);
    }

    private String keyUnder(long tableSince, Play play) {
        return TABLES.get(tableNames.get(tableSince)).decide(play.attributes).keyOf(play.attributes);
    }

    private void wrong(String what, Play play) {
        if (fault.isEmpty()) {
            fault = "at " + now + " job " + play.id + " " + play.attributes + " " + what;
        }
    }

    private void settle(Play play, String word) {
        if (!play.answer.isEmpty()) {
            return; // its client has gone meanwhile
        }
        play.answer = word;
        open.remove(play);
        answers.merge(word, 1, Integer::sum);
    }

    private void jobs() {
        for (int client = 0; client < 8; client++) {
            Play last = current.get(client);
            if ((last == null || !last.answer.isEmpty()) && random.nextInt(30) == 0) {
                current.put(client, job(client, client));
            }
        }
        if (random.nextInt(40) == 0) {
            job(-1, 0); // the hot key's, several at once
        }
    }

    private Play job(int client, int entity) {
        Node n = nodes.get(random.nextInt(nodes.size()));
        if (n.dead) {
            return null;
        }
        String cls = random.nextInt(20) == 0 ? "d" : random.nextInt(8) == 0 ? "c" : random.nextBoolean() ? "a" : "b";
        Play play = new Play(
                ++ids,
                new RequestAttributes(cls, "t" + entity % 3, "e" + entity, "/" + cls, Map.of()),
                client,
                n,
                now + DEADLINE_MS);
        open.add(play);
        n.act(1, () -> n.accept(play, 5));
        // Where nobody else says how it ended, the dispatcher that has the client does.
        n.act(DEADLINE_MS + 50, () -> settle(play, "in doubt"));
        return play;
    }

    public void run(long ms) {
        for (long end = now + ms; now < end && fault.isEmpty(); ) {
            now++;
            tableNames.put(agreed.tableEpoch(), agreed.table());
            nodes.forEach(n -> n.local += n.rate);
            while (!events.isEmpty() && events.peek().at <= now) {
                events.remove().what.run();
            }
            for (Node n : nodes) {
                if (n.runs()) {
                    n.queue.runDue(n.clock());
                }
            }
            if (load) {
                jobs();
            }
        }
    }

    /** After all is healed and the load has stopped: jobs that never got an answer. */
    public int unanswered() {
        return open.size();
    }
}

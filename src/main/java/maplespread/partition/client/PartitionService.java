package maplespread.partition.client;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.caller.RequestSequencer;
import maplespread.cluster.SharedState;
import maplespread.config.Config;
import maplespread.config.PartitionSettings;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.errors.FleetException;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.membership.client.ClusterTransport;
import maplespread.partition.HeartbeatTable;
import maplespread.partition.LeaseSettings;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableException;
import maplespread.partition.SlotAssignment;
import maplespread.partition.client.PartitionCallException.Reason;
import maplespread.worker.PeerForwarder;

/**
 * This member's part in keeping order: one thread asks for the lease and answers nobody late, one has changes
 * decided and may wait for them, one gives jobs their turn when time alone brings it.
 */
public final class PartitionService implements Closeable {
    /** Of the group's channels. */
    public static final int CHANNEL = 4;

    private static final String SECTION = "partition";
    private static final long STACK = 256 * 1024;
    private static final long CALL_MS = 1_900; // of a call that waits for the fleet
    private static final long PROPOSE_MS = 500;
    private static final long STOP_MS = 1000; // longer a failure's answer does not wait
    private static final long HERE_MS = 500;
    private static final int PLACES = 4; // for calls that wait
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    /** The group and its register, once this one is in them. */
    public record ClusterHandle(ClusterTransport group, ReplicatedRegister register) {}

    /** What this stands on; {@code wants}: whether clients are to be sent here; {@code address}: for jobs. */
    public record Dependencies(
            Supplier<Config> config,
            Supplier<ClusterHandle> cluster,
            BooleanSupplier acceptsRequests,
            Supplier<String> advertisedAddress,
            PeerForwarder forwarder,
            PartitionEndpoints endpoints) {}

    private record PeerEndpoint(long run, String address) {}

    /** The electors that a question went to, and those that have answered it. */
    private record ElectorPoll(long number, Set<String> electors, Set<String> answered) {
        ElectorPoll(long number, Collection<String> electors) {
            this(number, Set.copyOf(electors), ConcurrentHashMap.newKeySet());
        }

        boolean majority(Set<String> yes) {
            return 2 * yes.stream().filter(electors::contains).count() > electors.size();
        }
    }

    /** A value's own part, so that one value is read once. */
    private static final class CachedAssignment {
        private VersionedValue of;
        private SlotAssignment owners;

        /** Null: nothing is agreed on. */
        synchronized SlotAssignment read(VersionedValue v) {
            if (v != of) {
                owners = v == null ? null : section(v);
                of = v;
            }
            return owners;
        }
    }

    private final String name;
    private final PartitionSettings set;
    private final Dependencies ground;
    private final LeaseSettings fence;
    private final HeartbeatTable.Timeouts patience;
    private final OrderedDispatch orders;
    private final HeartbeatTable hearings = new HeartbeatTable(OrderedDispatch.now()); // guarded by itself
    private final Map<String, PeerEndpoint> seats = new ConcurrentHashMap<>();
    private final Map<String, RoutingTable> compiled = new ConcurrentHashMap<>();
    private final CachedAssignment voted = new CachedAssignment();
    private final CachedAssignment known = new CachedAssignment();
    private final Semaphore places = new Semaphore(PLACES);
    private final List<Thread> threads;
    private volatile ClusterHandle ties;
    private volatile ElectorPoll asked = new ElectorPoll(0, Set.of());
    private volatile String fileTable;
    private volatile boolean fileChanged; // its table is to be the fleet's
    private volatile boolean leaving;
    private volatile String unreadable = "";
    private volatile long answeredAt = OrderedDispatch.now(); // by a majority, whatever it said
    private SlotAssignment told; // what the log has
    private long emptyLife, emptySince;
    private volatile long hereAt;

    public PartitionService(PartitionSettings set, Dependencies ground) throws RoutingTableException {
        this.set = set;
        this.ground = ground;
        name = ground.config().get().name();
        fence = new LeaseSettings(1, set.leaseMs(), set.drift());
        patience = new HeartbeatTable.Timeouts(set.silentMs(), set.goneMs());
        fileTable = packed(set.table());
        orders = new OrderedDispatch(
                name, fence, table(fileTable), ground.endpoints(), ground.forwarder(), new Others());
        threads = List.of(
                daemon("partition", this::asks),
                daemon("partition turns", this::ticks),
                daemon("partition changes", this::changes));
    }

    private static Thread daemon(String name, Runnable work) {
        Thread t = new Thread(null, work, name, STACK);
        t.setDaemon(true);
        return t;
    }

    public void start() {
        threads.forEach(Thread::start);
    }

    /** This one gives its slots up, and serves on. */
    public void releaseSlots() {
        leaving = true;
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }

    public RequestSequencer sequencer() {
        return orders;
    }

    /** Where other members take jobs. */
    public Collection<String> peers() {
        return seats.values().stream().map(PeerEndpoint::address).toList();
    }

    /** The file has been read anew: another table than before is to be the fleet's. */
    public void reloadTable(PartitionSettings next) {
        String text = packed(next.table());
        if (!text.equals(fileTable)) {
            fileTable = text;
            fileChanged = true;
        }
    }

    private static String packed(String text) {
        return CompressedTable.compress(JsonParser.parseString(text).toString());
    }

    private RoutingTable table(String packed) throws RoutingTableException {
        RoutingTable known = compiled.get(packed);
        if (known == null) {
            known = PartitionSettings.read(
                    CompressedTable.decompress(packed), ground.config().get(), List.of());
            compiled.put(packed, known);
        }
        return known;
    }

    private final class Others implements OrderedDispatch.ClusterOperations {
        @Override
        public String address(String member) {
            PeerEndpoint seat = seats.get(SlotAssignment.dispatcherName(member));
            return seat != null && member.endsWith("#" + seat.run) ? seat.address : null;
        }

        @Override
        public boolean stop(String key, long waitMs) {
            return store(key, Math.min(STOP_MS, waitMs));
        }

        @Override
        public double mostPauseMs() {
            return ground.config().get().settings().permissions().maxRetryAfterMs();
        }
    }

    // ------------------------------------------------------------ the lease

    private void asks() {
        loop(() -> {
            ClusterHandle t = ground.cluster().get();
            if (t != null) {
                if (ties == null) {
                    orders.joined(member(t), set.slots());
                    t.group().registerChannel(CHANNEL, (from, bytes) -> heard(t, from, bytes));
                    t.register().addListener(this::learn);
                    ties = t;
                }
                ask(t);
            }
            return set.askMs();
        });
    }

    private void ticks() {
        loop(() -> {
            orders.tick();
            return 0L;
        });
    }

    /** One round of a thread: how long until the next. */
    private interface Round {
        long run() throws InterruptedException;
    }

    private static void loop(Round round) {
        try {
            while (true) {
                long pause = 100;
                try {
                    pause = round.run();
                } catch (RuntimeException | Error e) { // the next round must still come
                    Event.of("partition.fault", "why", e).error();
                }
                Thread.sleep(pause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String member(ClusterHandle t) {
        return name + '#' + t.group().incarnation();
    }

    /**
     * Whether this one is to own slots. Not while it cannot be told what is agreed: electors that hear it,
     * and that it does not hear, would leave its slots with it for ever. Nor with a table it cannot read.
     */
    private boolean wants() {
        return !leaving
                && unreadable.isEmpty()
                && OrderedDispatch.now() - answeredAt < set.goneMs()
                && ground.acceptsRequests().getAsBoolean();
    }

    private void ask(ClusterHandle t) {
        long now = OrderedDispatch.now();
        VersionedValue v = t.register().decidedValue();
        if (v != null) {
            learn(v);
        }
        List<String> electors = electors(t, v);
        OrderedDispatch.LeaseQuestion q = orders.ask();
        asked = new ElectorPoll(q.number(), electors);
        PartitionMessage ask = PartitionMessage.leaseRequest(
                t.group().incarnation(), q, v == null ? 0 : v.epoch(), v == null ? 0 : v.electorsVersion(), wants());
        byte[] bytes = ask.encode();
        for (String e : electors) {
            if (e.equals(name)) {
                answered(name, q.number(), grants(t, name, ask));
            } else {
                t.group().send(CHANNEL, e, bytes);
            }
        }
        if (electors.contains(name)) {
            HeartbeatTable.Report report;
            synchronized (hearings) {
                Set<String> names = new TreeSet<>(
                        t.group().members().stream().map(MemberUpdate::name).toList());
                hearings.retain(names);
                report = hearings.report(now);
            }
            byte[] heard = PartitionMessage.heartbeatReport(t.group().incarnation(), report)
                    .encode();
            electors.stream()
                    .filter(e -> !e.equals(name))
                    .forEach(e -> t.group().send(CHANNEL, e, heard));
        }
        String address = ground.advertisedAddress().get();
        if (address != null && now - hereAt >= HERE_MS) {
            hereAt = now;
            byte[] here = PartitionMessage.advertisedAddress(t.group().incarnation(), address)
                    .encode();
            t.group().members().stream()
                    .map(MemberUpdate::name)
                    .filter(m -> !m.equals(name))
                    .forEach(m -> t.group().send(CHANNEL, m, here));
        }
    }

    private static List<String> electors(ClusterHandle t, VersionedValue v) {
        return v != null ? v.electors() : t.register().electors().get(0);
    }

    /** On the group's receiving thread. */
    private void heard(ClusterHandle t, String from, byte[] bytes) {
        PartitionMessage n = PartitionMessage.decode(bytes);
        if (n == null) {
            return;
        }
        switch (n.kind()) {
            case LEASE_REQUEST ->
                t.group()
                        .send(
                                CHANNEL,
                                from,
                                PartitionMessage.leaseResponse(t.group().incarnation(), n.round(), grants(t, from, n))
                                        .encode());
            case LEASE_RESPONSE -> answered(from, n.round(), n.yes());
            case HEARTBEAT_REPORT -> {
                synchronized (hearings) {
                    hearings.recordReport(OrderedDispatch.now(), from, n.report());
                }
            }
            case ADDRESS -> {
                PeerEndpoint was = seats.put(from, new PeerEndpoint(n.incarnation(), n.address()));
                if (was == null || was.run != n.incarnation()) { // it may not know of this one yet
                    hereAt = 0;
                }
            }
        }
    }

    /**
     * Whether this one, as an elector, knows of nothing later. It goes by what it has voted for, decided or
     * not: once an epoch is decided, a majority has voted for it, though few may have heard so.
     */
    private boolean grants(ClusterHandle t, String from, PartitionMessage ask) {
        synchronized (hearings) {
            hearings.recordHeartbeat(OrderedDispatch.now(), from, ask.incarnation(), ask.round(), ask.yes());
        }
        VersionedValue v = t.register().acceptedValue();
        if (v == null || v.epoch() != ask.registerEpoch() || v.electorsVersion() > ask.electorsVersion()) {
            return false;
        }
        SlotAssignment owners = voted.read(v);
        return owners != null && owners.grantsLease(from + '#' + ask.incarnation(), ask.epoch());
    }

    private void answered(String elector, long number, boolean yes) {
        ElectorPoll to = asked;
        if (to.number != number) {
            return;
        }
        to.answered.add(elector);
        if (to.majority(to.answered)) {
            answeredAt = OrderedDispatch.now();
        }
        if (yes) {
            orders.granted(elector, number, to::majority);
        }
    }

    // ------------------------------------------------------------ the agreed value

    private static SlotAssignment written(VersionedValue v) {
        String text = SharedState.read(v.text(), SECTION);
        return text.isEmpty() ? null : SlotAssignment.fromJson(text);
    }

    /**
     * Null: nothing is agreed on. Numbers begin with that of the register's life, so a lower one is of an
     * earlier life, which was founded anew since: some of what followed it may be lost.
     */
    private static SlotAssignment section(VersionedValue v) {
        SlotAssignment o = written(v);
        return o == null || o.version() < v.epoch() ? null : o;
    }

    private synchronized void learn(VersionedValue v) {
        SlotAssignment next = known.read(v);
        SlotAssignment last = orders.owners();
        if (next == null || last != null && next.version() <= last.version()) {
            return;
        }
        try {
            if (!orders.learned(next, table(next.table()), table(next.previousTable()))) {
                return;
            }
            compiled.keySet().retainAll(List.of(next.table(), next.previousTable(), fileTable));
            unreadable = "";
        } catch (RoutingTableException e) { // another's file may have other names
            if (!unreadable.equals(e.getMessage())) {
                unreadable = e.getMessage();
                Event.of("partition.table_unreadable", "why", unreadable).error();
            }
            return;
        }
        if (told == null || told.epoch() != next.epoch()) {
            Event.of(
                            "partition.epoch",
                            "epoch",
                            next.epoch(),
                            "version",
                            next.version(),
                            "members",
                            new TreeSet<>(next.members()),
                            "silent",
                            next.silent().keySet(),
                            "table_since",
                            next.tableEpoch())
                    .info();
        }
        if (told == null || told.tableEpoch() != next.tableEpoch()) {
            Event.of("partition.table", "epoch", next.tableEpoch()).info();
        }
        Set<String> before = told == null ? Set.of() : told.stoppedKeys();
        next.stoppedKeys().stream()
                .filter(k -> !before.contains(k))
                .forEach(k -> Event.of("partition.stopped", "key", k).warn());
        before.stream()
                .filter(k -> !next.stoppedKeys().contains(k))
                .forEach(k -> Event.of("partition.started", "key", k).info());
        told = next;
    }

    /** A command as a change of the whole value, of which order has a section. */
    private static Mutation change(UnaryOperator<SlotAssignment> command) {
        return value -> {
            SlotAssignment now = section(value);
            SlotAssignment next = now == null ? null : command.apply(now);
            return next == now ? value.text() : SharedState.write(value.text(), SECTION, next.toJson());
        };
    }

    private ChangeResult put(ClusterHandle t, Mutation change, long waitMs) {
        ChangeResult r = t.register().change(change, waitMs);
        if (r.outcome() == ChangeResult.Outcome.DECIDED) {
            learn(r.value());
        } else if (r.outcome() == ChangeResult.Outcome.REJECTED) {
            Event.of("partition.refused", "why", r.error().getMessage()).warn();
        }
        return r;
    }

    /** Has it decided where it would change what is known. */
    private void propose(ClusterHandle t, UnaryOperator<SlotAssignment> command) {
        SlotAssignment known = orders.owners();
        if (known != null && command.apply(known) != known) {
            put(t, change(command), PROPOSE_MS);
        }
    }

    private void changes() {
        loop(() -> {
            ClusterHandle t = ties;
            if (t != null) {
                look(t);
            }
            return Math.max(5, set.askMs() / 3);
        });
    }

    private void look(ClusterHandle t) {
        VersionedValue v = t.register().decidedValue();
        if (v == null) {
            put(t, Mutation.READ, PROPOSE_MS);
            return;
        }
        long now = OrderedDispatch.now();
        boolean leads;
        synchronized (hearings) {
            leads = hearings.isLeader(now, v.electors(), name, set.silentMs());
        }
        if (known.read(v) == null) {
            first(t, v, now, leads);
            return;
        }
        if (leads) {
            propose(t, o -> {
                synchronized (hearings) {
                    long at = OrderedDispatch.now(); // it may have stood still meanwhile
                    return !hearings.isLeader(at, v.electors(), name, set.silentMs())
                            ? o
                            : hearings.nextAssignment(at, v.electors(), name, o, patience);
                }
            });
        }
        Set<Integer> done = orders.confirms();
        if (!done.isEmpty()) {
            propose(t, o -> o.confirmDrained(member(t), done));
        }
        Map<Integer, Long> opened = orders.opened();
        if (!opened.isEmpty()) {
            propose(t, o -> o.forgetPreviousOwners(member(t), opened));
        }
        orders.storeStops(PROPOSE_MS);
        if (fileChanged && orders.mayChange()) {
            String next = fileTable;
            long seen = orders.owners().tableEpoch();
            ChangeResult r = put(t, change(o -> o.table(next, seen)), PROPOSE_MS);
            fileChanged = r.outcome() != ChangeResult.Outcome.DECIDED
                    || !section(r.value()).table().equals(next);
        }
    }

    /**
     * Nothing is agreed on: all begin, or what was agreed is lost. What was sent before must be over, and
     * whoever knew of it may be gone, so a hold time is waited from when this life was first seen.
     */
    private void first(ClusterHandle t, VersionedValue v, long now, boolean leads) {
        if (emptyLife != v.epoch()) {
            emptyLife = v.epoch();
            emptySince = now;
        }
        String text = fileTable;
        long hold = fence.holdMs(orders.longestRunMs());
        if (leads && now - emptySince >= hold) {
            put(
                    t,
                    value -> {
                        SlotAssignment before = written(value);
                        SlotAssignment next = before == null
                                ? SlotAssignment.initial(set.slots(), text, value.epoch())
                                : before.reinitialized(value.epoch());
                        return section(value) != null
                                ? value.text()
                                : SharedState.write(value.text(), SECTION, next.toJson());
                    },
                    PROPOSE_MS);
        }
    }

    /** Has it stored that a key has stopped; false: that is not known. */
    private boolean store(String key, long waitMs) {
        ClusterHandle t = ties;
        ChangeResult r = t == null ? null : put(t, change(o -> o.stopKey(member(t), key)), waitMs);
        SlotAssignment now = r == null || r.outcome() != ChangeResult.Outcome.DECIDED ? null : section(r.value());
        boolean stored = now != null && now.stoppedKeys().contains(key);
        if (!stored) {
            Event.of("partition.stop_not_stored", "key", key).warn();
        }
        return stored;
    }

    // ------------------------------------------------------------ calls

    /** The console's, by method and path. */
    public Map<String, Call> adminCalls() {
        return Map.of(
                "GET /admin/partition",
                ask -> new AdminResponse(200, shown(ask.query("key"))),
                "POST /admin/partition/table",
                waiting(this::table),
                "POST /admin/partition/start",
                waiting((t, ask) -> {
                    String key = ask.query("key");
                    if (key.isBlank()) {
                        throw new PartitionCallException(Reason.BAD_CALL, "the call lacks ?key=");
                    }
                    boolean[] was = new boolean[1];
                    ChangeResult r = put(
                            t,
                            change(o -> {
                                was[0] = o.stoppedKeys().contains(key);
                                return o.startKey(key);
                            }),
                            CALL_MS);
                    return told(r, was[0] ? "starts" : "was not stopped");
                }));
    }

    /** A call that is put to the fleet. */
    private interface Put {
        AdminResponse answer(ClusterHandle t, AdminRequest ask) throws FleetException;
    }

    private Call waiting(Put put) {
        return ask -> {
            if (!places.tryAcquire()) {
                return new AdminResponse(503, "other calls wait for the fleet");
            }
            try {
                ClusterHandle t = ties;
                if (t == null || orders.owners() == null) {
                    throw new PartitionCallException(
                            Reason.NOT_AGREED,
                            name
                                    + (t == null
                                            ? " is not in the group yet"
                                            : " knows of no table that is agreed on yet"));
                }
                return put.answer(t, ask);
            } catch (PartitionCallException e) {
                return new AdminResponse(e.status, e.getMessage());
            } catch (FleetException e) {
                return new AdminResponse(409, e.getMessage());
            } finally {
                places.release();
            }
        };
    }

    private static AdminResponse told(ChangeResult r, String done) {
        return r.outcome() == ChangeResult.Outcome.DECIDED
                ? new AdminResponse(200, done)
                : new AdminResponse(
                        r.outcome() == ChangeResult.Outcome.REJECTED ? 409 : 503,
                        r.error().getMessage());
    }

    private AdminResponse table(ClusterHandle t, AdminRequest ask) throws FleetException {
        PartitionSettings.read(
                ask.body(), ground.config().get(), ground.endpoints().workers());
        String text = packed(ask.body());
        SlotAssignment known = orders.owners();
        if (!known.table().equals(text) && !orders.mayChange()) {
            throw new PartitionCallException(
                    Reason.SETTLING, "the change of epoch " + known.tableEpoch() + " still settles");
        }
        ChangeResult r = put(t, change(o -> o.table(text, known.tableEpoch())), CALL_MS);
        SlotAssignment now = r.outcome() == ChangeResult.Outcome.DECIDED ? section(r.value()) : known;
        if (r.outcome() == ChangeResult.Outcome.DECIDED && !now.table().equals(text)) {
            throw new PartitionCallException(Reason.SETTLING, "another table came first, as epoch " + now.tableEpoch());
        }
        return told(r, "table of epoch " + now.tableEpoch());
    }

    private String shown(String key) {
        JsonObject all = new JsonObject();
        ClusterHandle t = ties;
        SlotAssignment o = orders.owners();
        RoutingTable table = orders.table();
        all.addProperty("name", name);
        all.addProperty("member", t == null ? "" : member(t));
        all.addProperty("joined", t != null);
        all.addProperty("lease", orders.leased());
        all.addProperty("waiting", orders.waiting());
        if (o == null) {
            return GSON.toJson(all);
        }
        all.addProperty("version", o.version());
        all.addProperty("epoch", o.epoch());
        all.addProperty("table_since", o.tableEpoch());
        all.addProperty("may_change", orders.mayChange());
        all.add("members", texts(o.members()));
        all.add("silent", texts(o.silent().keySet()));
        JsonArray slots = new JsonArray();
        JsonObject leavers = new JsonObject();
        for (int i = 0; i < o.slots().size(); i++) {
            SlotAssignment.Slot s = o.slots().get(i);
            slots.add(s.owner().isEmpty() ? "" : SlotAssignment.dispatcherName(s.owner()));
            if (!s.previousOwners().isEmpty()) {
                leavers.add(String.valueOf(i), texts(s.previousOwners().keySet()));
            }
        }
        all.add("slots", slots);
        all.add("open", GSON.toJsonTree(orders.openSlots()));
        all.add("leavers", leavers);
        JsonObject work = new JsonObject();
        table.partitions().keySet().forEach(p -> work.addProperty(p, orders.workToCome(p)));
        all.add("work_to_come_ms", work);
        all.add("stopped", texts(o.stoppedKeys()));
        if (!key.isBlank()) {
            all.addProperty("slot", o.slotOf(key));
            all.add("owner", slots.get(o.slotOf(key)));
        }
        all.add("table", JsonParser.parseString(CompressedTable.decompress(o.table())));
        return GSON.toJson(all);
    }

    private static JsonArray texts(Collection<String> texts) {
        JsonArray all = new JsonArray();
        new TreeSet<>(texts).forEach(all::add);
        return all;
    }
}

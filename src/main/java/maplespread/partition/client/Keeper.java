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
import maplespread.agreement.Change;
import maplespread.agreement.Result;
import maplespread.agreement.Value;
import maplespread.agreement.client.Register;
import maplespread.caller.Turns;
import maplespread.config.Config;
import maplespread.config.PartitionSettings;
import maplespread.console.Calls.Ask;
import maplespread.console.Calls.Call;
import maplespread.console.Calls.Reply;
import maplespread.faults.FleetError;
import maplespread.group.Sections;
import maplespread.log.Event;
import maplespread.membership.Update;
import maplespread.membership.client.Group;
import maplespread.partition.FenceSettings;
import maplespread.partition.Hearings;
import maplespread.partition.Owners;
import maplespread.partition.Table;
import maplespread.partition.TableError;
import maplespread.partition.client.PartitionRefused.Reason;
import maplespread.worker.Relay;

/**
 * This member's part in keeping order: one thread asks for the lease and answers nobody late, one has changes
 * decided and may wait for them, one gives jobs their turn when time alone brings it.
 */
public final class Keeper implements Closeable {
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
    public record Ties(Group group, Register register) {}

    /** What this stands on; {@code wants}: whether clients are to be sent here; {@code address}: for jobs. */
    public record Ground(
            Supplier<Config> config,
            Supplier<Ties> ties,
            BooleanSupplier wants,
            Supplier<String> address,
            Relay relay,
            Fleet fleet) {}

    private record Seat(long run, String address) {}

    /** The electors that a question went to, and those that have answered it. */
    private record Asked(long number, Set<String> electors, Set<String> answered) {
        Asked(long number, Collection<String> electors) {
            this(number, Set.copyOf(electors), ConcurrentHashMap.newKeySet());
        }

        boolean majority(Set<String> yes) {
            return 2 * yes.stream().filter(electors::contains).count() > electors.size();
        }
    }

    /** A value's own part, so that one value is read once. */
    private static final class Reading {
        private Value of;
        private Owners owners;

        /** Null: nothing is agreed on. */
        synchronized Owners read(Value v) {
            if (v != of) {
                owners = v == null ? null : section(v);
                of = v;
            }
            return owners;
        }
    }

    private final String name;
    private final PartitionSettings set;
    private final Ground ground;
    private final FenceSettings fence;
    private final Hearings.Patience patience;
    private final Orders orders;
    private final Hearings hearings = new Hearings(Orders.now()); // guarded by itself
    private final Map<String, Seat> seats = new ConcurrentHashMap<>();
    private final Map<String, Table> compiled = new ConcurrentHashMap<>();
    private final Reading voted = new Reading();
    private final Reading known = new Reading();
    private final Semaphore places = new Semaphore(PLACES);
    private final List<Thread> threads;
    private volatile Ties ties;
    private volatile Asked asked = new Asked(0, Set.of());
    private volatile String fileTable;
    private volatile boolean fileChanged; // its table is to be the fleet's
    private volatile boolean leaving;
    private volatile String unreadable = "";
    private volatile long answeredAt = Orders.now(); // by a majority, whatever it said
    private Owners told; // what the log has
    private long emptyLife, emptySince;
    private volatile long hereAt;

    public Keeper(PartitionSettings set, Ground ground) throws TableError {
        this.set = set;
        this.ground = ground;
        name = ground.config().get().name();
        fence = new FenceSettings(1, set.leaseMs(), set.drift());
        patience = new Hearings.Patience(set.silentMs(), set.goneMs());
        fileTable = packed(set.table());
        orders = new Orders(name, fence, table(fileTable), ground.fleet(), ground.relay(), new Others());
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
    public void leave() {
        leaving = true;
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }

    public Turns turns() {
        return orders;
    }

    /** Where other members take jobs. */
    public Collection<String> peers() {
        return seats.values().stream().map(Seat::address).toList();
    }

    /** The file has been read anew: another table than before is to be the fleet's. */
    public void file(PartitionSettings next) {
        String text = packed(next.table());
        if (!text.equals(fileTable)) {
            fileTable = text;
            fileChanged = true;
        }
    }

    private static String packed(String text) {
        return Packed.of(JsonParser.parseString(text).toString());
    }

    private Table table(String packed) throws TableError {
        Table known = compiled.get(packed);
        if (known == null) {
            known = PartitionSettings.read(Packed.text(packed), ground.config().get(), List.of());
            compiled.put(packed, known);
        }
        return known;
    }

    private final class Others implements Orders.Others {
        @Override
        public String address(String member) {
            Seat seat = seats.get(Owners.name(member));
            return seat != null && member.endsWith("#" + seat.run) ? seat.address : null;
        }

        @Override
        public boolean stop(String key, long waitMs) {
            return store(key, Math.min(STOP_MS, waitMs));
        }

        @Override
        public double mostPauseMs() {
            return ground.config().get().settings().permissions().maxPauseMs();
        }
    }

    // ------------------------------------------------------------ the lease

    private void asks() {
        loop(() -> {
            Ties t = ground.ties().get();
            if (t != null) {
                if (ties == null) {
                    orders.joined(member(t), set.slots());
                    t.group().channel(CHANNEL, (from, bytes) -> heard(t, from, bytes));
                    t.register().listen(this::learn);
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

    private String member(Ties t) {
        return name + '#' + t.group().boot();
    }

    /**
     * Whether this one is to own slots. Not while it cannot be told what is agreed: electors that hear it,
     * and that it does not hear, would leave its slots with it for ever. Nor with a table it cannot read.
     */
    private boolean wants() {
        return !leaving
                && unreadable.isEmpty()
                && Orders.now() - answeredAt < set.goneMs()
                && ground.wants().getAsBoolean();
    }

    private void ask(Ties t) {
        long now = Orders.now();
        Value v = t.register().known();
        if (v != null) {
            learn(v);
        }
        List<String> electors = electors(t, v);
        Orders.Question q = orders.ask();
        asked = new Asked(q.number(), electors);
        Note ask =
                Note.ask(t.group().boot(), q, v == null ? 0 : v.epoch(), v == null ? 0 : v.electorsNumber(), wants());
        byte[] bytes = ask.bytes();
        for (String e : electors) {
            if (e.equals(name)) {
                answered(name, q.number(), grants(t, name, ask));
            } else {
                t.group().send(CHANNEL, e, bytes);
            }
        }
        if (electors.contains(name)) {
            Hearings.Report report;
            synchronized (hearings) {
                Set<String> names = new TreeSet<>(
                        t.group().members().stream().map(Update::name).toList());
                hearings.keep(names);
                report = hearings.report(now);
            }
            byte[] heard = Note.heard(t.group().boot(), report).bytes();
            electors.stream()
                    .filter(e -> !e.equals(name))
                    .forEach(e -> t.group().send(CHANNEL, e, heard));
        }
        String address = ground.address().get();
        if (address != null && now - hereAt >= HERE_MS) {
            hereAt = now;
            byte[] here = Note.here(t.group().boot(), address).bytes();
            t.group().members().stream()
                    .map(Update::name)
                    .filter(m -> !m.equals(name))
                    .forEach(m -> t.group().send(CHANNEL, m, here));
        }
    }

    private static List<String> electors(Ties t, Value v) {
        return v != null ? v.electors() : t.register().electors().get(0);
    }

    /** On the group's receiving thread. */
    private void heard(Ties t, String from, byte[] bytes) {
        Note n = Note.read(bytes);
        if (n == null) {
            return;
        }
        switch (n.kind()) {
            case ASK ->
                t.group()
                        .send(
                                CHANNEL,
                                from,
                                Note.answer(t.group().boot(), n.number(), grants(t, from, n))
                                        .bytes());
            case ANSWER -> answered(from, n.number(), n.yes());
            case HEARD -> {
                synchronized (hearings) {
                    hearings.told(Orders.now(), from, n.report());
                }
            }
            case HERE -> {
                Seat was = seats.put(from, new Seat(n.run(), n.address()));
                if (was == null || was.run != n.run()) { // it may not know of this one yet
                    hereAt = 0;
                }
            }
        }
    }

    /**
     * Whether this one, as an elector, knows of nothing later. It goes by what it has voted for, decided or
     * not: once an epoch is decided, a majority has voted for it, though few may have heard so.
     */
    private boolean grants(Ties t, String from, Note ask) {
        synchronized (hearings) {
            hearings.heard(Orders.now(), from, ask.run(), ask.number(), ask.yes());
        }
        Value v = t.register().voted();
        if (v == null || v.epoch() != ask.life() || v.electorsNumber() > ask.electors()) {
            return false;
        }
        Owners owners = voted.read(v);
        return owners != null && owners.grants(from + '#' + ask.run(), ask.epoch());
    }

    private void answered(String elector, long number, boolean yes) {
        Asked to = asked;
        if (to.number != number) {
            return;
        }
        to.answered.add(elector);
        if (to.majority(to.answered)) {
            answeredAt = Orders.now();
        }
        if (yes) {
            orders.granted(elector, number, to::majority);
        }
    }

    // ------------------------------------------------------------ the agreed value

    private static Owners written(Value v) {
        String text = Sections.read(v.text(), SECTION);
        return text.isEmpty() ? null : Owners.read(text);
    }

    /**
     * Null: nothing is agreed on. Numbers begin with that of the register's life, so a lower one is of an
     * earlier life, which was founded anew since: some of what followed it may be lost.
     */
    private static Owners section(Value v) {
        Owners o = written(v);
        return o == null || o.version() < v.epoch() ? null : o;
    }

    private synchronized void learn(Value v) {
        Owners next = known.read(v);
        Owners last = orders.owners();
        if (next == null || last != null && next.version() <= last.version()) {
            return;
        }
        try {
            if (!orders.learned(next, table(next.table()), table(next.before()))) {
                return;
            }
            compiled.keySet().retainAll(List.of(next.table(), next.before(), fileTable));
            unreadable = "";
        } catch (TableError e) { // another's file may have other names
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
                            next.tableSince())
                    .info();
        }
        if (told == null || told.tableSince() != next.tableSince()) {
            Event.of("partition.table", "epoch", next.tableSince()).info();
        }
        Set<String> before = told == null ? Set.of() : told.stopped();
        next.stopped().stream()
                .filter(k -> !before.contains(k))
                .forEach(k -> Event.of("partition.stopped", "key", k).warn());
        before.stream()
                .filter(k -> !next.stopped().contains(k))
                .forEach(k -> Event.of("partition.started", "key", k).info());
        told = next;
    }

    /** A command as a change of the whole value, of which order has a section. */
    private static Change change(UnaryOperator<Owners> command) {
        return value -> {
            Owners now = section(value);
            Owners next = now == null ? null : command.apply(now);
            return next == now ? value.text() : Sections.write(value.text(), SECTION, next.text());
        };
    }

    private Result put(Ties t, Change change, long waitMs) {
        Result r = t.register().change(change, waitMs);
        if (r.kind() == Result.Kind.DECIDED) {
            learn(r.value());
        } else if (r.kind() == Result.Kind.REFUSED) {
            Event.of("partition.refused", "why", r.why().getMessage()).warn();
        }
        return r;
    }

    /** Has it decided where it would change what is known. */
    private void propose(Ties t, UnaryOperator<Owners> command) {
        Owners known = orders.owners();
        if (known != null && command.apply(known) != known) {
            put(t, change(command), PROPOSE_MS);
        }
    }

    private void changes() {
        loop(() -> {
            Ties t = ties;
            if (t != null) {
                look(t);
            }
            return Math.max(5, set.askMs() / 3);
        });
    }

    private void look(Ties t) {
        Value v = t.register().known();
        if (v == null) {
            put(t, Change.READ, PROPOSE_MS);
            return;
        }
        long now = Orders.now();
        boolean leads;
        synchronized (hearings) {
            leads = hearings.leads(now, v.electors(), name, set.silentMs());
        }
        if (known.read(v) == null) {
            first(t, v, now, leads);
            return;
        }
        if (leads) {
            propose(t, o -> {
                synchronized (hearings) {
                    long at = Orders.now(); // it may have stood still meanwhile
                    return !hearings.leads(at, v.electors(), name, set.silentMs())
                            ? o
                            : hearings.members(at, v.electors(), name, o, patience);
                }
            });
        }
        Set<Integer> done = orders.confirms();
        if (!done.isEmpty()) {
            propose(t, o -> o.confirm(member(t), done));
        }
        Map<Integer, Long> opened = orders.opened();
        if (!opened.isEmpty()) {
            propose(t, o -> o.opened(member(t), opened));
        }
        orders.storeStops(PROPOSE_MS);
        if (fileChanged && orders.mayChange()) {
            String next = fileTable;
            long seen = orders.owners().tableSince();
            Result r = put(t, change(o -> o.table(next, seen)), PROPOSE_MS);
            fileChanged = r.kind() != Result.Kind.DECIDED
                    || !section(r.value()).table().equals(next);
        }
    }

    /**
     * Nothing is agreed on: all begin, or what was agreed is lost. What was sent before must be over, and
     * whoever knew of it may be gone, so a hold time is waited from when this life was first seen.
     */
    private void first(Ties t, Value v, long now, boolean leads) {
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
                        Owners before = written(value);
                        Owners next = before == null
                                ? Owners.first(set.slots(), text, value.epoch())
                                : before.again(value.epoch());
                        return section(value) != null
                                ? value.text()
                                : Sections.write(value.text(), SECTION, next.text());
                    },
                    PROPOSE_MS);
        }
    }

    /** Has it stored that a key has stopped; false: that is not known. */
    private boolean store(String key, long waitMs) {
        Ties t = ties;
        Result r = t == null ? null : put(t, change(o -> o.stop(member(t), key)), waitMs);
        Owners now = r == null || r.kind() != Result.Kind.DECIDED ? null : section(r.value());
        boolean stored = now != null && now.stopped().contains(key);
        if (!stored) {
            Event.of("partition.stop_not_stored", "key", key).warn();
        }
        return stored;
    }

    // ------------------------------------------------------------ calls

    /** The console's, by method and path. */
    public Map<String, Call> calls() {
        return Map.of(
                "GET /admin/partition",
                ask -> new Reply(200, shown(ask.query("key"))),
                "POST /admin/partition/table",
                waiting(this::table),
                "POST /admin/partition/start",
                waiting((t, ask) -> {
                    String key = ask.query("key");
                    if (key.isBlank()) {
                        throw new PartitionRefused(Reason.BAD_CALL, "the call lacks ?key=");
                    }
                    boolean[] was = new boolean[1];
                    Result r = put(
                            t,
                            change(o -> {
                                was[0] = o.stopped().contains(key);
                                return o.start(key);
                            }),
                            CALL_MS);
                    return told(r, was[0] ? "starts" : "was not stopped");
                }));
    }

    /** A call that is put to the fleet. */
    private interface Put {
        Reply answer(Ties t, Ask ask) throws FleetError;
    }

    private Call waiting(Put put) {
        return ask -> {
            if (!places.tryAcquire()) {
                return new Reply(503, "other calls wait for the fleet");
            }
            try {
                Ties t = ties;
                if (t == null || orders.owners() == null) {
                    throw new PartitionRefused(
                            Reason.NOT_AGREED,
                            name
                                    + (t == null
                                            ? " is not in the group yet"
                                            : " knows of no table that is agreed on yet"));
                }
                return put.answer(t, ask);
            } catch (PartitionRefused e) {
                return new Reply(e.status, e.getMessage());
            } catch (FleetError e) {
                return new Reply(409, e.getMessage());
            } finally {
                places.release();
            }
        };
    }

    private static Reply told(Result r, String done) {
        return r.kind() == Result.Kind.DECIDED
                ? new Reply(200, done)
                : new Reply(r.kind() == Result.Kind.REFUSED ? 409 : 503, r.why().getMessage());
    }

    private Reply table(Ties t, Ask ask) throws FleetError {
        PartitionSettings.read(ask.body(), ground.config().get(), ground.fleet().workers());
        String text = packed(ask.body());
        Owners known = orders.owners();
        if (!known.table().equals(text) && !orders.mayChange()) {
            throw new PartitionRefused(Reason.SETTLING, "the change of epoch " + known.tableSince() + " still settles");
        }
        Result r = put(t, change(o -> o.table(text, known.tableSince())), CALL_MS);
        Owners now = r.kind() == Result.Kind.DECIDED ? section(r.value()) : known;
        if (r.kind() == Result.Kind.DECIDED && !now.table().equals(text)) {
            throw new PartitionRefused(Reason.SETTLING, "another table came first, as epoch " + now.tableSince());
        }
        return told(r, "table of epoch " + now.tableSince());
    }

    private String shown(String key) {
        JsonObject all = new JsonObject();
        Ties t = ties;
        Owners o = orders.owners();
        Table table = orders.table();
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
        all.addProperty("table_since", o.tableSince());
        all.addProperty("may_change", orders.mayChange());
        all.add("members", texts(o.members()));
        all.add("silent", texts(o.silent().keySet()));
        JsonArray slots = new JsonArray();
        JsonObject leavers = new JsonObject();
        for (int i = 0; i < o.slots().size(); i++) {
            Owners.Slot s = o.slots().get(i);
            slots.add(s.owner().isEmpty() ? "" : Owners.name(s.owner()));
            if (!s.leavers().isEmpty()) {
                leavers.add(String.valueOf(i), texts(s.leavers().keySet()));
            }
        }
        all.add("slots", slots);
        all.add("open", GSON.toJsonTree(orders.openSlots()));
        all.add("leavers", leavers);
        JsonObject work = new JsonObject();
        table.partitions().keySet().forEach(p -> work.addProperty(p, orders.workToCome(p)));
        all.add("work_to_come_ms", work);
        all.add("stopped", texts(o.stopped()));
        if (!key.isBlank()) {
            all.addProperty("slot", o.slotOf(key));
            all.add("owner", slots.get(o.slotOf(key)));
        }
        all.add("table", JsonParser.parseString(Packed.text(o.table())));
        return GSON.toJson(all);
    }

    private static JsonArray texts(Collection<String> texts) {
        JsonArray all = new JsonArray();
        new TreeSet<>(texts).forEach(all::add);
        return all;
    }
}

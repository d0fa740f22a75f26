package maplespread.release.client;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.Closeable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Semaphore;
import maplespread.agreement.Change;
import maplespread.agreement.Refused;
import maplespread.agreement.Result;
import maplespread.agreement.Value;
import maplespread.agreement.client.Register;
import maplespread.console.Calls.Ask;
import maplespread.console.Calls.Call;
import maplespread.console.Calls.Reply;
import maplespread.faults.FleetError;
import maplespread.group.Sections;
import maplespread.log.Event;
import maplespread.release.Command;
import maplespread.release.Commands;
import maplespread.release.Driver;
import maplespread.release.Limits;
import maplespread.release.Order;
import maplespread.release.Plan;
import maplespread.release.ReleaseRefused;
import maplespread.release.State;
import maplespread.release.View;

/**
 * This instance's part in releases: one thread looks, proposes and carries orders out; the console's calls
 * wait on threads of their own, a few at once, so that those that need no fleet always have a place.
 */
public final class Releases implements Closeable {
    /** What it stands on. */
    public interface Fleet {
        /** Null: not in the group yet. */
        Register register();

        View view();

        /** Of this process, as the group knows it. */
        long run();

        /** Sends clients away; false outside of service. */
        boolean quiesce();

        /** Has clients come again; false outside of service. */
        boolean resume();
    }

    private static final String SECTION = "release";
    private static final long STACK = 144 * 1024;
    private static final long CALL_MS = 1_900; // of a call that waits for the fleet
    private static final long PROPOSE_MS = 500; // less than a driver takes for a standstill
    private static final long LOOK_MS = 250;
    private static final long CONTACT_MS = 3_000; // a majority reached so long ago is not sure
    private static final long HAND_MS = CONTACT_MS + 1_000; // after that no console asks for a drain
    private static final int CALLS = 4;
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();
    private final String self;
    private final Fleet fleet;
    private final Workers workers;
    private final Semaphore places = new Semaphore(CALLS);
    private final Semaphore halts = new Semaphore(CALLS); // a halt waits behind no other call
    private final Thread thread;
    private final Object turn = new Object(); // of drains and of what takes them back
    private long recalled; // no drain by a leave up to this one
    private boolean forced; // drained without leave, by an operator
    private final Set<Long> back = new HashSet<>(); // leaves that the driver is to hear are back
    private final Map<String, String> wanted = new TreeMap<>(); // by an operator's hand: worker -> what
    private Map<Long, Long> backSince = new HashMap<>(); // leaves called back by hand -> since when
    private volatile Command limits; // to be proposed; null: done
    private volatile boolean majority;
    private volatile long contactAt;
    private volatile String waits = "";
    private Value read; // and what it says:
    private State state = State.EMPTY;

    /** {@code workers}: what drains them; {@code limits}: the operators' file's. */
    public Releases(String self, Fleet fleet, Workers workers, Limits limits) {
        this.self = self;
        this.fleet = fleet;
        this.workers = workers;
        this.limits = now -> {
            if (now.limits() != null && !now.limits().equals(limits)) {
                Event.of("release.limits_differ", "file", limits, "agreed", now.limits())
                        .warn();
            }
            return now.limits() == null ? Commands.limits(self, limits).apply(now) : now;
        };
        thread = new Thread(null, this::drive, "release", STACK);
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** The file's limits have been changed: they are to be the fleet's. At a start those agreed go before. */
    public void limits(Limits next) {
        limits = Commands.limits(self, next);
    }

    @Override
    public void close() {
        thread.interrupt();
        workers.close();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    // ------------------------------------------------------------ the agreed state

    private State state(Value value) {
        synchronized (turn) {
            if (value != null && value.after(read)) {
                state = State.read(Sections.read(value.text(), SECTION));
                read = value;
            }
            return state;
        }
    }

    /** A command as a change of the whole value, of which releases have a section. */
    private static Change change(Command command) {
        return value -> {
            State now = State.read(Sections.read(value.text(), SECTION));
            try {
                State next = command.apply(now);
                return next.equals(now) ? value.text() : Sections.write(value.text(), SECTION, next.text());
            } catch (ReleaseRefused e) {
                throw new Refused(e.wrong(), e.works(), e.remedy());
            }
        };
    }

    private Result put(Register register, Change change, long waitMs) {
        Result r = register.change(change, waitMs);
        majority = r.kind() != Result.Kind.NO_MAJORITY;
        if (majority) {
            contactAt = now();
        }
        return r;
    }

    /** The newest state, by a majority; null where there is none. */
    private State newest(Register register, long waitMs) {
        Result r = put(register, Change.READ, waitMs);
        return r.kind() == Result.Kind.DECIDED ? state(r.value()) : null;
    }

    // ------------------------------------------------------------ this instance's part

    private void drive() {
        Driver driver = new Driver(Driver.Settings.DEFAULT, self, now());
        while (!Thread.currentThread().isInterrupted()) {
            long again = now() + LOOK_MS;
            try {
                Register register = fleet.register();
                if (register != null) {
                    again = Math.min(again, look(driver, register));
                }
            } catch (RuntimeException | Error e) { // the next look must still come
                Event.of("release.fault", "why", e).error();
            }
            try {
                Thread.sleep(Math.max(10, again - now()));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long look(Driver driver, Register register) {
        State now = state(register.known());
        boolean on = now.on() || !now.leaves().isEmpty(); // else nobody waits for what a majority knows
        if (!majority || on && now() - contactAt > CONTACT_MS) {
            put(register, Change.READ, PROPOSE_MS);
            now = state(register.known());
        }
        Command mine = limits;
        if (mine != null
                && majority
                && put(register, change(mine), PROPOSE_MS).kind() == Result.Kind.DECIDED
                && limits == mine) {
            limits = null;
            now = state(register.known());
        }
        synchronized (turn) {
            back.forEach(driver::recalled);
            back.clear();
        }
        Driver.Next next = driver.look(now(), now, fleet.view(), majority);
        waits = next.waits();
        for (Command c : next.propose()) {
            if (put(register, change(c), PROPOSE_MS).kind() == Result.Kind.NO_MAJORITY) {
                break;
            }
        }
        synchronized (wanted) {
            wanted.clear();
        }
        Map<Long, Long> before = backSince;
        backSince = new HashMap<>();
        for (Order order : next.orders()) {
            if (order instanceof Order.Recall) {
                backSince.put(order.leave(), before.getOrDefault(order.leave(), now()));
            }
            if (order.member().equals(self)) {
                ofThisOne(register, order);
            } else {
                ofWorker(register, order);
            }
        }
        return next.again();
    }

    /**
     * Whether a drain may begin, as a majority knows it at this moment. An answer that is older than the time
     * it may take counts for nothing: one that stood still after it might drain long after a halt.
     */
    private boolean stands(Register register, Order order) {
        long asked = now();
        State newest = newest(register, PROPOSE_MS);
        return newest != null
                && Commands.stands(newest, order.member(), order.run(), order.leave())
                && now() - asked <= PROPOSE_MS;
    }

    /** A drain, or what takes one back, of this very instance. */
    void ofThisOne(Register register, Order order) {
        boolean drain = order instanceof Order.Drain;
        if (order.run() != fleet.run() || drain && !stands(register, order)) {
            return;
        }
        synchronized (turn) { // a drain may not pass what takes it back
            if (drain && order.leave() > recalled && fleet.quiesce()) {
                Event.of("release.out", "member", self, "leave", order.leave()).info();
            } else if (!drain) {
                takeBack(order.leave());
            }
        }
    }

    /** Serves again, and refuses each later drain by this leave. Under the lock. */
    private void takeBack(long leave) {
        recalled = Math.max(recalled, leave);
        if (forced || fleet.resume()) { // an operator's own drain stays
            back.add(leave);
            Event.of("release.taken_back", "member", self, "leave", leave).info();
        }
    }

    private void ofWorker(Register register, Order order) {
        boolean drain = order instanceof Order.Drain;
        if (!workers.byRegistry()) {
            View.Member m = fleet.view().member(order.member());
            if (!drain || majority && now() - contactAt <= CONTACT_MS) {
                synchronized (wanted) { // what may be over is asked of nobody
                    wanted.put(order.member(), drain ? "drain" : "serve");
                }
            }
            // Not before every console that has not heard of it has stopped to ask for the drain.
            if (!drain && m != null && m.serving() && now() - backSince.get(order.leave()) >= HAND_MS) {
                taken(order.leave()); // who drains it later has no leave
            }
        } else if (drain) {
            workers.drain(order, () -> stands(register, order));
        } else {
            workers.recall(order, () -> taken(order.leave()));
        }
    }

    private void taken(long leave) {
        synchronized (turn) {
            back.add(leave);
        }
    }

    // ------------------------------------------------------------ calls

    /** The console's, by method and path. */
    public Map<String, Call> calls() {
        return Map.of(
                "GET /admin/release",
                ask -> new Reply(200, shown()),
                "POST /admin/release",
                waiting((r, ask) -> {
                    Plan plan = Plan.read(ask.body());
                    return told(put(r, change(Commands.begin(by(ask), plan, fleet.view())), CALL_MS));
                }),
                "POST /admin/release/halt",
                waiting(halts, (r, ask) -> {
                    need(ask, "why");
                    return told(put(r, change(Commands.halt(by(ask), ask.query("why"))), CALL_MS));
                }),
                "POST /admin/release/go-on",
                act((ask, act) -> Commands.goOn(by(ask), ask.query("why"), act)),
                "POST /admin/release/roll-back",
                act((ask, act) -> Commands.rollBack(by(ask), ask.query("why"), act)),
                "POST /admin/release/abandon",
                act((ask, act) -> Commands.abandon(by(ask), ask.query("why"), act)),
                "POST /admin/release/gone",
                waiting((r, ask) -> {
                    need(ask, "member");
                    return told(put(r, change(Commands.gone(by(ask), ask.query("member"))), CALL_MS));
                }),
                "POST /admin/quiesce",
                this::quiesce,
                "POST /admin/resume",
                this::resume);
    }

    /** A call that is put to the fleet. */
    private interface Put {
        Reply answer(Register register, Ask ask) throws FleetError;
    }

    /** What an operator does about the release, as it is known where the call comes. */
    private interface Act {
        Command of(Ask ask, long act);
    }

    private Call act(Act act) {
        return waiting((r, ask) -> {
            need(ask, "why");
            return told(put(r, change(act.of(ask, state(r.known()).acts())), CALL_MS));
        });
    }

    private Call waiting(Put put) {
        return waiting(places, put);
    }

    private Call waiting(Semaphore free, Put put) {
        return ask -> {
            if (!free.tryAcquire()) {
                return told(503, new CallRefused(CallRefused.Reason.TOO_MANY, "other calls wait for the fleet"));
            }
            try {
                Register register = fleet.register();
                if (register == null) {
                    throw new CallRefused(CallRefused.Reason.NOT_JOINED, self + " is not in the group yet");
                }
                return put.answer(register, ask);
            } catch (CallRefused e) {
                return told(e.status, e);
            } catch (FleetError e) {
                return told(409, e);
            } finally {
                free.release();
            }
        };
    }

    private static void need(Ask ask, String key) throws CallRefused {
        if (ask.query(key).isBlank()) {
            throw new CallRefused(CallRefused.Reason.BAD_CALL, "the call lacks ?" + key + "=");
        }
    }

    private String by(Ask ask) {
        return ask.query("by").isBlank() ? "operator at " + self : ask.query("by");
    }

    private Reply told(Result r) {
        return switch (r.kind()) {
            case DECIDED -> {
                State now = state(r.value());
                yield new Reply(
                        200, now.phase() == null ? "no release" : now.phase().toString());
            }
            case REFUSED -> told(409, r.why());
            case NO_MAJORITY -> told(503, r.why());
        };
    }

    private static Reply told(int status, Exception why) {
        return new Reply(status, why.getMessage());
    }

    /** A drain by call: with leave, which is asked for where no release is on, or by force with a word. */
    private Reply quiesce(Ask ask) {
        String word = ask.query("force");
        if (!word.isBlank()) {
            return force(word);
        }
        return waiting((register, a) -> {
                    long end = now() + CALL_MS;
                    Result r = put(register, Change.READ, CALL_MS);
                    if (r.kind() != Result.Kind.DECIDED) {
                        return told(409, r.why()); // what is agreed cannot be known
                    }
                    State known = state(r.value());
                    State.Leave held = known.leaves().get(self);
                    boolean bound = known.on() || !known.inForce().isEmpty() || known.halt() != null;
                    if (bound && (held == null || held.run() != fleet.run())) {
                        if (known.on()) {
                            Commands.checkDrain(known, self);
                        }
                        r = put(
                                register,
                                change(Commands.leaveByHand(by(a), self, known.calm(), fleet.view(), a.query("why"))),
                                Math.max(1, end - now()));
                        if (r.kind() != Result.Kind.DECIDED) {
                            return told(409, r.why());
                        }
                        held = state(r.value()).leaves().get(self);
                    } else if (held != null) {
                        Commands.checkDrain(known, self); // its leave may be called back
                    }
                    synchronized (turn) {
                        if (bound && (held == null || held.number() <= recalled)) {
                            return new Reply(409, "the leave has been given back meanwhile");
                        }
                        return fleet.quiesce()
                                ? new Reply(200, "drains; resume ends it")
                                : new Reply(409, "not in service");
                    }
                })
                .answer(ask);
    }

    /** An operator's word goes before all that is agreed, also without a majority; it is logged at least. */
    private Reply force(String word) {
        Event.of("release.forced", "member", self, "word", word).warn();
        synchronized (turn) {
            if (!fleet.quiesce()) {
                return new Reply(409, "not in service");
            }
            forced = true;
        }
        Reply told = waiting((r, ask) -> told(put(r, change(Commands.force(self, self, word)), CALL_MS)))
                .answer(null);
        return new Reply(
                200,
                "drains without leave"
                        + (told.status() == 200
                                ? "; the fleet knows"
                                : "; the fleet could not be told: " + told.text()));
    }

    private Reply resume(Ask ask) {
        synchronized (turn) {
            forced = false;
            if (!fleet.resume()) {
                return new Reply(409, "not in service");
            }
            State.Leave held = state.leaves().get(self);
            if (held != null && held.run() == fleet.run()) {
                takeBack(held.number());
            }
            return new Reply(200, "at work");
        }
    }

    private String shown() {
        Register register = fleet.register();
        Value value = register == null ? null : register.known();
        State now = state(value);
        JsonObject all = new JsonObject();
        all.addProperty("instance", self);
        all.addProperty("joined", register != null);
        all.addProperty("majority", majority);
        all.addProperty("version", value == null ? "" : value.epoch() + "." + value.version());
        all.addProperty("phase", now.phase() == null ? "" : now.phase().name());
        all.addProperty("step", now.step());
        all.addProperty("waits", waits);
        JsonArray out = new JsonArray();
        now.out().forEach(out::add);
        all.add("out", out);
        JsonObject hand = new JsonObject();
        synchronized (wanted) {
            wanted.forEach(hand::addProperty);
        }
        all.add("wanted_by_hand", hand);
        all.add("agreed", GSON.toJsonTree(now));
        return GSON.toJson(all);
    }
}

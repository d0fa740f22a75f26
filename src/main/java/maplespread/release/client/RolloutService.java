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
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.cluster.SharedState;
import maplespread.consensus.ChangeRejectedException;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.errors.FleetException;
import maplespread.log.Event;
import maplespread.release.DrainPermission;
import maplespread.release.FleetView;
import maplespread.release.Limits;
import maplespread.release.OperatorCommands;
import maplespread.release.ReleaseCommand;
import maplespread.release.ReleasePlan;
import maplespread.release.ReleaseRejectedException;
import maplespread.release.RolloutAction;
import maplespread.release.RolloutController;
import maplespread.release.RolloutState;

/**
 * This instance's part in releases: one thread looks, proposes and carries orders out; the console's calls
 * wait on threads of their own, a few at once, so that those that need no fleet always have a place.
 */
public final class RolloutService implements Closeable {
    /** What it stands on. */
    public interface LocalInstance {
        /** Null: not in the group yet. */
        ReplicatedRegister register();

        FleetView view();

        /** Of this process, as the group knows it. */
        long incarnation();

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
    private final LocalInstance fleet;
    private final WorkerDrainer workers;
    private final Semaphore places = new Semaphore(CALLS);
    private final Semaphore halts = new Semaphore(CALLS); // a halt waits behind no other call
    private final Thread thread;
    private final Object turn = new Object(); // of drains and of what takes them back
    private long recalled; // no drain by a leave up to this one
    private boolean forced; // drained without leave, by an operator
    private final Set<Long> back = new HashSet<>(); // leaves that the driver is to hear are back
    private final Map<String, String> wanted = new TreeMap<>(); // by an operator's hand: worker -> what
    private Map<Long, Long> backSince = new HashMap<>(); // leaves called back by hand -> since when
    private volatile ReleaseCommand limits; // to be proposed; null: done
    private volatile boolean majority;
    private volatile long contactAt;
    private volatile String waits = "";
    private VersionedValue read; // and what it says:
    private RolloutState state = RolloutState.EMPTY;

    /** {@code workers}: what drains them; {@code limits}: the operators' file's. */
    public RolloutService(String self, LocalInstance fleet, WorkerDrainer workers, Limits limits) {
        this.self = self;
        this.fleet = fleet;
        this.workers = workers;
        this.limits = now -> {
            if (now.limits() != null && !now.limits().equals(limits)) {
                Event.of("release.limits_differ", "file", limits, "agreed", now.limits())
                        .warn();
            }
            return now.limits() == null
                    ? OperatorCommands.setLimits(self, limits).apply(now)
                    : now;
        };
        thread = new Thread(null, this::drive, "release", STACK);
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** The file's limits have been changed: they are to be the fleet's. At a start those agreed go before. */
    public void limits(Limits next) {
        limits = OperatorCommands.setLimits(self, next);
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

    private RolloutState state(VersionedValue value) {
        synchronized (turn) {
            if (value != null && value.isLaterThan(read)) {
                state = RolloutState.parse(SharedState.read(value.text(), SECTION));
                read = value;
            }
            return state;
        }
    }

    /** A command as a change of the whole value, of which releases have a section. */
    private static Mutation change(ReleaseCommand command) {
        return value -> {
            RolloutState now = RolloutState.parse(SharedState.read(value.text(), SECTION));
            try {
                RolloutState next = command.apply(now);
                return next.equals(now) ? value.text() : SharedState.write(value.text(), SECTION, next.toText());
            } catch (ReleaseRejectedException e) {
                throw new ChangeRejectedException(e.problem(), e.unaffected(), e.remedy());
            }
        };
    }

    private ChangeResult put(ReplicatedRegister register, Mutation change, long waitMs) {
        ChangeResult r = register.change(change, waitMs);
        majority = r.outcome() != ChangeResult.Outcome.NO_MAJORITY;
        if (majority) {
            contactAt = now();
        }
        return r;
    }

    /** The newest state, by a majority; null where there is none. */
    private RolloutState newest(ReplicatedRegister register, long waitMs) {
        ChangeResult r = put(register, Mutation.READ, waitMs);
        return r.outcome() == ChangeResult.Outcome.DECIDED ? state(r.value()) : null;
    }

    // ------------------------------------------------------------ this instance's part

    private void drive() {
        RolloutController driver = new RolloutController(RolloutController.Settings.DEFAULT, self, now());
        while (!Thread.currentThread().isInterrupted()) {
            long again = now() + LOOK_MS;
            try {
                ReplicatedRegister register = fleet.register();
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

    private long look(RolloutController driver, ReplicatedRegister register) {
        RolloutState now = state(register.decidedValue());
        boolean on = now.inProgress() || !now.plannedOutages().isEmpty(); // else nobody waits for what a majority knows
        if (!majority || on && now() - contactAt > CONTACT_MS) {
            put(register, Mutation.READ, PROPOSE_MS);
            now = state(register.decidedValue());
        }
        ReleaseCommand mine = limits;
        if (mine != null
                && majority
                && put(register, change(mine), PROPOSE_MS).outcome() == ChangeResult.Outcome.DECIDED
                && limits == mine) {
            limits = null;
            now = state(register.decidedValue());
        }
        synchronized (turn) {
            back.forEach(driver::drainCancelled);
            back.clear();
        }
        RolloutController.Decision next = driver.evaluate(now(), now, fleet.view(), majority);
        waits = next.waitingFor();
        for (ReleaseCommand c : next.proposals()) {
            if (put(register, change(c), PROPOSE_MS).outcome() == ChangeResult.Outcome.NO_MAJORITY) {
                break;
            }
        }
        synchronized (wanted) {
            wanted.clear();
        }
        Map<Long, Long> before = backSince;
        backSince = new HashMap<>();
        for (RolloutAction order : next.actions()) {
            if (order instanceof RolloutAction.CancelDrain) {
                backSince.put(order.outageNumber(), before.getOrDefault(order.outageNumber(), now()));
            }
            if (order.member().equals(self)) {
                ofThisOne(register, order);
            } else {
                ofWorker(register, order);
            }
        }
        return next.nextCheckAtMs();
    }

    /**
     * Whether a drain may begin, as a majority knows it at this moment. An answer that is older than the time
     * it may take counts for nothing: one that stood still after it might drain long after a halt.
     */
    private boolean stands(ReplicatedRegister register, RolloutAction order) {
        long asked = now();
        RolloutState newest = newest(register, PROPOSE_MS);
        return newest != null
                && DrainPermission.isPermitted(newest, order.member(), order.incarnation(), order.outageNumber())
                && now() - asked <= PROPOSE_MS;
    }

    /** A drain, or what takes one back, of this very instance. */
    void ofThisOne(ReplicatedRegister register, RolloutAction order) {
        boolean drain = order instanceof RolloutAction.Drain;
        if (order.incarnation() != fleet.incarnation() || drain && !stands(register, order)) {
            return;
        }
        synchronized (turn) { // a drain may not pass what takes it back
            if (drain && order.outageNumber() > recalled && fleet.quiesce()) {
                Event.of("release.out", "member", self, "leave", order.outageNumber())
                        .info();
            } else if (!drain) {
                takeBack(order.outageNumber());
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

    private void ofWorker(ReplicatedRegister register, RolloutAction order) {
        boolean drain = order instanceof RolloutAction.Drain;
        if (!workers.byRegistry()) {
            FleetView.Member m = fleet.view().member(order.member()).orElse(null);
            if (!drain || majority && now() - contactAt <= CONTACT_MS) {
                synchronized (wanted) { // what may be over is asked of nobody
                    wanted.put(order.member(), drain ? "drain" : "serve");
                }
            }
            // Not before every console that has not heard of it has stopped to ask for the drain.
            if (!drain && m != null && m.serving() && now() - backSince.get(order.outageNumber()) >= HAND_MS) {
                taken(order.outageNumber()); // who drains it later has no leave
            }
        } else if (drain) {
            workers.drain(order, () -> stands(register, order));
        } else {
            workers.recall(order, () -> taken(order.outageNumber()));
        }
    }

    private void taken(long leave) {
        synchronized (turn) {
            back.add(leave);
        }
    }

    // ------------------------------------------------------------ calls

    /** The console's, by method and path. */
    public Map<String, Call> adminRoutes() {
        return Map.of(
                "GET /admin/release",
                ask -> new AdminResponse(200, shown()),
                "POST /admin/release",
                waiting((r, ask) -> {
                    ReleasePlan plan = ReleasePlan.read(ask.body());
                    return told(put(r, change(OperatorCommands.begin(by(ask), plan, fleet.view())), CALL_MS));
                }),
                "POST /admin/release/halt",
                waiting(halts, (r, ask) -> {
                    need(ask, "why");
                    return told(put(r, change(OperatorCommands.halt(by(ask), ask.query("why"))), CALL_MS));
                }),
                "POST /admin/release/go-on",
                act((ask, act) -> OperatorCommands.resume(by(ask), ask.query("why"), act)),
                "POST /admin/release/roll-back",
                act((ask, act) -> OperatorCommands.rollBack(by(ask), ask.query("why"), act)),
                "POST /admin/release/abandon",
                act((ask, act) -> OperatorCommands.abandon(by(ask), ask.query("why"), act)),
                "POST /admin/release/gone",
                waiting((r, ask) -> {
                    need(ask, "member");
                    return told(put(r, change(OperatorCommands.removeMember(by(ask), ask.query("member"))), CALL_MS));
                }),
                "POST /admin/quiesce",
                this::quiesce,
                "POST /admin/resume",
                this::resume);
    }

    /** A call that is put to the fleet. */
    private interface Put {
        AdminResponse answer(ReplicatedRegister register, AdminRequest ask) throws FleetException;
    }

    /** What an operator does about the release, as it is known where the call comes. */
    private interface Act {
        ReleaseCommand of(AdminRequest ask, long act);
    }

    private Call act(Act act) {
        return waiting((r, ask) -> {
            need(ask, "why");
            return told(put(r, change(act.of(ask, state(r.decidedValue()).controlVersion())), CALL_MS));
        });
    }

    private Call waiting(Put put) {
        return waiting(places, put);
    }

    private Call waiting(Semaphore free, Put put) {
        return ask -> {
            if (!free.tryAcquire()) {
                return told(
                        503,
                        new CallRejectedException(
                                CallRejectedException.Reason.TOO_MANY, "other calls wait for the fleet"));
            }
            try {
                ReplicatedRegister register = fleet.register();
                if (register == null) {
                    throw new CallRejectedException(
                            CallRejectedException.Reason.NOT_JOINED, self + " is not in the group yet");
                }
                return put.answer(register, ask);
            } catch (CallRejectedException e) {
                return told(e.status, e);
            } catch (FleetException e) {
                return told(409, e);
            } finally {
                free.release();
            }
        };
    }

    private static void need(AdminRequest ask, String key) throws CallRejectedException {
        if (ask.query(key).isBlank()) {
            throw new CallRejectedException(CallRejectedException.Reason.BAD_CALL, "the call lacks ?" + key + "=");
        }
    }

    private String by(AdminRequest ask) {
        return ask.query("by").isBlank() ? "operator at " + self : ask.query("by");
    }

    private AdminResponse told(ChangeResult r) {
        return switch (r.outcome()) {
            case DECIDED -> {
                RolloutState now = state(r.value());
                yield new AdminResponse(
                        200, now.phase() == null ? "no release" : now.phase().toString());
            }
            case REJECTED -> told(409, r.error());
            case NO_MAJORITY -> told(503, r.error());
        };
    }

    private static AdminResponse told(int status, Exception why) {
        return new AdminResponse(status, why.getMessage());
    }

    /** A drain by call: with leave, which is asked for where no release is on, or by force with a word. */
    private AdminResponse quiesce(AdminRequest ask) {
        String word = ask.query("force");
        if (!word.isBlank()) {
            return force(word);
        }
        return waiting((register, a) -> {
                    long end = now() + CALL_MS;
                    ChangeResult r = put(register, Mutation.READ, CALL_MS);
                    if (r.outcome() != ChangeResult.Outcome.DECIDED) {
                        return told(409, r.error()); // what is agreed cannot be known
                    }
                    RolloutState known = state(r.value());
                    RolloutState.PlannedOutage held = known.plannedOutages().get(self);
                    boolean bound = known.inProgress() || !known.limitsInForce().isEmpty() || known.halt() != null;
                    if (bound && (held == null || held.incarnation() != fleet.incarnation())) {
                        if (known.inProgress()) {
                            DrainPermission.require(known, self);
                        }
                        r = put(
                                register,
                                change(OperatorCommands.grantManualOutage(
                                        by(a), self, known.stabilityVersion(), fleet.view(), a.query("why"))),
                                Math.max(1, end - now()));
                        if (r.outcome() != ChangeResult.Outcome.DECIDED) {
                            return told(409, r.error());
                        }
                        held = state(r.value()).plannedOutages().get(self);
                    } else if (held != null) {
                        DrainPermission.require(known, self); // its leave may be called back
                    }
                    synchronized (turn) {
                        if (bound && (held == null || held.number() <= recalled)) {
                            return new AdminResponse(409, "the leave has been given back meanwhile");
                        }
                        return fleet.quiesce()
                                ? new AdminResponse(200, "drains; resume ends it")
                                : new AdminResponse(409, "not in service");
                    }
                })
                .answer(ask);
    }

    /** An operator's word goes before all that is agreed, also without a majority; it is logged at least. */
    private AdminResponse force(String word) {
        Event.of("release.forced", "member", self, "word", word).warn();
        synchronized (turn) {
            if (!fleet.quiesce()) {
                return new AdminResponse(409, "not in service");
            }
            forced = true;
        }
        AdminResponse told = waiting(
                        (r, ask) -> told(put(r, change(OperatorCommands.forceDrain(self, self, word)), CALL_MS)))
                .answer(null);
        return new AdminResponse(
                200,
                "drains without leave"
                        + (told.status() == 200
                                ? "; the fleet knows"
                                : "; the fleet could not be told: " + told.text()));
    }

    private AdminResponse resume(AdminRequest ask) {
        synchronized (turn) {
            forced = false;
            if (!fleet.resume()) {
                return new AdminResponse(409, "not in service");
            }
            RolloutState.PlannedOutage held = state.plannedOutages().get(self);
            if (held != null && held.incarnation() == fleet.incarnation()) {
                takeBack(held.number());
            }
            return new AdminResponse(200, "at work");
        }
    }

    private String shown() {
        ReplicatedRegister register = fleet.register();
        VersionedValue value = register == null ? null : register.decidedValue();
        RolloutState now = state(value);
        JsonObject all = new JsonObject();
        all.addProperty("instance", self);
        all.addProperty("joined", register != null);
        all.addProperty("majority", majority);
        all.addProperty("version", value == null ? "" : value.epoch() + "." + value.version());
        all.addProperty("phase", now.phase() == null ? "" : now.phase().name());
        all.addProperty("step", now.currentStep());
        all.addProperty("waits", waits);
        JsonArray out = new JsonArray();
        now.unavailableMembers().forEach(out::add);
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

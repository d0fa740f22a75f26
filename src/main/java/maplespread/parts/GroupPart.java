package maplespread.parts;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import maplespread.agreement.AgreementSettings;
import maplespread.agreement.Result;
import maplespread.agreement.Value;
import maplespread.agreement.client.Register;
import maplespread.config.Config;
import maplespread.config.GroupSettings;
import maplespread.config.Operator;
import maplespread.console.Calls.Ask;
import maplespread.console.Calls.Call;
import maplespread.console.Calls.Reply;
import maplespread.group.Status;
import maplespread.group.Statuses;
import maplespread.log.Event;
import maplespread.membership.MembershipSettings;
import maplespread.membership.Update;
import maplespread.membership.client.Group;
import org.tinylog.Logger;

/**
 * The other dispatchers: who is there, what each says of itself, and the value that all agree on. A
 * dispatcher serves whether it gets into the group or not: where its address is taken, by the process that it
 * relieves say, it tries again.
 */
final class GroupPart implements Part {
    private static final int STATUSES = 2; // the channel; the register has the first
    private static final long ROUND_MS = 500;
    private static final long CALL_MS = 1_900;
    private static final long STACK = 144 * 1024;
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    /** What there is once this one is in the group. */
    record Joined(Group group, Register register, Statuses statuses) {}

    private final String name;
    private final String zone;
    private final long seed;
    private final Host host;
    private final GroupSettings begun;
    private final Thread thread;
    private volatile GroupSettings now; // as the file has it
    private volatile Joined joined; // null: not yet
    private boolean served; // once: then it drains, and starts no more
    private volatile boolean over;
    private String why = ""; // it is not, as was logged last

    GroupPart(GroupSettings set, Config config, Host host) {
        this.host = host;
        begun = set;
        now = set;
        name = config.name();
        zone = config.names().zones().get(config.settings().zone());
        seed = config.seed();
        thread = daemon("group", this::run);
    }

    private static Thread daemon(String name, Runnable work) {
        Thread t = new Thread(null, work, name, STACK);
        t.setDaemon(true);
        return t;
    }

    /** Null before this one is in the group. */
    Joined joined() {
        return joined;
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void start() {
        join();
        thread.start();
    }

    private void join() {
        GroupSettings set = now;
        try {
            Group group = new Group(
                    new MembershipSettings(
                            name,
                            begun.address(),
                            begun.seeds(),
                            begun.periodMs(),
                            begun.ackMs(),
                            3,
                            5,
                            6,
                            4,
                            8,
                            1000,
                            60_000,
                            1200),
                    begun.listen(),
                    set.keys().byId(),
                    seed ^ System.nanoTime());
            Register register = new Register(AgreementSettings.of(name, set.electors()), group, seed);
            Statuses statuses =
                    new Statuses(group.boot(), version(), zone, (to, bytes) -> group.send(STATUSES, to, bytes));
            group.channel(STATUSES, (from, bytes) -> statuses.heard(from, bytes, nowMs()));
            joined = new Joined(group, register, statuses);
            Event.of("group.joined", "member", name, "listen", begun.listen(), "electors", set.electors())
                    .info();
        } catch (IOException e) {
            if (!e.toString().equals(why)) { // it is tried twice a second
                why = e.toString();
                Event.of("group.not_joined", "listen", begun.listen(), "why", e.getMessage())
                        .warn();
            }
        }
    }

    private String version() {
        String jar = GroupPart.class.getPackage().getImplementationVersion();
        return !begun.version().isEmpty() ? begun.version() : jar == null ? "" : jar;
    }

    private void run() {
        try {
            while (!over) {
                try {
                    if (joined == null) {
                        join();
                    }
                    tell();
                } catch (RuntimeException | Error e) { // the next round must still come
                    Event.of("group.fault", "why", e).error();
                }
                synchronized (this) {
                    wait(ROUND_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tell() {
        Joined j = joined;
        if (j == null) {
            return;
        }
        List<Update> members = j.group.members();
        j.statuses.keep(members.stream().map(Update::name).toList());
        List<String> others = members.stream()
                .filter(m -> !m.name().equals(name) && m.state() != Update.State.DEAD && m.state() != Update.State.LEFT)
                .map(Update::name)
                .toList();
        boolean serving = host.serving();
        served |= serving;
        j.statuses.tell(
                name,
                serving ? Status.Phase.SERVING : served ? Status.Phase.DRAINING : Status.Phase.STARTING,
                host.figures().totals(),
                others,
                nowMs());
    }

    /** The others are told at once, not at the next round. */
    synchronized void soon() {
        notifyAll();
    }

    @Override
    public void stop() {
        soon();
    }

    @Override
    public void reload(Config config, Operator next) {
        GroupSettings set = next.group();
        if (set == null) {
            Logger.warn("operator: group is taken out only by a restart");
            return;
        }
        List<String> later = begun.needingRestart(set);
        if (!later.isEmpty()) {
            Logger.warn("operator: changed, but taken up only by a restart: {}", later);
        }
        GroupSettings was = now;
        now = set;
        Joined j = joined;
        if (j != null) {
            j.group.keys(set.keys().byId());
            if (!was.electors().equals(set.electors())) {
                daemon("group electors", () -> electors(j.register, set)).start();
            }
        }
    }

    /** Goes on until it is done, or the file says something else. */
    private void electors(Register register, GroupSettings set) {
        while (!over && now == set) {
            Result r = register.electors(set.electors(), CALL_MS);
            if (r.kind() != Result.Kind.NO_MAJORITY) {
                boolean done = r.kind() == Result.Kind.DECIDED;
                Event.write(
                        !done,
                        "group.electors",
                        "wanted",
                        set.electors(),
                        "now",
                        r.value() == null ? null : r.value().electors(),
                        "why",
                        done ? null : r.why());
                return;
            }
        }
    }

    @Override
    public Map<String, Call> calls() {
        return Map.of("GET /admin/group", ask -> new Reply(200, shown()), "POST /admin/group/found", this::found);
    }

    /** After a majority of electors has restarted at once: the file's electors begin anew. */
    private Reply found(Ask ask) {
        Joined j = joined;
        if (ask.query("why").isBlank()) {
            return new Reply(400, "the call lacks ?why=; what is agreed so far may be lost by it");
        }
        if (j == null) {
            return new Reply(503, name + " is not in the group yet: look for group.not_joined in the log");
        }
        Event.of("group.found_anew", "by", name, "why", ask.query("why"), "electors", now.electors())
                .warn();
        Result r = j.register.found(now.electors(), CALL_MS);
        return r.kind() == Result.Kind.DECIDED
                ? new Reply(200, "begun anew as " + r.value().epoch())
                : new Reply(r.kind() == Result.Kind.REFUSED ? 409 : 503, r.why().getMessage());
    }

    private String shown() {
        Joined j = joined;
        JsonObject all = new JsonObject();
        all.addProperty("name", name);
        all.addProperty("joined", j != null);
        if (j == null) {
            return GSON.toJson(all);
        }
        Value value = j.register.known();
        all.addProperty("run", j.group.boot());
        all.addProperty("blind", j.register.blind());
        all.addProperty("epoch", value == null ? 0 : value.epoch());
        all.addProperty("version", value == null ? 0 : value.version());
        JsonArray electors = new JsonArray();
        (value == null ? now.electors() : value.electors()).forEach(electors::add);
        all.add("electors", electors);
        JsonArray members = new JsonArray();
        for (Update u : j.group.members()) {
            JsonObject m = new JsonObject();
            m.addProperty("name", u.name());
            m.addProperty("state", u.state().name());
            m.addProperty("address", u.address());
            m.addProperty("run", u.boot());
            j.statuses.of(u.name()).ifPresent(h -> {
                m.addProperty("phase", h.status().phase().name());
                m.addProperty("version", h.status().version());
                m.addProperty("heard_ms_ago", nowMs() - h.atMs());
            });
            members.add(m);
        }
        all.add("members", members);
        all.add("dropped", GSON.toJsonTree(j.group.dropped()));
        all.add("values_sent", GSON.toJsonTree(j.register.valuesSent()));
        all.add("traffic", GSON.toJsonTree(j.group.traffic().byChannel()));
        return GSON.toJson(all);
    }

    @Override
    public void close() {
        over = true;
        thread.interrupt();
        Joined j = joined;
        if (j != null) {
            j.register.close();
            j.group.close();
        }
    }
}

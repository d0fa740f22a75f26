package maplespread.feature;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.cluster.MemberStatus;
import maplespread.cluster.MemberStatusTable;
import maplespread.config.Config;
import maplespread.config.GroupSettings;
import maplespread.config.OperatorConfig;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.VersionedValue;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import org.tinylog.Logger;

/**
 * The other dispatchers: who is there, what each says of itself, and the value that all agree on. A
 * dispatcher serves whether it gets into the group or not: where its address is taken, by the process that it
 * relieves say, it tries again.
 */
final class GroupFeature implements Feature {
    private static final int STATUSES = 2; // the channel; the register has the first
    private static final long ROUND_MS = 500;
    private static final long CALL_MS = 1_900;
    private static final long STACK = 144 * 1024;
    private static final Gson GSON = new GsonBuilder().setPrettyPrinting().create();

    /** What there is once this one is in the group. */
    record JoinedGroup(ClusterTransport group, ReplicatedRegister register, MemberStatusTable statuses) {}

    private final String name;
    private final String zone;
    private final long seed;
    private final FeatureContext host;
    private final GroupSettings begun;
    private final Thread thread;
    private volatile GroupSettings now; // as the file has it
    private volatile JoinedGroup joined; // null: not yet
    private boolean served; // once: then it drains, and starts no more
    private volatile boolean over;
    private String why = ""; // it is not, as was logged last

    GroupFeature(GroupSettings set, Config config, FeatureContext host) {
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
    JoinedGroup joined() {
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
            ClusterTransport group = new ClusterTransport(
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
            ReplicatedRegister register =
                    new ReplicatedRegister(ConsensusSettings.of(name, set.electors()), group, seed);
            MemberStatusTable statuses = new MemberStatusTable(
                    group.incarnation(), version(), zone, (to, bytes) -> group.send(STATUSES, to, bytes));
            group.registerChannel(STATUSES, (from, bytes) -> statuses.receive(from, bytes, nowMs()));
            joined = new JoinedGroup(group, register, statuses);
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
        String jar = GroupFeature.class.getPackage().getImplementationVersion();
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
        JoinedGroup j = joined;
        if (j == null) {
            return;
        }
        List<MemberUpdate> members = j.group.members();
        j.statuses.retainMembers(members.stream().map(MemberUpdate::name).toList());
        List<String> others = members.stream()
                .filter(m -> !m.name().equals(name)
                        && m.state() != MemberUpdate.State.DEAD
                        && m.state() != MemberUpdate.State.LEFT)
                .map(MemberUpdate::name)
                .toList();
        boolean serving = host.isServing();
        served |= serving;
        j.statuses.broadcast(
                name,
                serving
                        ? MemberStatus.Phase.SERVING
                        : served ? MemberStatus.Phase.DRAINING : MemberStatus.Phase.STARTING,
                host.metrics().totals(),
                others,
                nowMs());
    }

    /** The others are told at once, not at the next round. */
    synchronized void soon() {
        notifyAll();
    }

    @Override
    public void beginShutdown() {
        soon();
    }

    @Override
    public void reload(Config config, OperatorConfig next) {
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
        JoinedGroup j = joined;
        if (j != null) {
            j.group.setKeys(set.keys().byId());
            if (!was.electors().equals(set.electors())) {
                daemon("group electors", () -> electors(j.register, set)).start();
            }
        }
    }

    /** Goes on until it is done, or the file says something else. */
    private void electors(ReplicatedRegister register, GroupSettings set) {
        while (!over && now == set) {
            ChangeResult r = register.electors(set.electors(), CALL_MS);
            if (r.outcome() != ChangeResult.Outcome.NO_MAJORITY) {
                boolean done = r.outcome() == ChangeResult.Outcome.DECIDED;
                Event.write(
                        !done,
                        "group.electors",
                        "wanted",
                        set.electors(),
                        "now",
                        r.value() == null ? null : r.value().electors(),
                        "why",
                        done ? null : r.error());
                return;
            }
        }
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return Map.of(
                "GET /admin/group", ask -> new AdminResponse(200, shown()), "POST /admin/group/found", this::found);
    }

    /** After a majority of electors has restarted at once: the file's electors begin anew. */
    private AdminResponse found(AdminRequest ask) {
        JoinedGroup j = joined;
        if (ask.query("why").isBlank()) {
            return new AdminResponse(400, "the call lacks ?why=; what is agreed so far may be lost by it");
        }
        if (j == null) {
            return new AdminResponse(503, name + " is not in the group yet: look for group.not_joined in the log");
        }
        Event.of("group.found_anew", "by", name, "why", ask.query("why"), "electors", now.electors())
                .warn();
        ChangeResult r = j.register.bootstrap(now.electors(), CALL_MS);
        return r.outcome() == ChangeResult.Outcome.DECIDED
                ? new AdminResponse(200, "begun anew as " + r.value().epoch())
                : new AdminResponse(
                        r.outcome() == ChangeResult.Outcome.REJECTED ? 409 : 503,
                        r.error().getMessage());
    }

    private String shown() {
        JoinedGroup j = joined;
        JsonObject all = new JsonObject();
        all.addProperty("name", name);
        all.addProperty("joined", j != null);
        if (j == null) {
            return GSON.toJson(all);
        }
        VersionedValue value = j.register.decidedValue();
        all.addProperty("run", j.group.incarnation());
        all.addProperty("blind", j.register.recovering());
        all.addProperty("epoch", value == null ? 0 : value.epoch());
        all.addProperty("version", value == null ? 0 : value.version());
        JsonArray electors = new JsonArray();
        (value == null ? now.electors() : value.electors()).forEach(electors::add);
        all.add("electors", electors);
        JsonArray members = new JsonArray();
        for (MemberUpdate u : j.group.members()) {
            JsonObject m = new JsonObject();
            m.addProperty("name", u.name());
            m.addProperty("state", u.state().name());
            m.addProperty("address", u.address());
            m.addProperty("run", u.processIncarnation());
            j.statuses.find(u.name()).ifPresent(h -> {
                m.addProperty("phase", h.status().phase().name());
                m.addProperty("version", h.status().version());
                m.addProperty("heard_ms_ago", nowMs() - h.receivedAtMs());
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
        JoinedGroup j = joined;
        if (j != null) {
            j.register.close();
            j.group.close();
        }
    }
}

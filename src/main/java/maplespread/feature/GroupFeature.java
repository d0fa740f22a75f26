package maplespread.feature;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import maplespread.admin.AdminRoutes.Call;
import maplespread.cluster.MemberStatus;
import maplespread.cluster.MemberStatusTable;
import maplespread.config.Config;
import maplespread.config.GroupSettings;
import maplespread.config.OperatorConfig;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import org.tinylog.Logger;

/**
 * The other dispatchers: who is there, what each reports of itself, and the value that all agree on. A dispatcher
 * serves whether it gets into the group or not: where its address is in use, by the process that it replaces for
 * example, it tries again. One daemon thread joins and broadcasts this instance's status.
 */
final class GroupFeature implements Feature {
    /** The group's channel for statuses; the register has the first. */
    private static final int STATUS_CHANNEL = 2;
    /** Between two broadcasts of the status, and between two attempts to join. */
    private static final long ROUND_MS = 500;
    /** One attempt to change the electors. */
    private static final long ELECTORS_TIMEOUT_MS = 1_900;

    private static final long THREAD_STACK_BYTES = 144 * 1024;
    private static final long NANOS_PER_MS = 1_000_000;

    private final String name;
    private final String zone;
    private final long seed;
    private final FeatureContext context;
    private final GroupSettings atStart;
    private final GroupAdminApi adminApi;
    private final Thread thread;
    /** As the operators' file has them. */
    private volatile GroupSettings settings;
    /** Null: not in the group yet. */
    private volatile JoinedGroup joined;

    private volatile boolean closed;
    /** Once it has served, an instance that does not serve is draining, no more starting. */
    private boolean hasServed;
    /** Why this instance is not in the group, as was logged last. */
    private String loggedJoinError = "";

    GroupFeature(GroupSettings settings, Config config, FeatureContext context) {
        this.context = context;
        this.settings = settings;
        atStart = settings;
        name = config.name();
        zone = config.names().zones().get(config.settings().zone());
        seed = config.seed();
        adminApi = new GroupAdminApi(name, this::joined, () -> this.settings.electors());
        thread = daemon("group", this::run);
    }

    private static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Null before this instance is in the group. */
    JoinedGroup joined() {
        return joined;
    }

    /** The clock by which statuses are received. */
    static long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public void start() {
        join();
        thread.start();
    }

    private void join() {
        List<String> electors = settings.electors();
        try {
            ClusterTransport transport = new ClusterTransport(
                    membershipSettings(), atStart.listen(), settings.keys().byId(), seed ^ System.nanoTime());
            ReplicatedRegister register = new ReplicatedRegister(ConsensusSettings.of(name, electors), transport, seed);
            MemberStatusTable statuses = new MemberStatusTable(
                    transport.incarnation(),
                    version(),
                    zone,
                    (member, status) -> transport.send(STATUS_CHANNEL, member, status));
            transport.registerChannel(STATUS_CHANNEL, (sender, status) -> statuses.receive(sender, status, nowMs()));
            joined = new JoinedGroup(transport, register, statuses);
            Event.of("group.joined", "member", name, "listen", atStart.listen(), "electors", electors)
                    .info();
        } catch (IOException e) {
            if (!e.toString().equals(loggedJoinError)) { // it is tried twice a second
                loggedJoinError = e.toString();
                Event.of("group.not_joined", "listen", atStart.listen(), "why", e.getMessage())
                        .warn();
            }
        }
    }

    private MembershipSettings membershipSettings() {
        MembershipSettings defaults = MembershipSettings.of(name, atStart.address(), atStart.seeds());
        return new MembershipSettings(
                name,
                atStart.address(),
                atStart.seeds(),
                atStart.periodMs(),
                atStart.ackMs(),
                defaults.indirectProbes(),
                defaults.suspicionMultiplier(),
                defaults.maxSuspicionStretch(),
                defaults.retransmitMultiplier(),
                defaults.maxLocalHealth(),
                defaults.rejoinIntervalMs(),
                defaults.departedRetentionMs(),
                defaults.maxPacketBytes());
    }

    /** The operators' word for the version, or the jar's; empty: neither tells one. */
    private String version() {
        if (!atStart.version().isEmpty()) {
            return atStart.version();
        }
        String jarVersion = GroupFeature.class.getPackage().getImplementationVersion();
        return jarVersion == null ? "" : jarVersion;
    }

    private void run() {
        try {
            while (!closed) {
                try {
                    if (joined == null) {
                        join();
                    }
                    broadcastStatus();
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

    private void broadcastStatus() {
        JoinedGroup group = joined;
        if (group == null) {
            return;
        }
        List<MemberUpdate> members = group.transport().members();
        group.statuses().retainMembers(members.stream().map(MemberUpdate::name).toList());
        List<String> others = members.stream()
                .filter(member -> !member.name().equals(name))
                .filter(member ->
                        member.state() != MemberUpdate.State.DEAD && member.state() != MemberUpdate.State.LEFT)
                .map(MemberUpdate::name)
                .toList();
        group.statuses().broadcast(name, phase(), context.metrics().totals(), others, nowMs());
    }

    private MemberStatus.Phase phase() {
        if (context.isServing()) {
            hasServed = true;
            return MemberStatus.Phase.SERVING;
        }
        return hasServed ? MemberStatus.Phase.DRAINING : MemberStatus.Phase.STARTING;
    }

    /** Broadcasts the status at once, not at the next round. */
    synchronized void broadcastSoon() {
        notifyAll();
    }

    @Override
    public void beginShutdown() {
        broadcastSoon();
    }

    @Override
    public void reload(Config config, OperatorConfig operator) {
        GroupSettings next = operator.group();
        if (next == null) {
            Logger.warn("operator: group is taken out only by a restart");
            return;
        }
        List<String> needingRestart = atStart.needingRestart(next);
        if (!needingRestart.isEmpty()) {
            Logger.warn("operator: changed, but taken up only by a restart: {}", needingRestart);
        }
        GroupSettings previous = settings;
        settings = next;
        JoinedGroup group = joined;
        if (group != null) {
            group.transport().setKeys(next.keys().byId());
            if (!previous.electors().equals(next.electors())) {
                daemon("group electors", () -> changeElectors(group.register(), next))
                        .start();
            }
        }
    }

    /** Tries until a majority has decided, or the operators' file says something else. */
    private void changeElectors(ReplicatedRegister register, GroupSettings wanted) {
        while (!closed && settings == wanted) {
            ChangeResult result = register.electors(wanted.electors(), ELECTORS_TIMEOUT_MS);
            if (result.outcome() != ChangeResult.Outcome.NO_MAJORITY) {
                boolean changed = result.outcome() == ChangeResult.Outcome.DECIDED;
                Event.write(
                        !changed,
                        "group.electors",
                        "wanted",
                        wanted.electors(),
                        "now",
                        result.value() == null ? null : result.value().electors(),
                        "why",
                        changed ? null : result.error());
                return;
            }
        }
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return adminApi.routes();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        JoinedGroup group = joined;
        if (group != null) {
            group.register().close();
            group.transport().close();
        }
    }
}

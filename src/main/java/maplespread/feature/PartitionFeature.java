package maplespread.feature;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.admin.AdminRoutes.Call;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.config.PartitionSettings;
import maplespread.discovery.EndpointListener;
import maplespread.partition.RoutingTableException;
import maplespread.partition.client.PartitionEndpoints;
import maplespread.partition.client.PartitionService;
import org.tinylog.Logger;

/** Requests go to partitions of the workers, and those of one key in order over the whole fleet. */
final class PartitionFeature implements Feature {
    /** Time from the start within which the decided table is learned before this instance serves. */
    private static final long LEARN_LIMIT_MS = 2000;
    /** The same, where the wait for the endpoint list has taken most of that time. */
    private static final long MIN_LEARN_WAIT_MS = 500;

    private final Config configAtStart;
    private final PartitionSettings settings;
    private final FeatureContext context;
    private final GroupFeature group;
    private final String groupHost;
    private PartitionService partitions;
    private long startedAtMs;

    /** {@code groupAddress}: this dispatcher's HOST:PORT in the group. */
    PartitionFeature(
            PartitionSettings settings,
            Config config,
            String groupAddress,
            FeatureContext context,
            GroupFeature group) {
        this.settings = settings;
        this.context = context;
        this.group = group;
        configAtStart = config;
        groupHost = groupAddress.substring(0, groupAddress.lastIndexOf(':'));
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        PartitionEndpoints endpoints = new PartitionEndpoints(next, configAtStart.names());
        PartitionService.Dependencies dependencies = new PartitionService.Dependencies(
                context::config,
                this::cluster,
                context::isServing,
                this::advertisedAddress,
                context.peerForwarder(),
                endpoints);
        try {
            partitions = new PartitionService(settings, dependencies);
        } catch (RoutingTableException e) { // the table was checked when the files were read
            throw new IllegalArgumentException(e);
        }
        return endpoints;
    }

    /** Null before this instance is in the group. */
    private PartitionService.ClusterHandle cluster() {
        JoinedGroup joined = group.joined();
        return joined == null ? null : new PartitionService.ClusterHandle(joined.transport(), joined.register());
    }

    /** Where other dispatchers send requests; null before the listener is bound. */
    private String advertisedAddress() {
        InetSocketAddress bound = context.listenAddress();
        if (bound == null) {
            return null;
        }
        if (!settings.address().isEmpty()) {
            return settings.address();
        }
        boolean isWildcard = bound.getAddress().isAnyLocalAddress();
        String host = isWildcard ? groupHost : bound.getAddress().getHostAddress();
        return host + ':' + bound.getPort();
    }

    @Override
    public void start() {
        startedAtMs = GroupFeature.nowMs();
    }

    /** A request that the configured table does not order may be ordered by the decided one. */
    @Override
    public void beforeServing() {
        long leftMs = startedAtMs + LEARN_LIMIT_MS - GroupFeature.nowMs();
        if (!partitions.learnDecided(Math.max(MIN_LEARN_WAIT_MS, leftMs))) {
            Logger.warn(
                    "no majority of the electors has told the table in force; the operators' file counts until then");
        }
    }

    @Override
    public void onServing() {
        partitions.start();
    }

    @Override
    public Optional<RequestSequencer> requestSequencer() {
        return Optional.of(partitions.sequencer());
    }

    @Override
    public Collection<String> peerAddresses() {
        return partitions.peers();
    }

    @Override
    public void reload(Config config, OperatorConfig operator) {
        PartitionSettings next = operator.partition();
        if (next == null) {
            Logger.warn("operator: partition is taken out only by a restart");
            return;
        }
        List<String> needingRestart = settings.needingRestart(next);
        if (!needingRestart.isEmpty()) {
            Logger.warn("operator: changed, but taken up only by a restart: {}", needingRestart);
        }
        partitions.reloadTable(next);
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return partitions.adminCalls();
    }

    @Override
    public void beginShutdown() {
        partitions.releaseSlots();
    }

    @Override
    public void close() {
        partitions.close();
    }
}

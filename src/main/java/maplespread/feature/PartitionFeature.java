package maplespread.feature;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
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

/** Jobs go to partitions of the workers, and those of one key in order over the whole fleet. */
final class PartitionFeature implements Feature {
    private final Config begun;
    private final FeatureContext host;
    private final GroupFeature group;
    private final String groupHost;
    private PartitionSettings set;
    private PartitionService keeper;

    PartitionFeature(
            PartitionSettings set, Config config, String groupAddress, FeatureContext host, GroupFeature group) {
        this.set = set;
        this.host = host;
        this.group = group;
        begun = config;
        groupHost = groupAddress.substring(0, groupAddress.lastIndexOf(':'));
    }

    /** Comes before all else is asked of this part. */
    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        PartitionEndpoints fleet = new PartitionEndpoints(next, begun.names());
        try {
            keeper = new PartitionService(
                    set,
                    new PartitionService.Dependencies(
                            host::config, this::ties, host::isServing, this::address, host.peerForwarder(), fleet));
        } catch (RoutingTableException e) { // checked when the files were read
            throw new IllegalArgumentException(e);
        }
        return fleet;
    }

    private PartitionService.ClusterHandle ties() {
        GroupFeature.JoinedGroup j = group.joined();
        return j == null ? null : new PartitionService.ClusterHandle(j.group(), j.register());
    }

    /** Null before the listener is bound. */
    private String address() {
        InetSocketAddress bound = host.listenAddress();
        if (bound == null || !set.address().isEmpty()) {
            return bound == null ? null : set.address();
        }
        return (bound.getAddress().isAnyLocalAddress()
                        ? groupHost
                        : bound.getAddress().getHostAddress())
                + ':'
                + bound.getPort();
    }

    @Override
    public void onServing() {
        keeper.start();
    }

    @Override
    public RequestSequencer requestSequencer() {
        return keeper.sequencer();
    }

    @Override
    public Collection<String> peerAddresses() {
        return keeper.peers();
    }

    @Override
    public void reload(Config config, OperatorConfig next) {
        if (next.partition() == null) {
            Logger.warn("operator: partition is taken out only by a restart");
            return;
        }
        if (!set.needingRestart(next.partition()).isEmpty()) {
            Logger.warn("operator: changed, but taken up only by a restart: {}", set.needingRestart(next.partition()));
        }
        keeper.reloadTable(next.partition());
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return keeper.adminCalls();
    }

    @Override
    public void beginShutdown() {
        keeper.releaseSlots();
    }

    @Override
    public void close() {
        keeper.close();
    }
}

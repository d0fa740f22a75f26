package maplespread.partition.client;

import java.io.Closeable;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import maplespread.admin.AdminRoutes.Call;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.PartitionSettings;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.membership.client.ClusterTransport;
import maplespread.partition.HeartbeatTable;
import maplespread.partition.LeaseSettings;
import maplespread.partition.RoutingTableException;
import maplespread.worker.PeerForwarder;

/**
 * Ordered partitions in a running dispatcher: ties the parts of this package together, and runs their threads.
 * "partition" asks for the lease, "partition changes" proposes changes of the assignment and may wait for them, and
 * "partition turns" gives requests their turn when time alone brings it.
 */
public final class PartitionService implements Closeable {
    /** The channel of the cluster's transport that carries {@link PartitionMessage}. */
    public static final int CHANNEL = 4;

    /** The group and its register, once this dispatcher is in them. */
    public record ClusterHandle(ClusterTransport transport, ReplicatedRegister register) {
        long incarnation() {
            return transport.incarnation();
        }

        /** This incarnation of the dispatcher as a member of the assignment. */
        String member(String name) {
            return name + '#' + incarnation();
        }
    }

    /**
     * What the service needs of the dispatcher. {@code cluster}: null until it has joined; {@code acceptsRequests}:
     * whether clients are to be sent here; {@code advertisedAddress}: where other dispatchers forward requests to,
     * {@code HOST:PORT}, null before the listener is bound.
     */
    public record Dependencies(
            Supplier<Config> config,
            Supplier<ClusterHandle> cluster,
            BooleanSupplier acceptsRequests,
            Supplier<String> advertisedAddress,
            PeerForwarder forwarder,
            PartitionEndpoints endpoints) {}

    private final Supplier<Config> config;
    private final ConfiguredTable configuredTable;
    private final PeerAddresses peers = new PeerAddresses();
    private final OrderedDispatch dispatch;
    private final LeaseRenewer leaseRenewer;
    private final AssignmentCoordinator coordinator;
    private final PartitionAdminApi adminApi;
    private final List<Thread> threads;

    /** Throws where the table of the settings uses names that the site does not have. */
    public PartitionService(PartitionSettings settings, Dependencies dependencies) throws RoutingTableException {
        config = dependencies.config();
        String name = config.get().name();
        LeaseSettings leaseSettings = new LeaseSettings(1, settings.leaseMs(), settings.drift());
        RoutingTableCache tables = new RoutingTableCache(config);
        configuredTable = new ConfiguredTable(settings.table());
        ClusterOperations operations = new Operations();
        PartitionEndpoints endpoints = dependencies.endpoints();
        OrderingState state =
                new OrderingState(leaseSettings, tables.get(configuredTable.compressed()), endpoints, operations);
        dispatch = new OrderedDispatch(name, state, endpoints, dependencies.forwarder(), operations);
        AssignmentStore store = new AssignmentStore(state, dispatch, tables, configuredTable);
        HeartbeatTable heartbeats = new HeartbeatTable(MonotonicTime.nowMs());
        leaseRenewer = new LeaseRenewer(name, settings, dependencies, state, store, heartbeats, peers);
        coordinator = new AssignmentCoordinator(
                name, settings, leaseSettings, leaseRenewer::joined, state, store, heartbeats, configuredTable);
        adminApi = new PartitionAdminApi(name, config, endpoints, leaseRenewer::joined, state, store);
        threads = List.of(
                PartitionThreads.daemon("partition", leaseRenewer::run),
                PartitionThreads.daemon("partition turns", () -> {
                    state.lines().runDueLoop();
                    return 0;
                }),
                PartitionThreads.daemon("partition changes", coordinator::run));
    }

    private final class Operations implements ClusterOperations {
        @Override
        public String address(String member) {
            return peers.of(member);
        }

        @Override
        public boolean storeStop(String key, long waitMs) {
            return coordinator.storeStop(key, waitMs);
        }

        @Override
        public double maxRetryAfterMs() {
            return config.get().settings().permissions().maxRetryAfterMs();
        }
    }

    /** Starts the threads; to be called once. */
    public void start() {
        threads.forEach(Thread::start);
    }

    /** This member gives its slots up, and goes on to serve what comes. */
    public void releaseSlots() {
        leaseRenewer.releaseSlots();
    }

    /** Ends the threads; does not wait for them. */
    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }

    /** Gives requests their turn. */
    public RequestSequencer sequencer() {
        return dispatch;
    }

    /** Where other members take requests, {@code HOST:PORT}. */
    public Collection<String> peers() {
        return peers.all();
    }

    /** The operators' file was read anew: another table than before is to become the fleet's. */
    public void reloadTable(PartitionSettings next) {
        configuredTable.reload(next.table());
    }

    /** The admin server's calls, by method and path. */
    public Map<String, Call> adminCalls() {
        return adminApi.calls();
    }
}

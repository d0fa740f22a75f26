package maplespread.partition.client;

import java.io.Closeable;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import maplespread.admin.AdminRoutes.Call;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.PartitionSettings;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.Mutation;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.membership.client.ClusterTransport;
import maplespread.partition.HeartbeatTable;
import maplespread.partition.LeaseSettings;
import maplespread.partition.RoutingTableException;
import maplespread.worker.PeerForwarder;

/**
 * Ordered partitions in a running dispatcher: creates the parts of this package and runs their threads. "partition"
 * renews the lease, "partition changes" proposes changes of the assignment and may block until they are decided, and
 * "partition turns" sends or rejects queued requests whose time has come.
 */
public final class PartitionService implements Closeable {
    /** The cluster transport's channel for {@link PartitionMessage}s. */
    public static final int CHANNEL = 4;

    /** The group's transport and register, once this dispatcher has joined the group. */
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
     * What the service needs from the dispatcher.
     *
     * @param cluster supplies null until the dispatcher has joined the group
     * @param acceptsRequests whether clients are to send requests to this dispatcher
     * @param advertisedAddress supplies {@code HOST:PORT} where other dispatchers forward requests to, or null before
     *     the listener is bound
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
    private final AssignmentStore store;
    private final LeaseRenewer leaseRenewer;
    private final AssignmentCoordinator coordinator;
    private final PartitionAdminApi adminApi;
    private final List<Thread> threads;

    /** Throws if the table in the settings uses names that the site's configuration does not define. */
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
        store = new AssignmentStore(state, dispatch, tables, configuredTable);
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

    /**
     * Joins the group and learns the decided assignment with its table, if there is one. Blocks for at most {@code
     * limitMs}. Must be called before {@link #start}. Returns false if no majority of the electors has answered: another
     * table than the configured one may be in force.
     */
    public boolean learnDecided(long limitMs) {
        Optional<ClusterHandle> handle = leaseRenewer.joinIfPossible();
        return handle.isPresent()
                && store.change(handle.get().register(), Mutation.READ, limitMs).outcome()
                        == ChangeResult.Outcome.DECIDED;
    }

    /** Starts the threads. Must be called once only. */
    public void start() {
        threads.forEach(Thread::start);
    }

    /** Makes this member give up its slots; it keeps serving the requests that it receives. */
    public void releaseSlots() {
        leaseRenewer.releaseSlots();
    }

    /** Interrupts the threads without waiting for them to end. */
    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }

    /** The sequencer that gives requests their permits. */
    public RequestSequencer sequencer() {
        return dispatch;
    }

    /** The addresses, {@code HOST:PORT}, where other members accept forwarded requests. */
    public Collection<String> peers() {
        return peers.all();
    }

    /** Takes the table from the reread operators' file; one that differs from the last is proposed to the group. */
    public void reloadTable(PartitionSettings next) {
        configuredTable.reload(next.table());
    }

    /** The admin server's calls, by method and path. */
    public Map<String, Call> adminCalls() {
        return adminApi.calls();
    }
}

package maplespread.partition.client;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import maplespread.config.PartitionSettings;
import maplespread.consensus.VersionedValue;
import maplespread.membership.MemberUpdate;
import maplespread.partition.HeartbeatTable;
import maplespread.partition.SlotAssignment;
import maplespread.partition.client.PartitionService.ClusterHandle;

/**
 * Requests this member's lease from the electors, and answers the lease requests of other members as an elector. {@link
 * #run} is called by the lease thread only, {@link #receive} by the transport's receiving thread, which must not block.
 * State that both threads use is volatile, concurrent or guarded by its own monitor.
 */
final class LeaseRenewer {
    private static final int CHANNEL = PartitionService.CHANNEL;
    /** Interval at which a member sends its address to all others. */
    private static final long ADDRESS_INTERVAL_MS = 500;

    /** One round of lease requests: the electors that they were sent to, and those that have answered. */
    private record ElectorPoll(long round, Set<String> electors, Set<String> answered) {
        ElectorPoll(long round, Collection<String> electors) {
            this(round, Set.copyOf(electors), ConcurrentHashMap.newKeySet());
        }

        boolean isMajority(Set<String> names) {
            return 2 * names.stream().filter(electors::contains).count() > electors.size();
        }
    }

    private final String name;
    private final PartitionSettings settings;
    private final Supplier<ClusterHandle> cluster;
    private final BooleanSupplier acceptsRequests;
    private final Supplier<String> advertisedAddress;
    private final OrderingState state;
    private final AssignmentStore store;
    private final HeartbeatTable heartbeats;
    private final PeerAddresses peers;
    private final CachedAssignment acceptedAssignment = new CachedAssignment();

    /** Null until this member has joined the group. Written by the lease thread. */
    private volatile ClusterHandle joined;

    private volatile boolean releasingSlots;
    private volatile ElectorPoll poll = new ElectorPoll(0, Set.of());
    /** When a majority of the electors last answered a round, whether or not it granted the lease. */
    private volatile long majorityAnsweredAtMs = MonotonicTime.nowMs();

    /** When this member last sent its address; 0 if the address is due at once. */
    private volatile long addressSentAtMs;

    /** {@code heartbeats} is shared with the coordinator and guarded by its own monitor. */
    LeaseRenewer(
            String name,
            PartitionSettings settings,
            PartitionService.Dependencies dependencies,
            OrderingState state,
            AssignmentStore store,
            HeartbeatTable heartbeats,
            PeerAddresses peers) {
        this.name = name;
        this.settings = settings;
        cluster = dependencies.cluster();
        acceptsRequests = dependencies.acceptsRequests();
        advertisedAddress = dependencies.advertisedAddress();
        this.state = state;
        this.store = store;
        this.heartbeats = heartbeats;
        this.peers = peers;
    }

    /** The group's transport and register; empty until this member has joined the group. */
    Optional<ClusterHandle> joined() {
        return Optional.ofNullable(joined);
    }

    /** From now on, lease requests say that this member wants no slots. */
    void releaseSlots() {
        releasingSlots = true;
    }

    /**
     * Joins the group if this member has not yet, then requests the lease; does nothing while there is no group to
     * join. Returns the delay before the next round in ms.
     */
    long run() {
        joinIfPossible().ifPresent(this::renew);
        return settings.askMs();
    }

    /** Joins the group if this member has not yet; returns empty while there is no group to join. */
    Optional<ClusterHandle> joinIfPossible() {
        ClusterHandle handle = cluster.get();
        if (handle != null && joined == null) {
            join(handle);
        }
        return Optional.ofNullable(handle);
    }

    private void join(ClusterHandle handle) {
        state.join(handle.member(name), settings.slots());
        handle.transport().registerChannel(CHANNEL, (sender, bytes) -> receive(handle, sender, bytes));
        handle.register().addListener(store::learn);
        joined = handle;
    }

    // ------------------------------------------------------------ as a member

    private void renew(ClusterHandle handle) {
        long nowMs = MonotonicTime.nowMs();
        VersionedValue value = handle.register().decidedValue();
        if (value != null) {
            store.learn(value);
        }
        List<String> electors = electors(handle, value);
        sendLeaseRequests(handle, value, electors);
        if (electors.contains(name)) {
            sendHeartbeatReport(handle, electors, nowMs);
        }
        sendAddress(handle, nowMs);
    }

    private static List<String> electors(ClusterHandle handle, VersionedValue value) {
        return value != null ? value.electors() : handle.register().electors().get(0);
    }

    private void sendLeaseRequests(ClusterHandle handle, VersionedValue value, List<String> electors) {
        OrderingState.LeaseRound round = state.startRenewal().orElseThrow();
        poll = new ElectorPoll(round.number(), electors);
        PartitionMessage request = PartitionMessage.leaseRequest(
                handle.incarnation(),
                round,
                value == null ? 0 : value.epoch(),
                value == null ? 0 : value.electorsVersion(),
                wantsSlots());
        byte[] bytes = request.encode();
        for (String elector : electors) {
            if (elector.equals(name)) {
                recordAnswer(name, round.number(), grantsLease(handle, name, request));
            } else {
                handle.transport().send(CHANNEL, elector, bytes);
            }
        }
    }

    /**
     * Whether this member is to own slots. A member that receives nothing from a majority of the electors wants none:
     * electors that still receive its requests would otherwise leave its slots with it forever. Nor does a member want
     * slots while it cannot read the decided table.
     */
    private boolean wantsSlots() {
        return !releasingSlots
                && store.isTableReadable()
                && MonotonicTime.nowMs() - majorityAnsweredAtMs < settings.goneMs()
                && acceptsRequests.getAsBoolean();
    }

    private void recordAnswer(String elector, long round, boolean granted) {
        ElectorPoll current = poll;
        if (current.round != round) {
            return;
        }
        current.answered.add(elector);
        if (current.isMajority(current.answered)) {
            majorityAnsweredAtMs = MonotonicTime.nowMs();
        }
        if (granted) {
            state.recordGrant(elector, round, current::isMajority);
        }
    }

    private void sendAddress(ClusterHandle handle, long nowMs) {
        String address = advertisedAddress.get();
        if (address == null || nowMs - addressSentAtMs < ADDRESS_INTERVAL_MS) {
            return;
        }
        addressSentAtMs = nowMs;
        byte[] bytes = PartitionMessage.advertisedAddress(handle.incarnation(), address)
                .encode();
        handle.transport().members().stream()
                .map(MemberUpdate::name)
                .filter(member -> !member.equals(name))
                .forEach(member -> handle.transport().send(CHANNEL, member, bytes));
    }

    // ------------------------------------------------------------ as an elector

    private void sendHeartbeatReport(ClusterHandle handle, List<String> electors, long nowMs) {
        HeartbeatTable.Report report;
        synchronized (heartbeats) {
            Set<String> members = new TreeSet<>(handle.transport().members().stream()
                    .map(MemberUpdate::name)
                    .toList());
            heartbeats.retain(members);
            report = heartbeats.report(nowMs);
        }
        byte[] bytes =
                PartitionMessage.heartbeatReport(handle.incarnation(), report).encode();
        electors.stream()
                .filter(elector -> !elector.equals(name))
                .forEach(elector -> handle.transport().send(CHANNEL, elector, bytes));
    }

    /**
     * Records the sender's heartbeat and returns whether this member grants the lease as an elector, which it does if
     * it knows of no later epoch. The check uses the accepted value, decided or not: once an epoch is decided, a
     * majority of the electors has accepted it, though few may know yet that it was decided.
     */
    private boolean grantsLease(ClusterHandle handle, String sender, PartitionMessage request) {
        synchronized (heartbeats) {
            heartbeats.recordHeartbeat(
                    MonotonicTime.nowMs(), sender, request.incarnation(), request.round(), request.wantsSlots());
        }
        VersionedValue value = handle.register().acceptedValue();
        if (value == null
                || value.epoch() != request.registerEpoch()
                || value.electorsVersion() > request.electorsVersion()) {
            return false;
        }
        Optional<SlotAssignment> assignment = acceptedAssignment.read(value);
        return assignment.isPresent()
                && assignment.get().grantsLease(sender + '#' + request.incarnation(), request.epoch());
    }

    // ------------------------------------------------------------ messages from other members

    /** Called on the transport's receiving thread. */
    private void receive(ClusterHandle handle, String sender, byte[] bytes) {
        PartitionMessage message = PartitionMessage.decode(bytes).orElse(null);
        if (message == null) { // from a version with messages that this one does not know
            return;
        }
        switch (message.kind()) {
            case LEASE_REQUEST -> {
                boolean granted = grantsLease(handle, sender, message);
                byte[] response = PartitionMessage.leaseResponse(handle.incarnation(), message.round(), granted)
                        .encode();
                handle.transport().send(CHANNEL, sender, response);
            }
            case LEASE_RESPONSE -> recordAnswer(sender, message.round(), message.grantsLease());
            case HEARTBEAT_REPORT -> {
                synchronized (heartbeats) {
                    heartbeats.recordReport(MonotonicTime.nowMs(), sender, message.report());
                }
            }
            case ADDRESS -> {
                if (peers.update(sender, message.incarnation(), message.address())) {
                    addressSentAtMs = 0; // the sender may not know this member's address yet
                }
            }
        }
    }
}

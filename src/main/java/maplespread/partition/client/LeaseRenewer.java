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
 * Asks the electors for this member's lease, and answers as an elector what others ask. {@link #run} is called by
 * the lease thread alone, {@link #receive} by the transport's receiving thread, which must not block; what both use
 * is volatile, concurrent or guarded by itself.
 */
final class LeaseRenewer {
    /** Of the group's channels. */
    private static final int CHANNEL = PartitionService.CHANNEL;
    /** How often a member tells all others its address. */
    private static final long ADDRESS_INTERVAL_MS = 500;

    /** A round of questions: the electors that were asked, and those that have answered. */
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
    private final CachedAssignment accepted = new CachedAssignment();

    private volatile ClusterHandle joined;
    private volatile boolean releasingSlots;
    private volatile ElectorPoll poll = new ElectorPoll(0, Set.of());
    /** When a majority of the electors has last answered, whatever it answered. */
    private volatile long majorityAnsweredAtMs = MonotonicTime.nowMs();

    private volatile long addressSentAtMs;

    /** {@code heartbeats}: guarded by itself, and shared with the coordinator. */
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

    /** The group and its register; empty until this member has joined. */
    Optional<ClusterHandle> joined() {
        return Optional.ofNullable(joined);
    }

    /** This member wants no slots from now on. */
    void releaseSlots() {
        releasingSlots = true;
    }

    /** One round: joins where that is due, then asks for the lease. Returns the pause until the next, in ms. */
    long run() {
        ClusterHandle handle = cluster.get();
        if (handle != null) {
            if (joined == null) {
                join(handle);
            }
            renew(handle);
        }
        return settings.askMs();
    }

    private void join(ClusterHandle handle) {
        state.join(handle.member(name), settings.slots());
        handle.transport().registerChannel(CHANNEL, (sender, bytes) -> receive(handle, sender, bytes));
        handle.register().addListener(store::learn);
        joined = handle;
    }

    // ------------------------------------------------------------ as a member that asks

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
     * Whether this member is to own slots. Not while it cannot be told what is agreed: electors that hear it, and
     * that it does not hear, would leave its slots with it for ever. Nor with a table that it cannot read.
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
     * Whether this member, as an elector, knows of nothing later. It goes by the value that it has accepted, decided
     * or not: once an epoch is decided, a majority has accepted it, though few may know yet that it was decided.
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
        Optional<SlotAssignment> assignment = accepted.read(value);
        return assignment.isPresent()
                && assignment.get().grantsLease(sender + '#' + request.incarnation(), request.epoch());
    }

    // ------------------------------------------------------------ what comes from others

    /** On the transport's receiving thread. */
    private void receive(ClusterHandle handle, String sender, byte[] bytes) {
        PartitionMessage message = PartitionMessage.decode(bytes).orElse(null);
        if (message == null) { // of a version that this one does not know
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
                    addressSentAtMs = 0; // it may not know of this member yet
                }
            }
        }
    }
}

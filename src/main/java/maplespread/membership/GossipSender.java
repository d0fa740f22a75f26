package maplespread.membership;

import java.util.ArrayList;
import java.util.List;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.SwimMessage.Kind;
import maplespread.policy.ReproducibleMath;

/** Sends messages with the updates that are due to be passed on, or with the whole group. */
final class GossipSender {
    /** Bytes of a packet that are left to what is not gossip. */
    private static final int RESERVED_PACKET_BYTES = 200;

    private final MembershipSettings settings;
    private final MembershipTransport transport;
    private final GroupView group;
    private final GossipQueue queue = new GossipQueue();

    GossipSender(MembershipSettings settings, MembershipTransport transport, GroupView group) {
        this.settings = settings;
        this.transport = transport;
        this.group = group;
    }

    /** An update that is to be passed on. */
    void add(MemberUpdate update) {
        queue.add(update);
    }

    /** Sends a message that concerns no particular member. */
    void send(String address, Kind kind, long sequence) {
        send(address, new SwimMessage(kind, sequence, "", "", List.of()), "");
    }

    /**
     * Sends a message with gossip in place of its updates.
     *
     * @param receiver the name of the member at the address; empty: it is not known, or does not matter
     */
    void send(String address, SwimMessage message, String receiver) {
        MemberUpdate known = group.find(receiver);
        List<MemberUpdate> first = new ArrayList<>(List.of(group.self())); // so that the receiver knows the sender
        if (known != null && known.state() != State.ALIVE) {
            first.add(known); // Lifeguard's buddy system: the sooner a suspect knows, the sooner it can refute
        }
        int transmissions = (int)
                Math.ceil(settings.retransmitMultiplier() * Math.max(1, ReproducibleMath.log10(group.size() + 1.0)));
        int gossipBytes = settings.maxPacketBytes() - RESERVED_PACKET_BYTES;
        List<MemberUpdate> updates = queue.take(first, gossipBytes, transmissions);
        transport.send(
                address,
                new SwimMessage(
                        message.kind(), message.sequence(), message.target(), message.targetAddress(), updates));
    }

    /** Sends the whole group, in as many messages as it takes. */
    void sendGroup(String address) {
        List<MemberUpdate> all = new ArrayList<>(group.others());
        all.add(group.self());
        List<MemberUpdate> part = new ArrayList<>();
        int bytes = 0;
        for (MemberUpdate update : all) {
            if (bytes + GossipQueue.bytes(update) > settings.maxPacketBytes() && !part.isEmpty()) {
                sendUpdates(address, part);
                part.clear();
                bytes = 0;
            }
            part.add(update);
            bytes += GossipQueue.bytes(update);
        }
        sendUpdates(address, part);
    }

    /** Sends these updates and nothing else. */
    void sendUpdates(String address, List<MemberUpdate> updates) {
        transport.send(address, new SwimMessage(Kind.SYNC, 0, "", "", updates));
    }
}

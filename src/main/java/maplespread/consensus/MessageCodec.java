package maplespread.consensus;

import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import maplespread.consensus.MessageFormat.ParsedMessage;
import maplespread.consensus.RegisterState.AcceptedState;
import maplespread.consensus.StateCache.BoundedMap;

/**
 * Turns one member's messages into bytes and back, with states by reference: a state goes whole only to a member that is
 * not known to hold it, else by its digest. A receiver that cannot resolve a digest drops the message, which counts as
 * lost, and requests the state; the sender then repeats its last message to that member, with the state whole.
 *
 * <p>Members of an earlier version, which know no references, are sent whole states, and send them. Not safe for use by
 * several threads at once.
 */
public final class MessageCodec {
    /** Stands in place of a message's version, and is followed by the digest of the requested state. */
    private static final byte STATE_REQUEST = 2;

    private static final int STATE_REQUEST_BYTES = 1 + Digest.BYTES;
    private static final int MAX_PEERS = 1024;

    /** Most digests that a message names as held by its sender. */
    private static final int MAX_ANNOUNCED_HOLDINGS = 2;

    /** Most digests that are remembered as held by one peer. */
    private static final int MAX_PEER_HOLDINGS = 4;

    /**
     * What a packet contained.
     *
     * @param message null where there is none that can be used
     * @param reply a packet to be sent back to the sender; null: none
     * @param readable whether the packet was of a known form
     */
    public record Received(ConsensusMessage message, byte[] reply, boolean readable) {
        private static final Received UNREADABLE = new Received(null, null, false);
        private static final Received NOTHING = new Received(null, null, true);

        private static Received of(ConsensusMessage message) {
            return new Received(message, null, true);
        }

        private static Received replyWith(byte[] reply) {
            return new Received(null, reply, true);
        }
    }

    /**
     * How states were sent so far. An admin answer prints these names.
     *
     * @param whole how many were sent whole
     * @param byReference how many were sent by digest alone
     * @param repeated how many of these were sent again whole, as the receiver could not resolve the digest
     */
    public record Counts(long whole, long byReference, long repeated) {}

    /** What is known of a member's newest incarnation. */
    private static final class Peer {
        private final long incarnation;
        private final Set<Digest> holdings = new LinkedHashSet<>();
        private boolean understandsReferences;
        private ConsensusMessage lastByReference;

        Peer(long incarnation) {
            this.incarnation = incarnation;
        }

        void addHolding(Digest digest) {
            holdings.remove(digest);
            holdings.add(digest);
            if (holdings.size() > MAX_PEER_HOLDINGS) {
                holdings.remove(holdings.iterator().next());
            }
        }
    }

    private final StateCache states = new StateCache();
    private final Map<String, Peer> peers = new BoundedMap<>(MAX_PEERS);
    private long whole;
    private long byReference;
    private long repeated;

    /** The packet that brings a message to this receiver. */
    public byte[] encode(String receiver, ConsensusMessage message) {
        Peer peer = peers.get(receiver);
        boolean understandsReferences = peer != null && peer.understandsReferences;
        List<Digest> holdings = List.of();
        Digest digest = message.accepted() == null
                ? null
                : states.digestOf(message.accepted().state());
        if (understandsReferences) {
            holdings = latestHoldings();
        }
        if (digest == null) {
            return MessageFormat.encode(message, null, holdings);
        }
        if (understandsReferences && peer.holdings.contains(digest)) {
            peer.lastByReference = message;
            byReference++;
            return MessageFormat.encode(message, digest, holdings);
        }
        whole++;
        return MessageFormat.encode(message, null, holdings);
    }

    /** How states were sent so far. */
    public Counts counts() {
        return new Counts(whole, byReference, repeated);
    }

    private List<Digest> latestHoldings() {
        return states.latest(MAX_ANNOUNCED_HOLDINGS);
    }

    /** What a packet of this sender contains. A message that names another sender is returned as it is. */
    public Received decode(String sender, byte[] packet) {
        if (packet.length > 0 && packet[0] == STATE_REQUEST) {
            return repeatWhole(sender, packet);
        }
        Optional<ParsedMessage> parsed = MessageFormat.decode(packet);
        if (parsed.isEmpty()) {
            return Received.UNREADABLE;
        }
        if (!parsed.get().message().sender().equals(sender)) {
            return Received.of(parsed.get().message());
        }
        return resolve(sender, parsed.get());
    }

    private Received resolve(String sender, ParsedMessage parsed) {
        ConsensusMessage message = parsed.message();
        Peer peer = currentPeer(sender, message.incarnation());
        if (peer != null) {
            peer.understandsReferences = parsed.understandsReferences();
            parsed.holdings().forEach(peer::addHolding);
        }
        Digest reference = parsed.reference();
        if (reference == null) {
            if (message.accepted() != null && peer != null) {
                peer.addHolding(states.digestOf(message.accepted().state()));
            }
            return Received.of(message);
        }
        RegisterState state = states.get(reference);
        if (state == null) {
            return Received.replyWith(stateRequest(reference));
        }
        return Received.of(message.withAccepted(new AcceptedState(parsed.referenceBallot(), state)));
    }

    /** What is known of a member's newest incarnation; null where this one has ended. */
    private Peer currentPeer(String name, long incarnation) {
        Peer peer = peers.get(name);
        if (peer == null || peer.incarnation < incarnation) {
            peer = new Peer(incarnation);
            peers.put(name, peer);
        }
        return peer.incarnation == incarnation ? peer : null;
    }

    private static byte[] stateRequest(Digest digest) {
        ByteBuffer out = ByteBuffer.allocate(STATE_REQUEST_BYTES).put(STATE_REQUEST);
        digest.write(out);
        return out.array();
    }

    /** The last message to a member that could not resolve its reference, with the state whole. */
    private Received repeatWhole(String sender, byte[] request) {
        if (request.length != STATE_REQUEST_BYTES) {
            return Received.UNREADABLE;
        }
        Digest digest = Digest.read(ByteBuffer.wrap(request, 1, Digest.BYTES));
        Peer peer = peers.get(sender);
        if (peer == null || peer.lastByReference == null) {
            return Received.NOTHING;
        }
        ConsensusMessage last = peer.lastByReference;
        if (!states.digestOf(last.accepted().state()).equals(digest)) {
            return Received.NOTHING; // a later message has taken its place
        }
        peer.holdings.remove(digest);
        peer.lastByReference = null;
        repeated++;
        return Received.replyWith(MessageFormat.encode(last, null, latestHoldings()));
    }
}

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
 * Encodes and decodes the messages of one member, with states by reference: a state is sent whole only to a member that
 * is not known to hold it, otherwise as its digest. A receiver that cannot resolve a digest drops the message, which
 * counts as lost, and requests the state; the sender then repeats its last message to that member with the whole state.
 *
 * <p>Members of an earlier version, which does not support references, send and are sent whole states. Not thread-safe.
 */
public final class MessageCodec {
    /** First byte of a state request, in place of a message's version; the digest of the requested state follows. */
    private static final byte STATE_REQUEST = 2;

    private static final int STATE_REQUEST_BYTES = 1 + Digest.BYTES;
    private static final int MAX_PEERS = 1024;

    /** Maximum number of digests that a message lists as held by its sender. */
    private static final int MAX_ANNOUNCED_HOLDINGS = 2;

    /** Maximum number of digests that are recorded as held by one peer. */
    private static final int MAX_PEER_HOLDINGS = 4;

    /**
     * The result of decoding a packet.
     *
     * @param message the message; null if the packet contains no usable one
     * @param reply a packet to send back to the sender; null if none
     * @param readable whether the packet had a known format
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
     * Counts of the states sent. The component names are part of an admin response.
     *
     * @param whole number of states sent whole
     * @param byReference number of states sent as a digest only
     * @param repeated number of the latter that were sent again whole because the receiver could not resolve the digest
     */
    public record Counts(long whole, long byReference, long repeated) {}

    /** The known properties of a member's newest incarnation. */
    private static final class Peer {
        private final long incarnation;
        private final Set<Digest> holdings = new LinkedHashSet<>();
        private boolean understandsReferences;

        /** The last message sent with a digest in place of its state; null if none, or if already repeated. */
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

    /** Encodes a message as a packet for this receiver. */
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

    /** Counts of the states sent so far. */
    public Counts counts() {
        return new Counts(whole, byReference, repeated);
    }

    private List<Digest> latestHoldings() {
        return states.latest(MAX_ANNOUNCED_HOLDINGS);
    }

    /** Decodes a packet of this sender. A message that names another sender is returned unresolved. */
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

    /** Returns the entry of a member's newest incarnation; null if the given incarnation has ended. */
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

    /** Answers a state request: repeats the last message sent to this member by reference, with the whole state. */
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
            return Received.NOTHING; // replaced by a later message
        }
        peer.holdings.remove(digest);
        peer.lastByReference = null;
        repeated++;
        return Received.replyWith(MessageFormat.encode(last, null, latestHoldings()));
    }
}

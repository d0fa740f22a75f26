package maplespread.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * One member's words as bytes, with values by reference: a value goes whole only to a member that is not known
 * to hold it, else by its digest. A member that cannot resolve a digest drops the word, which agreement takes as
 * lost, and requests the value; the sender then repeats its last word to that member with the value whole.
 *
 * <p>Members of a version that does not know references are sent whole values, and send them. Not safe for use
 * by several threads at once.
 */
public final class MessageCodec {
    private static final byte REQUEST = 2; // in place of a word's version
    private static final int MOST_BODIES = 8;
    private static final int MOST_PEERS = 1024;
    private static final int MOST_HOLDINGS = 2; // are named in a word
    private static final int MOST_KNOWN = 4; // of what one peer holds

    /**
     * What came of a packet.
     *
     * @param word null where the packet brought none that can be used
     * @param reply to be sent back to the sender, or null
     * @param readable whether the packet was of a known form
     */
    public record Received(ConsensusMessage message, byte[] reply, boolean readable) {}

    /**
     * How values went so far.
     *
     * @param whole sent with their text
     * @param byReference sent by digest alone
     * @param repeated of these, sent again whole, as the receiver could not resolve the digest
     */
    public record Counts(long whole, long byReference, long repeated) {}

    private static final class Peer {
        final long boot;
        final Set<Digest> holds = new LinkedHashSet<>();
        boolean references; // it understands them
        ConsensusMessage last; // sent to it by reference

        Peer(long boot) {
            this.boot = boot;
        }

        void holds(Digest digest) {
            holds.remove(digest);
            holds.add(digest);
            if (holds.size() > MOST_KNOWN) {
                holds.remove(holds.iterator().next());
            }
        }
    }

    private final Map<Digest, RegisterState> bodies = bounded(MOST_BODIES);
    private final Map<String, Peer> peers = bounded(MOST_PEERS);
    private long whole;
    private long byReference;
    private long repeated;

    private static <K, V> Map<K, V> bounded(int most) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > most;
            }
        };
    }

    /** The word as it is sent to this member. */
    public byte[] encode(String to, ConsensusMessage word) {
        Peer peer = peers.get(to);
        boolean references = peer != null && peer.references;
        Digest digest = word.accepted() == null ? null : digest(word.accepted().state());
        boolean resolvable = references && digest != null && peer.holds.contains(digest);
        if (resolvable) {
            peer.last = word;
            byReference++;
        } else if (digest != null) {
            whole++;
        }
        return MessageFormat.encode(word, resolvable ? digest : null, references ? newest() : List.of());
    }

    /** How values went so far. */
    public Counts counts() {
        return new Counts(whole, byReference, repeated);
    }

    /** The bodies used last, newest last: what others need not send whole. */
    private Collection<Digest> newest() {
        List<Digest> all = new ArrayList<>(bodies.keySet());
        return all.subList(Math.max(0, all.size() - MOST_HOLDINGS), all.size());
    }

    private Digest digest(RegisterState kept) {
        for (Map.Entry<Digest, RegisterState> e : bodies.entrySet()) {
            if (e.getValue() == kept) {
                Digest digest = e.getKey();
                bodies.get(digest); // used now
                return digest;
            }
        }
        Digest digest = Digest.of(MessageFormat.encode(kept));
        bodies.put(digest, kept);
        return digest;
    }

    /** What a packet of this member says. */
    public Received decode(String from, byte[] bytes) {
        if (bytes.length > 0 && bytes[0] == REQUEST) {
            return requested(from, bytes);
        }
        MessageFormat.ParsedMessage parsed = MessageFormat.decode(bytes);
        if (parsed == null) {
            return new Received(null, null, false);
        }
        ConsensusMessage word = parsed.message();
        if (!word.sender().equals(from)) {
            return new Received(word, null, true); // the caller refuses it
        }
        Peer peer = peer(from, word.incarnation());
        if (peer != null) {
            peer.references = parsed.understandsReferences();
            parsed.holdings().forEach(peer::holds);
        }
        Digest digest = parsed.reference();
        if (digest == null) {
            if (word.accepted() != null && peer != null) {
                peer.holds(digest(word.accepted().state()));
            }
            return new Received(word, null, true);
        }
        RegisterState kept = bodies.get(digest);
        if (kept == null) {
            return new Received(null, request(digest), true);
        }
        return new Received(word.withAccepted(new AcceptedState(parsed.referenceBallot(), kept)), null, true);
    }

    /** What is known of a member's newest run; null for a run that is over. */
    private Peer peer(String name, long boot) {
        Peer peer = peers.get(name);
        if (peer == null || peer.boot < boot) {
            peer = new Peer(boot);
            peers.put(name, peer);
        }
        return peer.boot == boot ? peer : null;
    }

    private static byte[] request(Digest digest) {
        ByteBuffer out = ByteBuffer.allocate(1 + Digest.BYTES).put(REQUEST);
        digest.write(out);
        return out.array();
    }

    private Received requested(String from, byte[] bytes) {
        if (bytes.length != 1 + Digest.BYTES) {
            return new Received(null, null, false);
        }
        Digest digest = Digest.read(ByteBuffer.wrap(bytes, 1, Digest.BYTES));
        Peer peer = peers.get(from);
        if (peer == null
                || peer.last == null
                || !digest(peer.last.accepted().state()).equals(digest)) {
            return new Received(null, null, true); // it was repeated, or overtaken by a later word
        }
        peer.holds.remove(digest);
        ConsensusMessage again = peer.last;
        peer.last = null;
        repeated++;
        return new Received(null, MessageFormat.encode(again, null, newest()), true);
    }
}

package maplespread.consensus;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;
import maplespread.consensus.RegisterState.AppliedChange;

/**
 * Words as bytes. The form is one that members which know no references can read, as long as a word has neither a
 * reference nor holdings: of the flags they look at the first three alone.
 */
final class MessageFormat {
    private static final byte VERSION = 1;
    private static final int FIXED = 256; // beside texts, more than enough
    private static final int BLIND = 1;
    private static final int FOUNDING = 2;
    private static final int WHOLE = 4; // what is held follows
    private static final int REFERENCES = 8; // the sender understands them
    private static final int REFERENCE = 16; // the ballot and the digest of what is held follow
    private static final int HOLDINGS = 32; // digests of what the sender could resolve follow

    /**
     * A word as it came.
     *
     * @param word without what is held where that came by reference
     * @param references whether its sender understands them
     * @param reference to what is held, or null
     * @param at the ballot under which that was taken, or null
     * @param holdings what its sender can resolve
     */
    record ParsedMessage(
            ConsensusMessage message,
            boolean understandsReferences,
            Digest reference,
            Ballot referenceBallot,
            List<Digest> holdings) {}

    private MessageFormat() {}

    /**
     * The word in bytes.
     *
     * @param reference in place of what is held; null: that goes whole
     * @param holdings what this member can resolve; empty for members that do not understand references
     */
    static byte[] encode(ConsensusMessage w, Digest reference, Collection<Digest> holdings) {
        ByteBuffer out = ByteBuffer.allocate(size(w, reference != null) + holdings.size() * Digest.BYTES);
        out.put(VERSION).put((byte) w.kind().ordinal());
        text(out, w.sender());
        out.putLong(w.incarnation());
        runs(out, w.crashVector());
        ballot(out, w.ballot());
        ballot(out, w.promisedBallot());
        out.put((byte) flags(w, reference != null, !holdings.isEmpty()));
        out.putLong(w.requesterIncarnation());
        texts(out, w.configuredElectors());
        runs(out, w.promiseQuorum());
        if (reference != null) {
            ballot(out, w.accepted().ballot());
            reference.write(out);
        } else if (w.accepted() != null) {
            ballot(out, w.accepted().ballot());
            kept(out, w.accepted().state());
        }
        if (!holdings.isEmpty()) {
            out.put((byte) holdings.size());
            holdings.forEach(h -> h.write(out));
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    private static int flags(ConsensusMessage w, boolean reference, boolean holdings) {
        int flags = REFERENCES;
        flags |= w.recovering() ? BLIND : 0;
        flags |= w.bootstrap() ? FOUNDING : 0;
        flags |= w.accepted() == null ? 0 : reference ? REFERENCE : WHOLE;
        return flags | (holdings ? HOLDINGS : 0);
    }

    /** What is kept, as it stands in a word: its digest is taken of this. */
    static byte[] encode(RegisterState kept) {
        ByteBuffer out = ByteBuffer.allocate(FIXED + size(kept));
        kept(out, kept);
        return Arrays.copyOf(out.array(), out.position());
    }

    private static void kept(ByteBuffer out, RegisterState kept) {
        VersionedValue v = kept.value();
        out.putLong(v.epoch()).putLong(v.version()).putLong(v.electorsVersion());
        text(out, v.text());
        texts(out, v.electors());
        texts(out, kept.previousElectors());
        out.putInt(kept.appliedChanges().size());
        for (AppliedChange d : kept.appliedChanges()) {
            text(out, d.proposer());
            out.putLong(d.incarnation()).putLong(d.number()).putLong(d.version());
        }
    }

    /** Null where it is not a word. */
    static ParsedMessage decode(byte[] bytes) {
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            if (in.get() != VERSION) {
                return null;
            }
            Kind kind = Kind.values()[in.get()];
            String from = text(in);
            long boot = in.getLong();
            Map<String, Long> runs = runs(in);
            Ballot ballot = ballot(in);
            Ballot promised = ballot(in);
            int flags = in.get();
            long asker = in.getLong();
            List<String> electors = texts(in);
            Map<String, Long> quorum = runs(in);
            boolean blind = (flags & BLIND) != 0;
            boolean founding = (flags & FOUNDING) != 0;
            Ballot at = (flags & (WHOLE | REFERENCE)) == 0 ? null : ballot(in);
            AcceptedState held = (flags & WHOLE) == 0 ? null : new AcceptedState(at, kept(in));
            Digest reference = (flags & REFERENCE) == 0 ? null : Digest.read(in);
            List<Digest> holdings = (flags & HOLDINGS) == 0 ? List.of() : digests(in);
            boolean twice = held != null && reference != null;
            ConsensusMessage word = new ConsensusMessage(
                    kind, from, boot, runs, ballot, promised, blind, founding, asker, electors, quorum, held);
            return in.hasRemaining() || twice
                    ? null
                    : new ParsedMessage(word, (flags & REFERENCES) != 0, reference, at, holdings);
        } catch (RuntimeException e) { // ends inside a member, or names none
            return null;
        }
    }

    private static List<Digest> digests(ByteBuffer in) {
        List<Digest> all = new ArrayList<>();
        for (int n = in.get(); n > 0; n--) {
            all.add(Digest.read(in));
        }
        return all;
    }

    private static RegisterState kept(ByteBuffer in) {
        long epoch = in.getLong();
        long version = in.getLong();
        long number = in.getLong();
        VersionedValue value = new VersionedValue(epoch, version, text(in), number, texts(in));
        List<String> before = texts(in);
        List<AppliedChange> done = new ArrayList<>();
        for (int n = in.getInt(); n > 0; n--) {
            done.add(new AppliedChange(text(in), in.getLong(), in.getLong(), in.getLong()));
        }
        return new RegisterState(value, before, done);
    }

    private static int size(ConsensusMessage w, boolean reference) {
        int size = FIXED
                + 3
                        * (w.sender().length()
                                + w.ballot().proposer().length()
                                + w.promisedBallot().proposer().length());
        for (Map<String, Long> m : List.of(w.crashVector(), w.promiseQuorum())) {
            size += m.keySet().stream().mapToInt(n -> 12 + 3 * n.length()).sum();
        }
        size += size(w.configuredElectors());
        if (w.accepted() != null) {
            size += 3 * w.accepted().ballot().proposer().length() + Digest.BYTES;
            size += reference ? 0 : size(w.accepted().state());
        }
        return size;
    }

    private static int size(RegisterState k) {
        return 3 * k.value().text().length()
                + size(k.value().electors())
                + size(k.previousElectors())
                + k.appliedChanges().stream()
                        .mapToInt(d -> 28 + 3 * d.proposer().length())
                        .sum();
    }

    private static int size(List<String> texts) {
        return texts.stream().mapToInt(t -> 4 + 3 * t.length()).sum();
    }

    private static void ballot(ByteBuffer out, Ballot b) {
        out.putLong(b.epoch()).putLong(b.round()).putLong(b.incarnation());
        text(out, b.proposer());
    }

    private static Ballot ballot(ByteBuffer in) {
        long epoch = in.getLong();
        long round = in.getLong();
        long boot = in.getLong();
        return new Ballot(epoch, round, text(in), boot);
    }

    private static void runs(ByteBuffer out, Map<String, Long> runs) {
        out.putInt(runs.size());
        runs.forEach((name, boot) -> {
            text(out, name);
            out.putLong(boot);
        });
    }

    private static Map<String, Long> runs(ByteBuffer in) {
        Map<String, Long> runs = new TreeMap<>();
        for (int n = in.getInt(); n > 0; n--) {
            String name = text(in);
            runs.put(name, in.getLong());
        }
        return runs;
    }

    private static void texts(ByteBuffer out, List<String> texts) {
        out.putInt(texts.size());
        texts.forEach(t -> text(out, t));
    }

    private static List<String> texts(ByteBuffer in) {
        List<String> texts = new ArrayList<>();
        for (int n = in.getInt(); n > 0; n--) {
            texts.add(text(in));
        }
        return texts;
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.putInt(bytes.length).put(bytes);
    }

    private static String text(ByteBuffer in) {
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) { // before anything of that size is made
            throw new IllegalArgumentException("a text of " + length);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}

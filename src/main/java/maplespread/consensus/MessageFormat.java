package maplespread.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * The binary form of messages. Members of an earlier version, which know no references, can read a message that has
 * neither a reference nor holdings: of the flags they look at the first three alone.
 */
final class MessageFormat {
    private static final byte VERSION = 1;

    /** The sender recovers. */
    private static final int FLAG_RECOVERING = 1;

    /** The round is a bootstrap. */
    private static final int FLAG_BOOTSTRAP = 2;

    /** A ballot and a whole state follow. */
    private static final int FLAG_STATE = 4;

    /** The sender understands references. */
    private static final int FLAG_UNDERSTANDS_REFERENCES = 8;

    /** A ballot and the digest of a state follow. */
    private static final int FLAG_REFERENCE = 16;

    /** Digests of states that the sender holds follow. */
    private static final int FLAG_HOLDINGS = 32;

    /**
     * A message as it was received.
     *
     * @param message without its state where that came by reference
     * @param understandsReferences whether the sender understands references
     * @param reference the digest of the state; null: there is no state, or it came whole
     * @param referenceBallot the ballot under which the state was accepted; null: there is no state
     * @param holdings digests of states that the sender holds
     */
    record ParsedMessage(
            ConsensusMessage message,
            boolean understandsReferences,
            Digest reference,
            Ballot referenceBallot,
            List<Digest> holdings) {}

    private MessageFormat() {}

    /**
     * A message in bytes.
     *
     * @param reference sent in place of the state; null: the state is sent whole
     * @param holdings digests of states that this member holds; empty for receivers that understand no references
     */
    static byte[] encode(ConsensusMessage message, Digest reference, Collection<Digest> holdings) {
        FieldWriter out = new FieldWriter();
        out.putByte(VERSION).putByte(message.kind().ordinal());
        out.putText(message.sender()).putLong(message.incarnation());
        out.putIncarnations(message.crashVector());
        out.putBallot(message.ballot()).putBallot(message.promisedBallot());
        out.putByte(flags(message, reference != null, !holdings.isEmpty()));
        out.putLong(message.requesterIncarnation());
        out.putTexts(message.configuredElectors());
        out.putIncarnations(message.promiseQuorum());
        if (reference != null) {
            out.putBallot(message.accepted().ballot()).putDigest(reference);
        } else if (message.accepted() != null) {
            out.putBallot(message.accepted().ballot())
                    .putState(message.accepted().state());
        }
        if (!holdings.isEmpty()) {
            out.putByte(holdings.size());
            holdings.forEach(out::putDigest);
        }
        return out.toBytes();
    }

    private static int flags(ConsensusMessage message, boolean hasReference, boolean hasHoldings) {
        int flags = FLAG_UNDERSTANDS_REFERENCES;
        if (message.recovering()) {
            flags |= FLAG_RECOVERING;
        }
        if (message.bootstrap()) {
            flags |= FLAG_BOOTSTRAP;
        }
        if (message.accepted() != null) {
            flags |= hasReference ? FLAG_REFERENCE : FLAG_STATE;
        }
        if (hasHoldings) {
            flags |= FLAG_HOLDINGS;
        }
        return flags;
    }

    /** A state in bytes, as it stands in a message: its digest is taken of these. */
    static byte[] encode(RegisterState state) {
        return new FieldWriter().putState(state).toBytes();
    }

    /** The message in these bytes; empty where they are none. */
    static Optional<ParsedMessage> decode(byte[] bytes) {
        try {
            FieldReader reader = new FieldReader(bytes);
            if (reader.getByte() != VERSION) {
                return Optional.empty();
            }
            ParsedMessage parsed = read(reader);
            boolean stateTwice = parsed.reference() != null && parsed.message().accepted() != null;
            return reader.hasRemaining() || stateTwice ? Optional.empty() : Optional.of(parsed);
        } catch (RuntimeException e) { // the bytes end too early, or name no kind
            return Optional.empty();
        }
    }

    private static ParsedMessage read(FieldReader in) {
        Kind kind = Kind.values()[in.getByte()];
        String sender = in.getText();
        long incarnation = in.getLong();
        Map<String, Long> crashVector = in.getIncarnations();
        Ballot ballot = in.getBallot();
        Ballot promised = in.getBallot();
        int flags = in.getByte();
        long requester = in.getLong();
        List<String> electors = in.getTexts();
        Map<String, Long> quorum = in.getIncarnations();
        Ballot stateBallot = has(flags, FLAG_STATE | FLAG_REFERENCE) ? in.getBallot() : null;
        AcceptedState accepted = has(flags, FLAG_STATE) ? new AcceptedState(stateBallot, in.getState()) : null;
        Digest reference = has(flags, FLAG_REFERENCE) ? in.getDigest() : null;
        List<Digest> holdings = has(flags, FLAG_HOLDINGS) ? in.getDigests() : List.of();
        ConsensusMessage message = new ConsensusMessage(
                kind,
                sender,
                incarnation,
                crashVector,
                ballot,
                promised,
                has(flags, FLAG_RECOVERING),
                has(flags, FLAG_BOOTSTRAP),
                requester,
                electors,
                quorum,
                accepted);
        return new ParsedMessage(message, has(flags, FLAG_UNDERSTANDS_REFERENCES), reference, stateBallot, holdings);
    }

    /** Whether any of these flags is set. */
    private static boolean has(int flags, int wanted) {
        return (flags & wanted) != 0;
    }
}

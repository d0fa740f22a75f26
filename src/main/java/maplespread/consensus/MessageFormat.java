package maplespread.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * The binary format of messages. Members of an earlier version, which does not support references, evaluate only the
 * first three flags and can read a message that has neither a reference nor holdings.
 */
final class MessageFormat {
    private static final byte VERSION = 1;

    /** The sender is in recovery. */
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
     * A decoded message.
     *
     * @param message the message, without its state if that was sent by reference
     * @param understandsReferences whether the sender understands references
     * @param reference the digest of the state; null if there is no state or it was sent whole
     * @param referenceBallot the ballot under which the state was accepted; null if there is no state
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
     * Encodes a message.
     *
     * @param reference the digest sent in place of the state; null to send the state whole
     * @param holdings digests of states that this member holds; empty for receivers that do not understand references
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

    /** Encodes a state as in a message; its digest is computed from these bytes. */
    static byte[] encode(RegisterState state) {
        return new FieldWriter().putState(state).toBytes();
    }

    /** Decodes a message; empty if the bytes are not a valid message. */
    static Optional<ParsedMessage> decode(byte[] bytes) {
        try {
            FieldReader reader = new FieldReader(bytes);
            if (reader.getByte() != VERSION) {
                return Optional.empty();
            }
            ParsedMessage parsed = read(reader);
            boolean stateTwice = parsed.reference() != null && parsed.message().accepted() != null;
            return reader.hasRemaining() || stateTwice ? Optional.empty() : Optional.of(parsed);
        } catch (RuntimeException e) { // the bytes end too early or contain an unknown kind
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
        Ballot stateBallot = hasAnyOf(flags, FLAG_STATE | FLAG_REFERENCE) ? in.getBallot() : null;
        AcceptedState accepted = hasAnyOf(flags, FLAG_STATE) ? new AcceptedState(stateBallot, in.getState()) : null;
        Digest reference = hasAnyOf(flags, FLAG_REFERENCE) ? in.getDigest() : null;
        List<Digest> holdings = hasAnyOf(flags, FLAG_HOLDINGS) ? in.getDigests() : List.of();
        ConsensusMessage message = new ConsensusMessage(
                kind,
                sender,
                incarnation,
                crashVector,
                ballot,
                promised,
                hasAnyOf(flags, FLAG_RECOVERING),
                hasAnyOf(flags, FLAG_BOOTSTRAP),
                requester,
                electors,
                quorum,
                accepted);
        return new ParsedMessage(
                message, hasAnyOf(flags, FLAG_UNDERSTANDS_REFERENCES), reference, stateBallot, holdings);
    }

    /** Whether any of the wanted flags is set. */
    private static boolean hasAnyOf(int flags, int wanted) {
        return (flags & wanted) != 0;
    }
}

package maplespread.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * A message from one member to another.
 *
 * @param kind the kind of request, answer or announcement
 * @param sender name of the sending member
 * @param incarnation the sender's incarnation, in Unix milliseconds
 * @param crashVector the newest incarnation known to the sender, of each member whose votes may count
 * @param ballot ballot of the round or of the reported decision; {@link Ballot#NONE} if the message has neither
 * @param promisedBallot the highest ballot that the sender has promised
 * @param recovering whether the sender is in recovery and does not vote
 * @param bootstrap whether the round is a bootstrap
 * @param requesterIncarnation the incarnation that sent the request, in a recovery response; 0 in other messages
 * @param configuredElectors the electors in the sender's settings
 * @param promiseQuorum the incarnations whose promises the proposal is based on, by name; empty outside of ACCEPT
 * @param accepted the reported, proposed or decided state; null if none
 */
public record ConsensusMessage(
        Kind kind,
        String sender,
        long incarnation,
        Map<String, Long> crashVector,
        Ballot ballot,
        Ballot promisedBallot,
        boolean recovering,
        boolean bootstrap,
        long requesterIncarnation,
        List<String> configuredElectors,
        Map<String, Long> promiseQuorum,
        AcceptedState accepted) {
    /** The kinds of messages. Their order is part of the wire format. */
    public enum Kind {
        /** Sent by a recovering member: asks what the receiver has promised and accepted. */
        RECOVERY_REQUEST,
        /** Reports what the sender has promised and accepted. */
        RECOVERY_RESPONSE,
        /** Sent by a proposer: asks for a promise of its ballot. */
        PREPARE,
        /** Promises the ballot and reports the accepted state. */
        PROMISE,
        /** Sent by a proposer: asks the receiver to accept the state in the message. */
        ACCEPT,
        /** Confirms that the sender has accepted the state. */
        ACCEPTED,
        /** Rejects a PREPARE or ACCEPT because a higher ballot was promised or the promise quorum is outdated. */
        REFUSE,
        /** Announces a decided state. */
        DECIDED,
        /** Reports the ballot of the latest decision known to the sender, without the state. */
        DECIDED_BALLOT
    }

    /** Copies the collections. */
    public ConsensusMessage {
        crashVector = new TreeMap<>(crashVector);
        promiseQuorum = new TreeMap<>(promiseQuorum);
        configuredElectors = List.copyOf(configuredElectors);
    }

    /** Returns a copy of this message with the given state. */
    ConsensusMessage withAccepted(AcceptedState next) {
        return new ConsensusMessage(
                kind,
                sender,
                incarnation,
                crashVector,
                ballot,
                promisedBallot,
                recovering,
                bootstrap,
                requesterIncarnation,
                configuredElectors,
                promiseQuorum,
                next);
    }
}

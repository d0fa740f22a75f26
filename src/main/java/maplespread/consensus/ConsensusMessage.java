package maplespread.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * What one member sends another.
 *
 * @param kind what it asks or answers
 * @param sender the name of the member that sends it
 * @param incarnation the sender's incarnation, in Unix milliseconds
 * @param crashVector the newest incarnation of each member that the sender knows of and whose votes may count
 * @param ballot of the round that it belongs to; {@link Ballot#NONE} outside of rounds
 * @param promisedBallot the highest ballot that the sender has promised
 * @param recovering whether the sender recovers and does not vote
 * @param bootstrap whether the round is a bootstrap
 * @param requesterIncarnation in a recovery response: the incarnation that asked; else 0
 * @param configuredElectors the electors of the sender's settings
 * @param promiseQuorum in an accept request: the incarnations whose promises the proposal rests on
 * @param accepted the state that is reported or proposed; null: none
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
    /** The kinds of messages; their order is part of the format. */
    public enum Kind {
        /** Of a member that recovers: asks what the receiver has promised and accepted. */
        RECOVERY_REQUEST,
        /** Reports what the sender has promised and accepted. */
        RECOVERY_RESPONSE,
        /** Of a proposer: asks for a promise of its ballot. */
        PREPARE,
        /** Promises the ballot and reports what was accepted so far. */
        PROMISE,
        /** Of a proposer: asks to accept the state that it carries. */
        ACCEPT,
        /** The state was accepted. */
        ACCEPTED,
        /** Refuses a PREPARE or an ACCEPT, as a higher ballot was promised or the quorum behind it does not hold. */
        REFUSE,
        /** Announces a decided state. */
        DECIDED,
        /** Reports the ballot of the latest decision that the sender knows, without the state. */
        DECIDED_BALLOT
    }

    /** Copies the collections. */
    public ConsensusMessage {
        crashVector = new TreeMap<>(crashVector);
        promiseQuorum = new TreeMap<>(promiseQuorum);
        configuredElectors = List.copyOf(configuredElectors);
    }

    /** The same message with this state. */
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

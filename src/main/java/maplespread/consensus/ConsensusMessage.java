package maplespread.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * What one member sends another. {@code runs}: the newest run of each member that the sender knows of, its
 * crash vector. {@code ballot}: the try it belongs to; {@code promised}: the sender's newest promise;
 * {@code blind}: the sender's state; {@code founding}: the try begins a life anew; {@code asker}: the run
 * that asked; {@code electors}: of the sender's settings; {@code quorum}: the runs whose promises the try
 * rests on; {@code held}: what is told, null for nothing.
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
    /** ASK: of a blind one, to be answered by STATE. NEWS: what its sender knows as decided, without it. */
    public enum Kind {
        RECOVERY_REQUEST,
        RECOVERY_RESPONSE,
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        REFUSE,
        DECIDED,
        DECIDED_BALLOT
    }

    public ConsensusMessage {
        crashVector = new TreeMap<>(crashVector);
        promiseQuorum = new TreeMap<>(promiseQuorum);
        configuredElectors = List.copyOf(configuredElectors);
    }

    /** The same word with what it tells. */
    ConsensusMessage withAccepted(AcceptedState told) {
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
                told);
    }
}

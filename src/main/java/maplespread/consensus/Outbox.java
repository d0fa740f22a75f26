package maplespread.consensus;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Creates and sends this member's messages; messages to itself are queued until the node polls them. Also forwards
 * events to the transport.
 */
final class Outbox {
    private final NodeState state;
    private final ConsensusTransport transport;
    private final ArrayDeque<ConsensusMessage> loopback = new ArrayDeque<>();
    private final Set<String> issuedWarnings = new HashSet<>();

    Outbox(NodeState state, ConsensusTransport transport) {
        this.state = state;
        this.transport = transport;
    }

    /** Creates a message that includes this member's current state. */
    ConsensusMessage message(
            Kind kind,
            Ballot ballot,
            boolean bootstrap,
            long requesterIncarnation,
            Map<String, Long> promiseQuorum,
            AcceptedState accepted) {
        return new ConsensusMessage(
                kind,
                state.self(),
                state.incarnation(),
                state.crashVector(),
                ballot,
                state.promised(),
                state.recovering(),
                bootstrap,
                requesterIncarnation,
                state.settings().electors(),
                promiseQuorum,
                accepted);
    }

    /**
     * Sends a message of a kind that has only a ballot and an optional state.
     *
     * @param accepted the state; null if none
     */
    void send(String receiver, Kind kind, Ballot ballot, AcceptedState accepted) {
        send(receiver, message(kind, ballot, false, 0, Map.of(), accepted));
    }

    void send(String receiver, ConsensusMessage message) {
        if (receiver.equals(state.self())) {
            loopback.add(message);
        } else {
            transport.send(receiver, message);
        }
    }

    /** Removes and returns the oldest queued message of this member to itself; null if none. */
    ConsensusMessage pollLoopback() {
        return loopback.poll();
    }

    void learned(VersionedValue value) {
        transport.learned(value);
    }

    void info(String event, Object... pairs) {
        transport.event(false, event, pairs);
    }

    void warn(String event, Object... pairs) {
        transport.event(true, event, pairs);
    }

    /** Logs a warning unless the same event was logged with the same fields before. */
    void warnOnce(String event, Object... pairs) {
        if (issuedWarnings.add(event + List.of(pairs))) {
            warn(event, pairs);
        }
    }

    /** Whether the sender's settings name the same electors as this member's; logs a warning if not. */
    boolean hasSameSettings(ConsensusMessage message) {
        List<String> own = state.settings().electors();
        if (ElectorLists.sameElectors(message.configuredElectors(), own)) {
            return true;
        }
        warnOnce(
                "consensus.electors_differ",
                "member",
                message.sender(),
                "theirs",
                message.configuredElectors(),
                "here",
                own);
        return false;
    }
}

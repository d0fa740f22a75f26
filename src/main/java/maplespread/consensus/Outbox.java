package maplespread.consensus;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Builds this member's messages and sends them; those that it sends to itself wait here until the node takes them.
 * Events go the same way, warnings once for each of their kind and subject.
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

    /** A message that reports this member's state as it is now. */
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

    /** Sends a message of the kinds that carry a ballot and, perhaps, a state; null: without one. */
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

    /** The oldest message that this member has sent to itself and not taken yet; null: none. */
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

    /** Warns unless the same event with the same fields was reported before. */
    void warnOnce(String event, Object... pairs) {
        if (issuedWarnings.add(event + List.of(pairs))) {
            warn(event, pairs);
        }
    }

    /** Whether the sender's settings name the same electors as this member's; warns where they do not. */
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

package maplespread.consensus;

import java.util.Map;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * An elector's vote: it promises ballots and accepts states under them, as in CASPaxos. While it recovers it takes
 * part in a bootstrap only.
 */
final class Acceptor {
    private final NodeState state;
    private final Outbox outbox;
    private final Recovery recovery;

    Acceptor(NodeState state, Outbox outbox, Recovery recovery) {
        this.state = state;
        this.outbox = outbox;
        this.recovery = recovery;
    }

    /** Promises the ballot and reports what was accepted so far, or refuses a ballot below the promised one. */
    void prepare(ConsensusMessage request) {
        if (!request.bootstrap() && !mayPromise(request)) {
            return;
        }
        if (request.ballot().compareTo(state.promised()) < 0) {
            refuse(request);
            return;
        }
        state.promise(request.ballot());
        outbox.send(request.sender(), Kind.PROMISE, request.ballot(), state.accepted());
    }

    private boolean mayPromise(ConsensusMessage request) {
        if (state.recovering()) {
            return false;
        }
        return state.accepted() != null || outbox.hasSameSettings(request);
    }

    /** Accepts the proposed state, or refuses it where the promise or the quorum behind it does not hold. */
    void accept(ConsensusMessage request) {
        // An elector that recovers may have forgotten what it promised, but not a promise that the quorum counts.
        boolean promiseCounted = request.bootstrap() && request.promiseQuorum().containsKey(state.self());
        if (state.recovering() && !promiseCounted) {
            return;
        }
        if (!isQuorumCurrent(request.promiseQuorum()) || request.ballot().compareTo(state.promised()) < 0) {
            refuse(request);
            return;
        }
        state.accept(new AcceptedState(request.ballot(), request.accepted().state()));
        if (state.recovering()) {
            recovery.complete(state.accepted(), state.promised(), "found");
        }
        outbox.send(request.sender(), Kind.ACCEPTED, request.ballot(), null);
    }

    /** Promises of an ended incarnation may be forgotten: a round that rests on one must begin anew. */
    private boolean isQuorumCurrent(Map<String, Long> quorum) {
        return quorum.entrySet().stream().allMatch(entry -> state.isCurrent(entry.getKey(), entry.getValue()));
    }

    private void refuse(ConsensusMessage request) {
        outbox.send(request.sender(), Kind.REFUSE, request.ballot(), null);
    }
}

package maplespread.consensus;

import java.util.Map;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * The acceptor role of an elector in CASPaxos: promises ballots and accepts states under them. During recovery it
 * participates only in a bootstrap.
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

    /** Promises the ballot and reports the accepted state, or rejects a ballot below the promised one. */
    void prepare(ConsensusMessage request) {
        if (!request.bootstrap() && !mayPromise(request)) {
            return;
        }
        if (request.ballot().compareTo(state.promised()) < 0) {
            reject(request);
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

    /** Accepts the proposed state. Rejects it if a higher ballot was promised or the promise quorum is outdated. */
    void accept(ConsensusMessage request) {
        // A recovering elector may have lost its earlier promises. If the promise quorum lists this incarnation, the
        // promise was made by this process and still holds.
        boolean promiseCounted = request.bootstrap() && request.promiseQuorum().containsKey(state.self());
        if (state.recovering() && !promiseCounted) {
            return;
        }
        if (!isQuorumCurrent(request.promiseQuorum()) || request.ballot().compareTo(state.promised()) < 0) {
            reject(request);
            return;
        }
        state.accept(new AcceptedState(request.ballot(), request.accepted().state()));
        if (state.recovering()) {
            recovery.complete(state.accepted(), state.promised(), "found");
        }
        outbox.send(request.sender(), Kind.ACCEPTED, request.ballot(), null);
    }

    /** False if an incarnation in the quorum has ended: its promise may be lost, so the round must be restarted. */
    private boolean isQuorumCurrent(Map<String, Long> quorum) {
        return quorum.entrySet().stream().allMatch(entry -> state.isCurrent(entry.getKey(), entry.getValue()));
    }

    private void reject(ConsensusMessage request) {
        outbox.send(request.sender(), Kind.REFUSE, request.ballot(), null);
    }
}

package maplespread.consensus;

import java.util.SplittableRandom;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Detects an accepted state of this elector that has not become known as decided for some time, for example because its
 * proposer has crashed. This member then submits a read, which completes the change.
 */
final class OrphanedChangeFinisher {
    /** Timeout of the read, in multiples of the maximum retry interval. */
    private static final int READ_INTERVALS = 4;

    private static final long NEVER = Long.MAX_VALUE;

    private final NodeState state;
    private final Proposer proposer;
    private final SplittableRandom random;
    /**
     * Start of the wait, in milliseconds of the node's clock; {@link #NEVER} if no state is pending. Set a random time
     * ahead so that not all electors act at once.
     */
    private long waitFrom = NEVER;

    OrphanedChangeFinisher(NodeState state, Proposer proposer, SplittableRandom random) {
        this.state = state;
        this.proposer = proposer;
        this.random = random;
    }

    /** Submits the read when it is due. */
    void tick(long now) {
        long intervalMs = state.settings().maxRetryMs();
        if (!isUndecided() || !proposer.isIdle()) {
            waitFrom = NEVER;
        } else if (waitFrom == NEVER) {
            waitFrom = now + random.nextLong(intervalMs);
        } else if (now > waitFrom + intervalMs) {
            waitFrom = NEVER;
            long giveUpAt = now + READ_INTERVALS * intervalMs;
            proposer.submit(PendingChange.ofValue(Mutation.READ, proposer.nextNumber(), giveUpAt, result -> {}));
        }
    }

    private boolean isUndecided() {
        AcceptedState accepted = state.accepted();
        if (state.recovering() || accepted == null) {
            return false;
        }
        if (!ElectorLists.names(accepted.state().electorLists()).contains(state.self())) {
            return false;
        }
        return state.decided() == null
                || !state.decided().state().equals(accepted.state())
                || !accepted.state().previousElectors().isEmpty();
    }
}

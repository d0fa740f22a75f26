package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Keeps the latest decided state, and compares it with one elector and one other member now and then: whoever of the
 * two lacks a decision is sent it. So a decision reaches every member though its first announcement was lost.
 */
final class Learner {
    /** Comparisons that follow a decision at the shorter interval. */
    private static final int ROUNDS_AFTER_DECISION = 6;

    /** Bounds of the interval between comparisons when nothing was decided lately, in retry intervals. */
    private static final long MIN_IDLE_INTERVALS = 2;

    private static final long MAX_IDLE_INTERVALS = 10;

    private final NodeState state;
    private final Outbox outbox;
    private final SplittableRandom random;
    private int roundsAfterDecision;
    private long nextRoundAt;

    Learner(NodeState state, Outbox outbox, SplittableRandom random, long now) {
        this.state = state;
        this.outbox = outbox;
        this.random = random;
        nextRoundAt = now + state.settings().maxRetryMs();
    }

    /** A state is known to be decided: it counts as accepted here, and no earlier ballot is promised after it. */
    void decided(AcceptedState next) {
        state.acceptDecided(next);
        state.observe(next.ballot());
        VersionedValue value = next.state().value();
        VersionedValue before = state.decidedValue();
        if (value.isLaterThan(before)) {
            state.setDecided(next);
            roundsAfterDecision = ROUNDS_AFTER_DECISION;
            if (before != null) {
                reportChanges(before, value);
            }
            outbox.learned(value);
        } else if (value.equals(before) && AcceptedState.isLater(next, state.decided())) {
            state.setDecided(next);
        }
    }

    private void reportChanges(VersionedValue before, VersionedValue value) {
        if (before.epoch() != value.epoch()) {
            outbox.warn(
                    "consensus.epoch",
                    "epoch",
                    value.epoch(),
                    "version",
                    value.version(),
                    "before",
                    before.epoch(),
                    "known_version",
                    before.version());
        }
        if (before.electorsVersion() != value.electorsVersion()) {
            outbox.info("consensus.electors", "number", value.electorsVersion(), "electors", value.electors());
        }
    }

    /** Compares with others where it is time to. */
    void tick(long now) {
        if (roundsAfterDecision > 0) {
            nextRoundAt = Math.min(nextRoundAt, now + state.settings().maxRetryMs());
        }
        if (now < nextRoundAt) {
            return;
        }
        nextRoundAt = now + nextIntervalMs();
        compareWithOneOf(new ArrayList<>(state.otherMembers()));
        List<String> electors = new ArrayList<>(state.decidedElectors());
        electors.remove(state.self());
        compareWithOneOf(electors);
    }

    /** When to be called again at the latest, in milliseconds of the node's clock. */
    long nextTickAt() {
        return nextRoundAt;
    }

    /**
     * Short after a decision. Later the longer, the more members there are for each elector, so that the messages an
     * elector receives do not grow with the fleet.
     */
    private long nextIntervalMs() {
        if (roundsAfterDecision > 0) {
            roundsAfterDecision--;
            return state.settings().maxRetryMs();
        }
        int membersPerElector =
                state.otherMembers().size() / state.decidedElectors().size();
        long intervals = Math.max(MIN_IDLE_INTERVALS, Math.min(MAX_IDLE_INTERVALS, membersPerElector));
        return intervals * state.settings().maxRetryMs();
    }

    private void compareWithOneOf(List<String> candidates) {
        if (!candidates.isEmpty()) {
            String receiver = candidates.get(random.nextInt(candidates.size()));
            outbox.send(receiver, Kind.DECIDED_BALLOT, state.decidedBallot(), null);
        }
    }

    /** Another member reports which ballot it knows as decided: whichever side is behind is sent the state. */
    void compare(ConsensusMessage report) {
        int order = report.ballot().compareTo(state.decidedBallot());
        if (order < 0) {
            outbox.send(report.sender(), Kind.DECIDED, state.decidedBallot(), state.decided());
        } else if (order > 0) {
            outbox.send(report.sender(), Kind.DECIDED_BALLOT, state.decidedBallot(), null);
        }
    }
}

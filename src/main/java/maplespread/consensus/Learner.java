package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;

/**
 * Maintains the latest decided state, and periodically compares its ballot with one elector and one other member; the
 * side that lacks a decision is sent it. A decision thus reaches every member even if its announcement was lost.
 */
final class Learner {
    /** Number of comparisons at the shorter interval after a decision. */
    private static final int COMPARISONS_AFTER_DECISION = 6;

    /** Minimum interval between comparisons without a recent decision, in multiples of the maximum retry interval. */
    private static final long MIN_IDLE_INTERVALS = 2;

    /** Maximum interval between comparisons without a recent decision, in multiples of the maximum retry interval. */
    private static final long MAX_IDLE_INTERVALS = 10;

    private final NodeState state;
    private final Outbox outbox;
    private final SplittableRandom random;

    /** Remaining comparisons at the shorter interval. */
    private int comparisonsAfterDecision;

    /** Time of the next comparison, in milliseconds of the node's clock. */
    private long nextComparisonAt;

    Learner(NodeState state, Outbox outbox, SplittableRandom random, long now) {
        this.state = state;
        this.outbox = outbox;
        this.random = random;
        nextComparisonAt = now + state.settings().maxRetryMs();
    }

    /** Handles a decided state: adopts it as accepted and as the latest decision, if later, and raises the promise. */
    void decided(AcceptedState next) {
        state.acceptDecided(next);
        state.observe(next.ballot());
        VersionedValue value = next.state().value();
        VersionedValue before = state.decidedValue();
        if (value.isLaterThan(before)) {
            state.setDecided(next);
            comparisonsAfterDecision = COMPARISONS_AFTER_DECISION;
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

    /** Starts a comparison with other members when one is due. */
    void tick(long now) {
        if (comparisonsAfterDecision > 0) {
            nextComparisonAt = Math.min(nextComparisonAt, now + state.settings().maxRetryMs());
        }
        if (now < nextComparisonAt) {
            return;
        }
        nextComparisonAt = now + nextIntervalMs();
        compareWithOneOf(new ArrayList<>(state.otherMembers()));
        List<String> electors = new ArrayList<>(state.decidedElectors());
        electors.remove(state.self());
        compareWithOneOf(electors);
    }

    /** The time by which the next tick is needed, in milliseconds of the node's clock. */
    long nextTickAt() {
        return nextComparisonAt;
    }

    /**
     * The interval to the next comparison. It is short after a decision; otherwise it grows with the number of members
     * per elector, between a minimum and a maximum. Between these limits, the message rate of an elector does not grow
     * with the fleet.
     */
    private long nextIntervalMs() {
        if (comparisonsAfterDecision > 0) {
            comparisonsAfterDecision--;
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

    /**
     * Compares the decided ballot reported by another member with that of this member. Sends the state if the other
     * member is behind, or requests it by a report of this member's ballot.
     */
    void compare(ConsensusMessage report) {
        int comparison = report.ballot().compareTo(state.decidedBallot());
        if (comparison < 0) {
            outbox.send(report.sender(), Kind.DECIDED, state.decidedBallot(), state.decided());
        } else if (comparison > 0) {
            outbox.send(report.sender(), Kind.DECIDED_BALLOT, state.decidedBallot(), null);
        }
    }
}

package maplespread.consensus;

import java.nio.charset.StandardCharsets;
import java.util.List;
import maplespread.consensus.RegisterState.AcceptedState;
import maplespread.consensus.RegisterState.AppliedChange;
import maplespread.errors.FleetException;

/** The effect of a pending change on the newest state reported by a majority: a proposal, or the end of the change. */
sealed interface StateTransition {
    /** A state to be proposed to the electors. */
    record Proposal(RegisterState next) implements StateTransition {}

    /** The change ends with this result, without a proposal. */
    record Ended(ChangeResult result) implements StateTransition {}

    /** Applies a change of the value or of the electors to a state. */
    static StateTransition apply(PendingChange change, RegisterState base, NodeState state) {
        VersionedValue value = base.value();
        boolean baseIsDecided =
                state.decided() != null && state.decided().state().equals(base);
        ConfigurationChange electors = ConfigurationChange.after(base, baseIsDecided, change.targetElectors());
        String text = value.text();
        change.setRejection(null);
        if (change.mutation() != Mutation.READ
                && !base.hasApplied(state.self(), state.incarnation(), change.number())) {
            if (change.isUntraceableIn(value)) {
                return new Ended(untraceable(state));
            }
            text = applyMutation(change, value);
        }
        boolean textChanged = !text.equals(value.text());
        if (!textChanged && electors.keeps(base)) {
            return new Proposal(base);
        }
        List<AppliedChange> applied = base.appliedChanges();
        long version = value.version() + 1;
        if (textChanged) {
            applied = base.withApplied(new AppliedChange(state.self(), state.incarnation(), change.number(), version));
            change.recordAttempt(value);
        }
        VersionedValue next =
                new VersionedValue(value.epoch(), version, text, electors.electorsVersion(), electors.electors());
        return new Proposal(new RegisterState(next, electors.previousElectors(), applied));
    }

    /** The text after the change; unchanged if the change is rejected, which is reported once that text is decided. */
    private static String applyMutation(PendingChange change, VersionedValue value) {
        try {
            String text = change.mutation().apply(value);
            int bytes = text.getBytes(StandardCharsets.UTF_8).length;
            if (bytes > ConsensusNode.MAX_TEXT_BYTES) {
                throw new ValueTooLargeException(bytes, ConsensusNode.MAX_TEXT_BYTES);
            }
            return text;
        } catch (FleetException | RuntimeException e) {
            change.setRejection(e);
            return value.text();
        }
    }

    /** The result of a change whose outcome is unknown as the value need not list it any more. No quorum was lost. */
    private static ChangeResult untraceable(NodeState state) {
        return new ChangeResult(
                ChangeResult.Outcome.NO_MAJORITY,
                state.decidedValue(),
                new QuorumLostException("a change met others for so long that none can tell whether it is in"));
    }

    /**
     * Applies a bootstrap to the newest reported state.
     *
     * @param newest the newest state that any member has reported; null if none
     * @param base the state to continue from; an empty state if none was reported
     */
    static StateTransition bootstrap(
            PendingChange change, AcceptedState newest, RegisterState base, Round round, NodeState state) {
        List<String> electors = change.targetElectors().orElseThrow();
        VersionedValue value = base.value();
        boolean earlierAttemptSucceeded = newest != null
                && change.attempted()
                && value.epoch() >= change.bootstrapEpoch()
                && ElectorLists.sameElectors(value.electors(), electors);
        if (earlierAttemptSucceeded) {
            return new Proposal(base);
        }
        if (ElectorLists.haveMajorities(state.electorLists(newest), round.recoveredPromisers())) {
            return new Ended(bootstrapNotNeeded(state));
        }
        long epoch = round.ballot().epoch();
        change.recordBootstrapAttempt(epoch);
        VersionedValue next =
                new VersionedValue(epoch, value.version() + 1, value.text(), value.electorsVersion() + 1, electors);
        return new Proposal(new RegisterState(next, List.of(), base.appliedChanges()));
    }

    private static ChangeResult bootstrapNotNeeded(NodeState state) {
        return new ChangeResult(
                ChangeResult.Outcome.REJECTED,
                state.decidedValue(),
                new ChangeRejectedException( // terms of the admin API: sighted = recovered, founded = bootstrapped
                        "a majority of the electors is sighted",
                        "changes are decided as always",
                        "nothing need be founded; electors are changed by call"));
    }
}

package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The replicated state of the register: the value, and what is needed to change it safely.
 *
 * @param value the value with its electors
 * @param previousElectors the electors before, while a change of them is not known to be decided; else empty
 * @param appliedChanges the last change of each of the latest proposers, newest last, so that one which is tried again
 *     is not applied twice
 */
public record RegisterState(VersionedValue value, List<String> previousElectors, List<AppliedChange> appliedChanges) {
    /** Most proposers whose last change is remembered. */
    static final int MAX_APPLIED_CHANGES = 64;

    /**
     * A change that is in the value.
     *
     * @param proposer the member that proposed it
     * @param incarnation of that member, in Unix milliseconds
     * @param number of the change, counted by that incarnation
     * @param version that the change made
     */
    public record AppliedChange(String proposer, long incarnation, long number, long version) {
        private boolean isOf(String name, long ofIncarnation, long ofNumber) {
            return proposer.equals(name) && incarnation == ofIncarnation && number == ofNumber;
        }
    }

    /**
     * A state that an elector has accepted.
     *
     * @param ballot the ballot under which it was accepted
     * @param state what was accepted
     */
    public record AcceptedState(Ballot ballot, RegisterState state) {
        /** Whether the first was accepted under a higher ballot than the second; null: nothing was accepted. */
        static boolean isLater(AcceptedState first, AcceptedState second) {
            return first != null && (second == null || first.ballot.compareTo(second.ballot) > 0);
        }
    }

    /** Copies the lists. */
    public RegisterState {
        previousElectors = List.copyOf(previousElectors);
        appliedChanges = List.copyOf(appliedChanges);
    }

    /** Each of these lists must have a majority for what is read from, or written over, this state. */
    List<List<String>> electorLists() {
        return previousElectors.isEmpty() ? List.of(value.electors()) : List.of(previousElectors, value.electors());
    }

    /** Whether this change is known to be in the value. */
    boolean hasApplied(String proposer, long incarnation, long number) {
        return appliedChanges.stream().anyMatch(change -> change.isOf(proposer, incarnation, number));
    }

    /** The applied changes with one more, in place of an earlier one of its proposer. */
    List<AppliedChange> withApplied(AppliedChange added) {
        List<AppliedChange> next = new ArrayList<>(appliedChanges);
        next.removeIf(change -> change.proposer.equals(added.proposer));
        next.add(added);
        return next.subList(Math.max(0, next.size() - MAX_APPLIED_CHANGES), next.size());
    }
}

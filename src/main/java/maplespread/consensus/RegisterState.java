package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The replicated value with the data needed to change it safely.
 *
 * @param value the value with its electors
 * @param previousElectors the previous electors, while a change of electors is not known to be decided; otherwise empty
 * @param appliedChanges the last change of each recent proposer, newest last; prevents a retried change from being
 *     applied twice
 */
public record RegisterState(VersionedValue value, List<String> previousElectors, List<AppliedChange> appliedChanges) {
    /** Maximum number of proposers whose last change is recorded. */
    static final int MAX_APPLIED_CHANGES = 64;

    /**
     * A change that the value includes.
     *
     * @param proposer the member that proposed the change
     * @param incarnation incarnation of that member, in Unix milliseconds
     * @param number sequence number of the change within that incarnation
     * @param version version of the value that the change produced
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
     * @param state the accepted state
     */
    public record AcceptedState(Ballot ballot, RegisterState state) {
        /** Whether the first was accepted under a higher ballot than the second; null stands for no accepted state. */
        static boolean isLater(AcceptedState first, AcceptedState second) {
            return first != null && (second == null || first.ballot.compareTo(second.ballot) > 0);
        }
    }

    /** Copies the lists. */
    public RegisterState {
        previousElectors = List.copyOf(previousElectors);
        appliedChanges = List.copyOf(appliedChanges);
    }

    /** The elector lists of which a read or a replacement of this state needs a majority each. */
    List<List<String>> electorLists() {
        return previousElectors.isEmpty() ? List.of(value.electors()) : List.of(previousElectors, value.electors());
    }

    /** Whether the applied changes list this change. */
    boolean hasApplied(String proposer, long incarnation, long number) {
        return appliedChanges.stream().anyMatch(change -> change.isOf(proposer, incarnation, number));
    }

    /** Returns the applied changes with the given one, which replaces an earlier one of the same proposer. */
    List<AppliedChange> withApplied(AppliedChange added) {
        List<AppliedChange> next = new ArrayList<>(appliedChanges);
        next.removeIf(change -> change.proposer.equals(added.proposer));
        next.add(added);
        return next.subList(Math.max(0, next.size() - MAX_APPLIED_CHANGES), next.size());
    }
}

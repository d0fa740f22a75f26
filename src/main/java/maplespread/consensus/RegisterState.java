package maplespread.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * What electors keep. {@code before}: the electors before, while a change of them is not known to be decided;
 * none otherwise. {@code done}: the last change of each proposer that is in the value, newest last, so that
 * one which is tried again is not applied twice.
 */
public record RegisterState(VersionedValue value, List<String> previousElectors, List<AppliedChange> appliedChanges) {
    static final int MAX_APPLIED_CHANGES = 64;

    /** A proposer's change, and the version that it made. */
    public record AppliedChange(String proposer, long incarnation, long number, long version) {}

    /** Something kept, and the ballot under which it was taken. */
    public record AcceptedState(Ballot ballot, RegisterState state) {
        static boolean isLater(AcceptedState a, AcceptedState b) {
            return a != null && (b == null || a.ballot.compareTo(b.ballot) > 0);
        }
    }

    public RegisterState {
        previousElectors = List.copyOf(previousElectors);
        appliedChanges = List.copyOf(appliedChanges);
    }

    /** Each of these lists must have a majority for what is read of, or written over, this. */
    List<List<String>> electorLists() {
        return previousElectors.isEmpty() ? List.of(value.electors()) : List.of(previousElectors, value.electors());
    }

    boolean hasApplied(String name, long boot, long number) {
        return appliedChanges.stream()
                .anyMatch(d -> d.proposer.equals(name) && d.incarnation == boot && d.number == number);
    }

    /** The list of those done with one more. */
    List<AppliedChange> withApplied(AppliedChange one) {
        List<AppliedChange> next = new ArrayList<>(appliedChanges);
        next.removeIf(d -> d.proposer.equals(one.proposer));
        next.add(one);
        return next.subList(Math.max(0, next.size() - MAX_APPLIED_CHANGES), next.size());
    }
}

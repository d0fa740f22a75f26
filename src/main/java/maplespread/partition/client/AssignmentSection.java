package maplespread.partition.client;

import java.util.Optional;
import java.util.function.UnaryOperator;
import maplespread.cluster.SharedState;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.partition.SlotAssignment;

/** The part of the value agreed on by the fleet that holds the slot assignment: how it is read and changed. */
final class AssignmentSection {
    private static final String SECTION = "partition";

    private AssignmentSection() {}

    /**
     * The assignment that is in force; empty: nothing is agreed on. Version numbers begin with that of the register's
     * incarnation, so a lower one is of an earlier incarnation, which was bootstrapped anew since: some of what
     * followed it may be lost.
     */
    static Optional<SlotAssignment> read(VersionedValue value) {
        return stored(value).filter(assignment -> assignment.version() >= value.epoch());
    }

    /** What is stored, be it in force or of an earlier incarnation of the register. */
    private static Optional<SlotAssignment> stored(VersionedValue value) {
        String text = SharedState.read(value.text(), SECTION);
        return text.isEmpty() ? Optional.empty() : Optional.of(SlotAssignment.fromJson(text));
    }

    /** A command as a change of the whole value; it changes nothing where no assignment is in force. */
    static Mutation changing(UnaryOperator<SlotAssignment> command) {
        return value -> {
            Optional<SlotAssignment> current = read(value);
            Optional<SlotAssignment> next = current.map(command);
            return next.equals(current)
                    ? value.text()
                    : SharedState.write(
                            value.text(), SECTION, next.orElseThrow().toJson());
        };
    }

    /**
     * Writes the first assignment of this incarnation of the register: with the table and the stopped keys of an
     * earlier one, where there is one, else with {@code slots} and {@code compressedTable}.
     */
    static Mutation initializing(int slots, String compressedTable) {
        return value -> {
            if (read(value).isPresent()) {
                return value.text();
            }
            SlotAssignment first = stored(value)
                    .map(earlier -> earlier.reinitialized(value.epoch()))
                    .orElseGet(() -> SlotAssignment.initial(slots, compressedTable, value.epoch()));
            return SharedState.write(value.text(), SECTION, first.toJson());
        };
    }
}

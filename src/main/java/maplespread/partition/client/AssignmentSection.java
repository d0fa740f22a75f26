package maplespread.partition.client;

import java.util.Optional;
import java.util.function.UnaryOperator;
import maplespread.cluster.SharedState;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.partition.SlotAssignment;

/** Reads and changes the slot assignment, which is one section of the replicated value. */
final class AssignmentSection {
    private static final String SECTION = "partition";

    private AssignmentSection() {}

    /**
     * The assignment in force; empty if none is decided. Versions of an assignment start at the register's epoch, so an
     * assignment with a lower version is from an earlier incarnation of the register. The register was bootstrapped
     * again since, and later versions of that assignment may be lost.
     */
    static Optional<SlotAssignment> read(VersionedValue value) {
        return stored(value).filter(assignment -> assignment.version() >= value.epoch());
    }

    /** The stored assignment, which may be from an earlier incarnation of the register. */
    private static Optional<SlotAssignment> stored(VersionedValue value) {
        String text = SharedState.read(value.text(), SECTION);
        return text.isEmpty() ? Optional.empty() : Optional.of(SlotAssignment.fromJson(text));
    }

    /** A mutation of the replicated value that applies {@code update} to the assignment in force, if there is one. */
    static Mutation changing(UnaryOperator<SlotAssignment> update) {
        return value -> {
            Optional<SlotAssignment> current = read(value);
            Optional<SlotAssignment> next = current.map(update);
            return next.equals(current)
                    ? value.text()
                    : SharedState.write(
                            value.text(), SECTION, next.orElseThrow().toJson());
        };
    }

    /**
     * A mutation that writes the first assignment of this incarnation of the register. The assignment keeps the slot
     * count, table and stopped keys of an earlier incarnation's assignment if one is stored, and otherwise has {@code
     * slots} slots and {@code compressedTable}.
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

package maplespread.partition.client;

import java.util.Objects;
import java.util.Optional;
import maplespread.consensus.VersionedValue;
import maplespread.partition.SlotAssignment;

/** Remembers the assignment in the last value that was asked for, so that one value is parsed once. Thread-safe. */
final class CachedAssignment {
    private VersionedValue lastValue;
    private Optional<SlotAssignment> assignment = Optional.empty();

    /** Empty: nothing is agreed on. {@code value}: null where none is known. */
    synchronized Optional<SlotAssignment> read(VersionedValue value) {
        if (!Objects.equals(value, lastValue)) {
            assignment = value == null ? Optional.empty() : AssignmentSection.read(value);
            lastValue = value;
        }
        return assignment;
    }
}

package maplespread.partition.client;

import java.util.Objects;
import java.util.Optional;
import maplespread.consensus.VersionedValue;
import maplespread.partition.SlotAssignment;

/** Caches the assignment of the value that was read last, so that each value is parsed once. Thread-safe. */
final class CachedAssignment {
    private VersionedValue lastValue;
    private Optional<SlotAssignment> assignment = Optional.empty();

    /** The assignment in {@code value}; empty if there is none in force or {@code value} is null. */
    synchronized Optional<SlotAssignment> read(VersionedValue value) {
        if (!Objects.equals(value, lastValue)) {
            assignment = value == null ? Optional.empty() : AssignmentSection.read(value);
            lastValue = value;
        }
        return assignment;
    }
}

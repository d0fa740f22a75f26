package maplespread.consensus;

import java.util.List;

/**
 * What was decided. {@code epoch}: of the life that it belongs to, by Unix milliseconds; grows when a life is
 * begun or founded anew, and is compared before the {@code version}, which grows by one with each change.
 * {@code electors} decide, under a number that grows with each change of them.
 */
public record VersionedValue(long epoch, long version, String text, long electorsVersion, List<String> electors) {
    public VersionedValue {
        electors = List.copyOf(electors);
    }

    /** Whether this is later than the other, which may be null. */
    public boolean isLaterThan(VersionedValue other) {
        return other == null || epoch > other.epoch || epoch == other.epoch && version > other.version;
    }
}

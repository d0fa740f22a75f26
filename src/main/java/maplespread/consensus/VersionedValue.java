package maplespread.consensus;

import java.util.List;

/**
 * The replicated value at one version.
 *
 * @param epoch starts at Unix milliseconds and grows with each first start or bootstrap; compared before the version
 * @param version incremented with each change
 * @param text the content, at most {@link ConsensusNode#MAX_TEXT_BYTES} bytes as UTF-8
 * @param electorsVersion incremented with each change of the electors
 * @param electors the members of which a majority decides
 */
public record VersionedValue(long epoch, long version, String text, long electorsVersion, List<String> electors) {
    /** Copies the list. */
    public VersionedValue {
        electors = List.copyOf(electors);
    }

    /** Whether this value is later than the other; null stands for no value. */
    public boolean isLaterThan(VersionedValue other) {
        if (other == null) {
            return true;
        }
        return epoch > other.epoch || epoch == other.epoch && version > other.version;
    }
}

package maplespread.consensus;

import java.util.List;

/**
 * The register's value at one version.
 *
 * @param epoch begins with Unix milliseconds and grows with each first start or bootstrap; compared before the version
 * @param version grows by one with each change
 * @param text the value itself, at most {@link ConsensusNode#MAX_TEXT_BYTES} bytes as UTF-8
 * @param electorsVersion grows with each change of the electors
 * @param electors the members whose majority decides
 */
public record VersionedValue(long epoch, long version, String text, long electorsVersion, List<String> electors) {
    /** Copies the list. */
    public VersionedValue {
        electors = List.copyOf(electors);
    }

    /** Whether this is later than the other; null: there is no other. */
    public boolean isLaterThan(VersionedValue other) {
        if (other == null) {
            return true;
        }
        return epoch > other.epoch || epoch == other.epoch && version > other.version;
    }
}

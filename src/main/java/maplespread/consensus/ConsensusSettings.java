package maplespread.consensus;

import java.util.List;

/**
 * The settings of a node.
 *
 * @param name this member's name
 * @param electors the electors from the first start until a decided value names others; each named once
 * @param retryMs timeout of the first round of a change, in milliseconds; doubled for each further round
 * @param maxRetryMs maximum timeout of a round, in milliseconds; all other intervals are multiples of it
 */
public record ConsensusSettings(String name, List<String> electors, long retryMs, long maxRetryMs) {
    private static final long LOCAL_RETRY_MS = 50;
    private static final long LOCAL_MAX_RETRY_MS = 500;

    /**
     * Checks and copies the electors.
     *
     * @throws IllegalArgumentException if the list is empty or names an elector twice
     */
    public ConsensusSettings {
        electors = List.copyOf(electors);
        if (electors.isEmpty() || electors.stream().distinct().count() < electors.size()) {
            throw new IllegalArgumentException("electors must be named, each once: " + electors);
        }
    }

    /** Settings for a local network. */
    public static ConsensusSettings of(String name, List<String> electors) {
        return new ConsensusSettings(name, electors, LOCAL_RETRY_MS, LOCAL_MAX_RETRY_MS);
    }
}

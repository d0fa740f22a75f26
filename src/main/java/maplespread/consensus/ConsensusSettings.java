package maplespread.consensus;

import java.util.List;

/**
 * The settings of a node.
 *
 * @param name this member's name
 * @param electors the electors at the first start, and until a decided value names others; each named once
 * @param retryMs how long the first round of a change waits for answers, in milliseconds; each further round waits
 *     twice as long
 * @param maxRetryMs the longest such wait, and the unit of all other intervals, in milliseconds
 */
public record ConsensusSettings(String name, List<String> electors, long retryMs, long maxRetryMs) {
    private static final long LOCAL_RETRY_MS = 50;
    private static final long LOCAL_MAX_RETRY_MS = 500;

    /**
     * Checks and copies the electors.
     *
     * @throws IllegalArgumentException if there are none, or one is named twice
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

package maplespread.consensus;

import java.util.List;

/**
 * {@code electors}: those of the operators' file, which count until a value says otherwise. {@code retryMs}:
 * how long the first try of a change waits for answers; {@code mostRetryMs}: the longest such wait.
 */
public record ConsensusSettings(String name, List<String> electors, long retryMs, long maxRetryMs) {
    public ConsensusSettings {
        electors = List.copyOf(electors);
        if (electors.isEmpty() || electors.stream().distinct().count() < electors.size()) {
            throw new IllegalArgumentException("electors must be named, each once: " + electors);
        }
    }

    /** For a local network. */
    public static ConsensusSettings of(String name, List<String> electors) {
        return new ConsensusSettings(name, electors, 50, 500);
    }
}

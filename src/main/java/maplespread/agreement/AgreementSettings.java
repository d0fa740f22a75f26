package maplespread.agreement;

import java.util.List;

/**
 * {@code electors}: those of the operators' file, which count until a value says otherwise. {@code retryMs}:
 * how long the first try of a change waits for answers; {@code mostRetryMs}: the longest such wait.
 */
public record AgreementSettings(String name, List<String> electors, long retryMs, long mostRetryMs) {
    public AgreementSettings {
        electors = List.copyOf(electors);
        if (electors.isEmpty() || electors.stream().distinct().count() < electors.size()) {
            throw new IllegalArgumentException("electors must be named, each once: " + electors);
        }
    }

    /** For a local network. */
    public static AgreementSettings of(String name, List<String> electors) {
        return new AgreementSettings(name, electors, 50, 500);
    }
}

package maplespread.address;

import java.util.List;

/**
 * {@code keepMs}: how long a claim or an outcome is kept: longer than any client goes on trying one id;
 * {@code askMs}: for a majority's answer; {@code most}: claims held at once. Times in milliseconds.
 */
public record ClaimSettings(String name, List<String> electors, long retentionMs, long claimTimeoutMs, int maxClaims) {
    public ClaimSettings {
        electors = List.copyOf(electors);
        if (retentionMs <= 4 * claimTimeoutMs || maxClaims < 1) {
            throw new IllegalArgumentException("keepMs must be above four times askMs, most above 0");
        }
    }

    int majority() {
        return electors.size() / 2 + 1;
    }

    /**
     * How many others an elector that knows nothing must read to know of every claim that it may have held:
     * with it, a majority held each, so of the others at least one less did.
     */
    int requiredSyncSources() {
        return electors.size() - majority() + 1;
    }
}

package maplespread.address;

import java.util.List;

/**
 * The settings of claims.
 *
 * @param name this instance's name
 * @param electors the instances whose majority holds a claim
 * @param retentionMs how long a claim or an outcome is kept, in milliseconds: longer than any client repeats one id
 * @param claimTimeoutMs how long a claim waits for a majority, in milliseconds
 * @param maxClaims that an elector holds at once
 */
public record ClaimSettings(String name, List<String> electors, long retentionMs, long claimTimeoutMs, int maxClaims) {
    private static final int MIN_TIMEOUTS_PER_RETENTION = 4;

    /**
     * Checks and copies.
     *
     * @throws IllegalArgumentException if the retention is too short, or no claim may be held
     */
    public ClaimSettings {
        electors = List.copyOf(electors);
        if (retentionMs <= MIN_TIMEOUTS_PER_RETENTION * claimTimeoutMs || maxClaims < 1) {
            throw new IllegalArgumentException("keepMs must be above four times askMs, most above 0");
        }
    }

    int majority() {
        return electors.size() / 2 + 1;
    }

    /**
     * How many others an elector that knows nothing must read to know of every claim that it may have held: with it, a
     * majority held each, so at least one less of the others did.
     */
    int requiredSyncSources() {
        return electors.size() - majority() + 1;
    }
}

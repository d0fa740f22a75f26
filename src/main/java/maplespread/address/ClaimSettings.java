package maplespread.address;

import java.util.List;

/**
 * The settings of claims.
 *
 * @param name this instance's name
 * @param electors the instances whose majority holds a claim
 * @param retentionMs how long a claim or an outcome is kept, in milliseconds; must exceed the time for
 *     which a client retries an id
 * @param claimTimeoutMs how long a claim waits for a majority, in milliseconds
 * @param maxClaims the greatest number of ids that an elector holds at once
 */
public record ClaimSettings(String name, List<String> electors, long retentionMs, long claimTimeoutMs, int maxClaims) {
    private static final int MIN_TIMEOUTS_PER_RETENTION = 4;

    /**
     * Validates the settings and copies the list.
     *
     * @throws IllegalArgumentException if the retention is too short, or no claim may be held
     */
    public ClaimSettings {
        electors = List.copyOf(electors);
        if (retentionMs <= MIN_TIMEOUTS_PER_RETENTION * claimTimeoutMs || maxClaims < 1) {
            throw new IllegalArgumentException(
                    "retentionMs must exceed 4 * claimTimeoutMs, and maxClaims must be at least 1");
        }
    }

    int majority() {
        return electors.size() / 2 + 1;
    }

    /**
     * The number of other electors that a recovering elector must read to know every claim that it may have held. Each
     * such claim was held by a majority including this elector, so by at least a majority minus one of the others.
     */
    int requiredSyncSources() {
        return electors.size() - majority() + 1;
    }
}

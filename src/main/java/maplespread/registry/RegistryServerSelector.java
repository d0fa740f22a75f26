package maplespread.registry;

import java.util.OptionalInt;

/**
 * Chooses the registry server to call. Servers are numbered in the order of preference. A server that refuses
 * connections is retried soon, since that costs the registry nothing; one that accepts and then fails or stays
 * silent backs off longer each time. From a server that is not the first, calls return to a better one after
 * {@code preferAgainMs}. Not thread-safe.
 */
final class RegistryServerSelector {
    private static final long REFUSED_BASE_MS = 20;
    private static final long REFUSED_CAP_MS = 80;
    private static final long FAILED_BASE_MS = 50;
    private static final long FAILED_CAP_MS = 1000;
    private static final long DENIED_BASE_MS = 1000;
    private static final long DENIED_CAP_MS = 30_000;
    private static final int MAX_DOUBLINGS = 5;
    private static final long NEVER = Long.MAX_VALUE;

    private final DecorrelatedJitter jitter;
    private final long preferAgainMs;
    private final long[] retryNotBeforeMs;
    private final long[] lastBackoffMs;
    private final boolean[] succeeded;
    /** By server the number of its last failure among all failures; 0 while it is healthy. */
    private final long[] failureNumber;

    private long failures;
    private int current;
    private long returnAtMs = NEVER;
    private int returnsSinceSuccess;

    RegistryServerSelector(int servers, long preferAgainMs, DecorrelatedJitter jitter) {
        this.preferAgainMs = preferAgainMs;
        this.jitter = jitter;
        retryNotBeforeMs = new long[servers];
        lastBackoffMs = new long[servers];
        succeeded = new boolean[servers];
        failureNumber = new long[servers];
    }

    /**
     * The server to call, or empty where all back off. The current one while it is healthy, else, of those that
     * do not back off, the one whose last failure is oldest: by preference alone two dead servers would take
     * turns and a healthy third one would never be reached.
     */
    OptionalInt select(long nowMs) {
        if (failureNumber[current] == 0) {
            return retryNotBeforeMs[current] <= nowMs ? OptionalInt.of(current) : OptionalInt.empty();
        }
        int oldest = -1;
        for (int server = 0; server < retryNotBeforeMs.length; server++) {
            boolean ready = retryNotBeforeMs[server] <= nowMs;
            if (ready && (oldest < 0 || failureNumber[server] < failureNumber[oldest])) {
                oldest = server;
            }
        }
        if (oldest < 0) {
            return OptionalInt.empty();
        }
        current = oldest;
        return OptionalInt.of(oldest);
    }

    /** When the first server may be called again, after {@link #select} found none. */
    long earliestRetryAtMs() {
        if (failureNumber[current] == 0) {
            return retryNotBeforeMs[current];
        }
        long earliest = NEVER;
        for (long notBeforeMs : retryNotBeforeMs) {
            earliest = Math.min(earliest, notBeforeMs);
        }
        return earliest;
    }

    int current() {
        return current;
    }

    int size() {
        return retryNotBeforeMs.length;
    }

    /** Whether the server has answered usefully since its last failure. */
    boolean hasSucceeded(int server) {
        return succeeded[server];
    }

    /** The current server has given a useful answer. */
    void recordSuccess() {
        lastBackoffMs[current] = 0;
        succeeded[current] = true;
        failureNumber[current] = 0;
        if (current == 0) {
            returnsSinceSuccess = 0;
        }
    }

    /** A call to the current server has failed; {@code kind} decides how long the server backs off. */
    void recordFailure(long nowMs, CallOutcome kind) {
        succeeded[current] = false;
        failureNumber[current] = ++failures;
        long baseMs = FAILED_BASE_MS;
        long capMs = FAILED_CAP_MS;
        if (kind == CallOutcome.REFUSED) {
            baseMs = REFUSED_BASE_MS;
            capMs = REFUSED_CAP_MS;
        } else if (kind == CallOutcome.DENIED) {
            baseMs = DENIED_BASE_MS;
            capMs = DENIED_CAP_MS;
        }
        lastBackoffMs[current] = jitter.nextBackoffMs(baseMs, lastBackoffMs[current], capMs);
        retryNotBeforeMs[current] = nowMs + lastBackoffMs[current];
    }

    /** A useful call to the current server has ended without a fault: it is called again after a moment. */
    void recordNormalEnd(long nowMs) {
        retryNotBeforeMs[current] = nowMs + jitter.nextBackoffMs(1, 2, REFUSED_BASE_MS);
    }

    /** The current server's answer is older than what is known: others are called for up to {@code capMs}. */
    void recordStaleAnswer(long nowMs, long capMs) {
        failureNumber[current] = ++failures;
        retryNotBeforeMs[current] =
                nowMs + jitter.nextBackoffMs(Math.min(FAILED_BASE_MS, capMs), FAILED_BASE_MS, Math.max(1, capMs));
    }

    /** A call to the current server begins: where a better one exists, the return to it is scheduled. */
    void callStarts(long nowMs) {
        if (current > 0 && returnAtMs == NEVER) {
            // A better server that fails whenever it is tried costs a while without updates each time.
            long waitMs = preferAgainMs << Math.min(returnsSinceSuccess, MAX_DOUBLINGS);
            returnAtMs = nowMs + jitter.jittered(waitMs);
        }
    }

    /** When a watch at the current server is to end in favour of a better one; the maximum value: never. */
    long watchEndsAtMs() {
        return current > 0 ? returnAtMs : NEVER;
    }

    /** Makes a better server the current one where that is due; whether it did. */
    boolean returnToPreferred(long nowMs) {
        if (nowMs < returnAtMs) {
            return false;
        }
        returnAtMs = NEVER;
        for (int server = 0; server < current; server++) {
            if (retryNotBeforeMs[server] <= nowMs) {
                current = server;
                failureNumber[server] = 0;
                returnsSinceSuccess++;
                return true;
            }
        }
        return false;
    }

    /** Lets all servers be called at once, since the reason for their refusals may be gone. */
    void clearBackoffs(long nowMs) {
        for (int server = 0; server < retryNotBeforeMs.length; server++) {
            retryNotBeforeMs[server] = Math.min(retryNotBeforeMs[server], nowMs);
            lastBackoffMs[server] = 0;
        }
    }
}

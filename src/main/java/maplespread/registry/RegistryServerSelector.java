package maplespread.registry;

/**
 * The registry's endpoints in the order of preference, and which of them rest. One that refuses connections
 * is tried again soon, since that costs nothing and resuming is to be quick; one that accepts and then
 * fails, or says nothing, rests longer each time.
 */
final class RegistryServerSelector {
    private static final long SOON_BASE_MS = 20, SOON_CAP_MS = 80;
    private static final long BASE_MS = 50, CAP_MS = 1000;
    private static final long DENIED_BASE_MS = 1000, DENIED_CAP_MS = 30_000;

    private final RequestRateLimiter pace;
    private final long[] restUntil;
    private final long[] lastRest;
    private final boolean[] proved; // it has been of use since it last failed
    private final long[] failed; // as a count of all failures; 0: it is well
    private long failures;
    private int current;

    RegistryServerSelector(int count, RequestRateLimiter pace) {
        this.pace = pace;
        restUntil = new long[count];
        lastRest = new long[count];
        proved = new boolean[count];
        failed = new long[count];
    }

    /**
     * The endpoint to ask; -1: none yet. The present one while it holds, else of those that do not rest the
     * one whose failure is longest ago: were the first taken, two dead ones would take turns for good.
     */
    int select(long now) {
        if (failed[current] == 0) {
            return restUntil[current] <= now ? current : -1;
        }
        int best = -1;
        for (int i = 0; i < restUntil.length; i++) {
            if (restUntil[i] <= now && (best < 0 || failed[i] < failed[best])) {
                best = i;
            }
        }
        current = best < 0 ? current : best;
        return best;
    }

    /** When the first of them may be asked again. */
    long earliestRetryAtMs() {
        if (failed[current] == 0) {
            return restUntil[current];
        }
        long least = Long.MAX_VALUE;
        for (long until : restUntil) {
            least = Math.min(least, until);
        }
        return least;
    }

    int current() {
        return current;
    }

    int size() {
        return restUntil.length;
    }

    /** It has answered to the purpose. */
    void recordSuccess(int endpoint) {
        lastRest[endpoint] = 0;
        proved[endpoint] = true;
        failed[endpoint] = 0;
    }

    boolean proved(int endpoint) {
        return proved[endpoint];
    }

    void failed(int endpoint, long now, CallOutcome how) {
        proved[endpoint] = false;
        failed[endpoint] = ++failures;
        long base = how == CallOutcome.REFUSED ? SOON_BASE_MS : how == CallOutcome.DENIED ? DENIED_BASE_MS : BASE_MS;
        long cap = how == CallOutcome.REFUSED ? SOON_CAP_MS : how == CallOutcome.DENIED ? DENIED_CAP_MS : CAP_MS;
        lastRest[endpoint] = pace.nextBackoffMs(base, lastRest[endpoint], cap);
        restUntil[endpoint] = now + lastRest[endpoint];
    }

    /** It was of use and has ended without a fault: asked again after a moment. */
    void recordNormalEnd(int endpoint, long now) {
        restUntil[endpoint] = now + pace.nextBackoffMs(1, 2, SOON_BASE_MS);
    }

    /** Its answers lie behind what is known; others are asked meanwhile. */
    void recordStaleAnswer(int endpoint, long now, long cap) {
        failed[endpoint] = ++failures;
        restUntil[endpoint] = now + pace.nextBackoffMs(Math.min(BASE_MS, cap), BASE_MS, Math.max(1, cap));
    }

    /** Whether a better one than the present may be tried; if so, it is the present one from now on. */
    boolean switchToPreferred(long now) {
        for (int i = 0; i < current; i++) {
            if (restUntil[i] <= now) {
                current = i;
                failed[i] = 0;
                return true;
            }
        }
        return false;
    }

    /** All may be asked at once: for when the reason of their refusals may be gone. */
    void clearBackoffs(long now) {
        for (int i = 0; i < restUntil.length; i++) {
            restUntil[i] = Math.min(restUntil[i], now);
            lastRest[i] = 0;
        }
    }
}

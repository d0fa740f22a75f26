package maplespread.release.client;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests to operators to drain workers or return them to service, where no registry can do so. Any thread may read
 * the requests; everything else is for the release thread only.
 */
final class ManualDrains {
    private static final String DRAIN = "drain";
    private static final String SERVE = "serve";

    private final Map<String, String> requests = new TreeMap<>();
    private Map<Long, Long> cancelledSinceMs = new HashMap<>();
    private Map<Long, Long> previouslyCancelledSinceMs = new HashMap<>();

    /** Removes the requests of the previous round. */
    void beginRound() {
        synchronized (requests) {
            requests.clear();
        }
        previouslyCancelledSinceMs = cancelledSinceMs;
        cancelledSinceMs = new HashMap<>();
    }

    /** Records that the drain of this outage is cancelled in this round. */
    void recordCancelled(long outageNumber) {
        long nowMs = MonotonicClock.nowMs();
        cancelledSinceMs.put(outageNumber, previouslyCancelledSinceMs.getOrDefault(outageNumber, nowMs));
    }

    void requestDrain(String worker) {
        request(worker, DRAIN);
    }

    void requestService(String worker) {
        request(worker, SERVE);
    }

    private void request(String worker, String action) {
        synchronized (requests) {
            requests.put(worker, action);
        }
    }

    /** Whether no instance can still request the drain of this cancelled outage from an operator. */
    boolean isDrainRequestExpired(long outageNumber) {
        return MonotonicClock.nowMs() - cancelledSinceMs.get(outageNumber) >= AgreedState.CONTACTS_EXPIRED_MS;
    }

    /** A copy of the requests: "drain" or "serve", by worker. */
    Map<String, String> requests() {
        synchronized (requests) {
            return new TreeMap<>(requests);
        }
    }
}

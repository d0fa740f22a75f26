package maplespread.release.client;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Workers that an operator is asked to drain, or to have serve again, where no registry can be told to. The requests
 * are read by any thread; all else is for the release thread alone.
 */
final class ManualDrains {
    private static final String DRAIN = "drain";
    private static final String SERVE = "serve";

    private final Map<String, String> requests = new TreeMap<>();
    private Map<Long, Long> cancelledSinceMs = new HashMap<>();
    private Map<Long, Long> cancelledBeforeMs = new HashMap<>();

    /** Forgets the requests of the round before. */
    void beginRound() {
        synchronized (requests) {
            requests.clear();
        }
        cancelledBeforeMs = cancelledSinceMs;
        cancelledSinceMs = new HashMap<>();
    }

    /** The drain of this outage is cancelled in this round too. */
    void recordCancelled(long outageNumber) {
        long nowMs = MonotonicClock.nowMs();
        cancelledSinceMs.put(outageNumber, cancelledBeforeMs.getOrDefault(outageNumber, nowMs));
    }

    void requestDrain(String worker) {
        request(worker, DRAIN);
    }

    void requestService(String worker) {
        request(worker, SERVE);
    }

    private void request(String worker, String what) {
        synchronized (requests) {
            requests.put(worker, what);
        }
    }

    /** Whether no instance asks an operator for the drain of this cancelled outage any more. */
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

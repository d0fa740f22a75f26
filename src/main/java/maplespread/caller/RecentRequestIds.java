package maplespread.caller;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The ids of the requests in flight and of recently completed requests. A second request with the same id may come from
 * another client: it must not reach a worker, and its sender must not receive the result of the first. Clients generate
 * a new id for every request, including retries. While another process of this dispatcher runs, ids are also claimed in
 * a set that the processes share. Thread-safe.
 */
public final class RecentRequestIds {
    /** The result of a registration. */
    enum Registration {
        REGISTERED,
        /** The id was used before. */
        USED,
        /** Whether the id was used before cannot be known at present. */
        UNAVAILABLE
    }

    /** Number of ids above which completed ids are removed before the end of their retention. */
    private static final int MAX_IDS = 20_000;

    private static final long NANOS_PER_MS = 1_000_000;
    private static final Long IN_FLIGHT = Long.MAX_VALUE;

    /** The completion time of each request by its id, on System.nanoTime, or IN_FLIGHT. */
    private final Map<String, Long> completedNanos = new HashMap<>();

    private final LongSupplier retentionMs;
    /** The set shared with other processes; null while this process shares none. */
    private SharedRequestIds shared;
    /** Whether another process may use ids that this process cannot know of. */
    private boolean otherIdsUnknown;

    /**
     * Creates an empty set of ids.
     *
     * @param retentionMs how long the id of a completed request is kept, in milliseconds
     */
    public RecentRequestIds(LongSupplier retentionMs) {
        this.retentionMs = retentionMs;
    }

    /**
     * Registers the id of a request.
     *
     * @param mayRunTwice whether it does no harm if another process runs a request with the same id
     */
    synchronized Registration register(String id, boolean mayRunTwice) {
        if (otherIdsUnknown && !mayRunTwice) {
            return Registration.UNAVAILABLE;
        }
        if (completedNanos.putIfAbsent(id, IN_FLIGHT) != null) {
            return Registration.USED;
        }
        if (shared == null) {
            return Registration.REGISTERED;
        }
        SharedRequestIds.Claim claim = shared.claim(id);
        if (claim == SharedRequestIds.Claim.CLAIMED) {
            return Registration.REGISTERED;
        }
        completedNanos.remove(id);
        return claim == SharedRequestIds.Claim.USED ? Registration.USED : Registration.UNAVAILABLE;
    }

    /** Records that the request has completed; without effect if its id is no longer registered. */
    synchronized void complete(String id) {
        completedNanos.replace(id, System.nanoTime());
    }

    /** Removes the id of a request that was not accepted, so that the client may use the id again. */
    synchronized void unregister(String id) {
        completedNanos.remove(id);
        if (shared != null) {
            shared.release(id);
        }
    }

    /** Removes the ids of requests that completed longer ago than the retention. */
    synchronized void removeExpired() {
        long nowNanos = System.nanoTime();
        long retentionNanos = completedNanos.size() > MAX_IDS ? 0 : retentionMs.getAsLong() * NANOS_PER_MS;
        completedNanos.values().removeIf(at -> !at.equals(IN_FLIGHT) && nowNanos - at > retentionNanos);
    }

    /**
     * Claims all ids, those of requests that have completed too, in the set that the processes share, and from now on
     * each id at its registration.
     *
     * @return false if the set has no room for them; nothing is shared then
     */
    public synchronized boolean shareWith(SharedRequestIds ids) {
        for (String requestId : completedNanos.keySet()) {
            if (ids.claim(requestId) == SharedRequestIds.Claim.UNAVAILABLE) {
                return false;
            }
        }
        shared = ids;
        return true;
    }

    /** Stops claiming ids in the shared set: no other process has run for as long as an id is kept. */
    public synchronized void stopSharing() {
        shared = null;
    }

    /** Sets whether another process may use ids that this process cannot know of. */
    public synchronized void setOtherIdsUnknown(boolean unknown) {
        otherIdsUnknown = unknown;
    }
}

package maplespread.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All requests that have not ended or have attempts in flight, and the two lists in which a request may wait: for a
 * worker that may take it, or for the answers of a probe round.
 */
final class PendingRequests {
    private final Map<Long, PendingRequest> byId = new HashMap<>();
    private final List<PendingRequest> parked = new ArrayList<>();
    private final List<PendingRequest> probing = new ArrayList<>();

    /** The request with this id; null: it is unknown, or forgotten. */
    PendingRequest find(long id) {
        return byId.get(id);
    }

    /** The attempt with this number of this request while it is in flight, else null. */
    InFlightAttempt findAttempt(long id, int number) {
        PendingRequest request = byId.get(id);
        return request == null ? null : request.inFlight(number);
    }

    /**
     * Checks that no request with this id is known, before one is added.
     *
     * @throws IllegalStateException if the id is in use
     */
    void requireUnknown(long id) {
        if (byId.containsKey(id)) {
            throw new IllegalStateException("request " + id + " was accepted before");
        }
    }

    void add(PendingRequest request) {
        byId.put(request.id(), request);
    }

    /** Parks a request until a worker may take it. */
    void park(PendingRequest request) {
        parked.add(request);
    }

    /** Removes and returns all parked requests, in the order in which they were parked. */
    List<PendingRequest> takeParked() {
        List<PendingRequest> all = List.copyOf(parked);
        parked.clear();
        return all;
    }

    boolean hasParked() {
        return !parked.isEmpty();
    }

    /** Lets a request wait for the answers of a probe round. */
    void startProbing(PendingRequest request) {
        probing.add(request);
    }

    /** Ends a request's probe round; returns false if it was in none. */
    boolean stopProbing(PendingRequest request) {
        return probing.remove(request);
    }

    /** The requests that wait for the answers of a probe round. */
    List<PendingRequest> probing() {
        return probing;
    }

    /** The request has ended: nothing more is done for it. */
    void end(PendingRequest request) {
        request.ended = true;
        parked.remove(request);
        probing.remove(request);
        forgetIfOver(request);
    }

    /** Forgets the request if it has ended and none of its attempts is in flight. */
    void forgetIfOver(PendingRequest request) {
        if (request.ended && request.attemptsInFlight == 0) {
            byId.remove(request.id());
        }
    }
}

package maplespread.partition;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Queues the requests of the keys that this member owns. At most one request of a key is in flight; the others wait in
 * the order in which they were accepted. The fencing check is asked before each send. Not thread-safe: the caller holds
 * one lock around all calls. Times are milliseconds of one clock, which is passed in.
 *
 * <p>A key whose last request has an unknown outcome is held for as long as that request may still run. Requests that
 * can no longer meet their deadline are rejected at once. One key may use no more of a partition's limits than it
 * leaves free, so that a hot key leaves capacity to others.
 */
public final class PerKeyQueue {
    /** Why a request is answered without being sent. Unless it is {@code STOPPED}, the request may be retried. */
    public enum Rejection {
        /** The request cannot meet its deadline behind the requests ahead of it. */
        LATE,
        /** The request has waited longer than its limits allow. */
        AGED,
        /** A limit of its key or its partition is reached. */
        FULL,
        /** The request ahead of it failed, and the rule skips the requests that waited behind it. */
        SKIPPED,
        /** Its key is stopped until an operator starts it. */
        STOPPED,
        /** This member no longer owns the slot of its key. */
        MOVED
    }

    /** The outcome of a request that was sent, over all its attempts. */
    public enum ExecutionResult {
        /** Served, and none of its attempts runs any more. */
        DONE,
        /** Answered as failed. */
        FAILED,
        /** None of its attempts has run. */
        NEVER_RAN,
        /** The outcome is unknown, and an attempt may still run. */
        UNKNOWN,
        /** Served, but an earlier attempt may still run. */
        DONE_ATTEMPT_MAY_RUN
    }

    /**
     * An accepted request.
     *
     * @param id unique among the requests that wait or are in flight
     * @param workMs the estimated run time in milliseconds; 0: unknown
     * @param deadlineMs the time by which the request has to be finished
     * @param acceptedAtMs the time at which the request was accepted
     */
    public record QueuedRequest(long id, String key, Rule rule, double workMs, long deadlineMs, long acceptedAtMs) {}

    /** The decisions and actions that the queue delegates. None of these may call back into the queue, or block. */
    public interface Callbacks {
        /**
         * The time in milliseconds from which the request may be sent; {@link FencingCheck#NEVER}: this member may no
         * longer send it.
         */
        long sendAllowedFrom(QueuedRequest request);

        /** Sends the request; {@link PerKeyQueue#complete} must follow. */
        void send(QueuedRequest request);

        /** Answers the request without sending it. */
        void reject(QueuedRequest request, Rejection rejection);
    }

    private static final long NOT_DUE = Long.MAX_VALUE;

    /** The state of a key that has requests, is held, or is stopped. */
    private static final class KeyState {
        /** The waiting requests by id, in the order in which they were accepted. */
        final Map<Long, QueuedRequest> waiting = new LinkedHashMap<>();
        /** The request in flight; null: none. */
        QueuedRequest inFlight;

        long sentAtMs;
        /** The time until which an attempt with an unknown outcome may run. */
        long heldUntilMs = Long.MIN_VALUE;
        /** Whether the key was stopped here and is not among the stored stopped keys yet. */
        boolean stopUnstored;

        long dueAtMs = NOT_DUE;

        boolean isIdle(long nowMs) {
            return waiting.isEmpty() && inFlight == null && heldUntilMs <= nowMs && !stopUnstored;
        }
    }

    private record Wakeup(long atMs, String key) {}

    /** The requests that wait for one partition, and their estimated work. */
    private static final class PartitionLoad {
        int requests;
        double workMs;
    }

    private final LeaseSettings settings;
    private final Callbacks callbacks;
    /** Queue limits by the partition's name. */
    private final Map<String, QueueLimits> limitsByPartition = new HashMap<>();

    private final Map<String, PartitionLoad> loadsByPartition = new HashMap<>();
    private final Map<String, KeyState> keyStates = new HashMap<>();
    /** The key of each request that waits or is in flight, by the request's id. */
    private final Map<Long, String> keyOfRequest = new HashMap<>();

    private final PriorityQueue<Wakeup> wakeups =
            new PriorityQueue<>((left, right) -> Long.compare(left.atMs, right.atMs));
    private Set<String> stoppedKeys = Set.of();

    /**
     * Creates an empty queue.
     *
     * @param settings supplies the clock drift that a key's hold time allows for
     */
    public PerKeyQueue(LeaseSettings settings, Callbacks callbacks) {
        this.settings = settings;
        this.callbacks = callbacks;
    }

    /** Sets the limits of these partitions. */
    public void updatePartitions(Collection<Partition> partitions) {
        partitions.forEach(partition -> limitsByPartition.put(partition.name(), partition.limits()));
    }

    /** Replaces the stored stopped keys. A key that is no longer among them accepts requests again. */
    public void updateStoppedKeys(Set<String> stored) {
        stoppedKeys = stored;
        for (String key : stored) {
            KeyState state = keyStates.get(key);
            if (state != null) {
                state.stopUnstored = false;
            }
        }
    }

    /**
     * Keys that were stopped here and are not stored yet ({@link SlotAssignment#stopKey}). They are to be stored before
     * the failure that stopped them is answered. The caller owns the returned set.
     */
    public Set<String> unstoredStops() {
        Set<String> unstored = new TreeSet<>();
        keyStates.forEach((key, state) -> {
            if (state.stopUnstored) {
                unstored.add(key);
            }
        });
        return unstored;
    }

    /**
     * Records that the stop could not be stored: the failure is answered with an unknown outcome, and the key
     * continues.
     */
    public void stopNotStored(long nowMs, String key) {
        KeyState state = keyStates.get(key);
        if (state != null) {
            state.stopUnstored = false;
            evaluate(nowMs, key, state);
        }
    }

    /** The number of requests that wait to be sent. */
    public int waitingCount() {
        return loadsByPartition.values().stream()
                .mapToInt(load -> load.requests)
                .sum();
    }

    /** The estimated work in milliseconds that waits for a partition. */
    public double waitingWorkMs(String partition) {
        PartitionLoad load = loadsByPartition.get(partition);
        return load == null ? 0 : load.workMs;
    }

    // ------------------------------------------------------------ requests are accepted, completed and cancelled

    /** Accepts a request, which fixes its place in the order of its key, or rejects it. May send it at once. */
    public void enqueue(long nowMs, QueuedRequest request) {
        KeyState state = keyStates.computeIfAbsent(request.key, key -> new KeyState());
        if (stoppedKeys.contains(request.key) || state.stopUnstored) {
            callbacks.reject(request, Rejection.STOPPED);
        } else if (exceedsLimits(state, request)) {
            callbacks.reject(request, Rejection.FULL);
        } else {
            state.waiting.put(request.id, request);
            keyOfRequest.put(request.id, request.key);
            addToLoad(request, 1);
        }
        evaluate(nowMs, request.key, state);
    }

    private boolean exceedsLimits(KeyState state, QueuedRequest request) {
        PartitionLoad load =
                loadsByPartition.computeIfAbsent(request.rule.partition(), partition -> new PartitionLoad());
        QueueLimits perKey = request.rule.perKeyLimits();
        QueueLimits perPartition = limitsByPartition.get(request.rule.partition());
        int requests = state.waiting.size() + 1;
        double workMs = request.workMs
                + state.waiting.values().stream()
                        .mapToDouble(QueuedRequest::workMs)
                        .sum();
        return requests > perKey.maxRequests()
                || workMs > perKey.maxWorkMs()
                || requests > perPartition.maxRequests() - load.requests
                || workMs > perPartition.maxWorkMs() - load.workMs;
    }

    private void addToLoad(QueuedRequest request, int sign) {
        PartitionLoad load = loadsByPartition.get(request.rule.partition());
        load.requests += sign;
        load.workMs = load.requests == 0 ? 0 : load.workMs + sign * request.workMs;
    }

    /** Records the end of the request in flight. For any other request nothing changes. */
    public void complete(long nowMs, long id, ExecutionResult result) {
        String key = keyOfRequest.get(id);
        KeyState state = key == null ? null : keyStates.get(key);
        if (state == null || state.inFlight == null || state.inFlight.id != id) {
            return;
        }
        Rule rule = state.inFlight.rule;
        keyOfRequest.remove(id);
        state.inFlight = null;
        if (result == ExecutionResult.UNKNOWN || result == ExecutionResult.DONE_ATTEMPT_MAY_RUN) {
            state.heldUntilMs = nowMs + settings.withDriftMs(rule.maxRunMs());
        }
        // A request with an unknown outcome may have failed.
        if (result == ExecutionResult.FAILED || result == ExecutionResult.UNKNOWN) {
            applyFailure(state, rule.onFailure());
        }
        evaluate(nowMs, key, state);
    }

    private void applyFailure(KeyState state, Rule.OnFailure onFailure) {
        switch (onFailure) {
            case GO_ON -> {} // the next request is sent
            case SKIP -> rejectAll(state, Rejection.SKIPPED);
            case STOP -> {
                state.stopUnstored = true;
                rejectAll(state, Rejection.STOPPED);
            }
        }
    }

    private void rejectAll(KeyState state, Rejection rejection) {
        for (QueuedRequest request : List.copyOf(state.waiting.values())) {
            reject(state, request, rejection);
        }
    }

    private void reject(KeyState state, QueuedRequest request, Rejection rejection) {
        removeWaiting(state, request);
        keyOfRequest.remove(request.id);
        callbacks.reject(request, rejection);
    }

    private void removeWaiting(KeyState state, QueuedRequest request) {
        state.waiting.remove(request.id);
        addToLoad(request, -1);
    }

    /** Removes a waiting request whose client no longer waits for it. A request in flight still holds its key. */
    public void cancel(long nowMs, long id) {
        String key = keyOfRequest.get(id);
        KeyState state = key == null ? null : keyStates.get(key);
        if (state != null && state.waiting.containsKey(id)) {
            removeWaiting(state, state.waiting.get(id));
            keyOfRequest.remove(id);
            evaluate(nowMs, key, state);
        }
    }

    // ------------------------------------------------------------ evaluation of keys

    /**
     * Evaluates the keys that are due.
     *
     * @return the time in milliseconds at which to call this again at the latest
     */
    public long runDue(long nowMs) {
        while (!wakeups.isEmpty() && wakeups.peek().atMs <= nowMs) {
            Wakeup wakeup = wakeups.remove();
            KeyState state = keyStates.get(wakeup.key);
            if (state != null && state.dueAtMs == wakeup.atMs) {
                state.dueAtMs = NOT_DUE;
                evaluate(nowMs, wakeup.key, state);
            }
        }
        return wakeups.isEmpty() ? NOT_DUE : wakeups.peek().atMs;
    }

    /** Evaluates every key, after a change of the lease, the assignment or the routing tables. */
    public void reevaluateAll(long nowMs) {
        for (String key : List.copyOf(keyStates.keySet())) {
            evaluate(nowMs, key, keyStates.get(key));
        }
    }

    /** The slots that have a request in flight, a request that may still run, or a stop that is not stored yet. */
    public Set<Integer> busySlots(long nowMs, ToIntFunction<String> slotOf) {
        Set<Integer> busy = new HashSet<>();
        keyStates.forEach((key, state) -> {
            if (state.inFlight != null || state.heldUntilMs > nowMs || state.stopUnstored) {
                busy.add(slotOf.applyAsInt(key));
            }
        });
        return busy;
    }

    /**
     * Rejects the requests of a key that cannot be sent in time, sends the first one if it may be sent, and schedules
     * the next evaluation.
     */
    private void evaluate(long nowMs, String key, KeyState state) {
        long freeAtMs = Math.max(nowMs, state.heldUntilMs);
        if (state.inFlight != null) {
            freeAtMs = Math.max(freeAtMs, state.sentAtMs + (long) state.inFlight.workMs);
        }
        long dueAtMs = state.heldUntilMs > nowMs ? state.heldUntilMs : NOT_DUE;
        for (QueuedRequest request : new ArrayList<>(state.waiting.values())) {
            long allowedFromMs = callbacks.sendAllowedFrom(request);
            long startMs = Math.max(freeAtMs, allowedFromMs);
            long agedAtMs = request.acceptedAtMs + maxAgeMs(request);
            if (allowedFromMs == FencingCheck.NEVER) {
                reject(state, request, Rejection.MOVED);
            } else if (startMs + request.workMs > request.deadlineMs) {
                reject(state, request, Rejection.LATE);
            } else if (nowMs >= agedAtMs) {
                reject(state, request, Rejection.AGED);
            } else if (state.inFlight == null && startMs <= nowMs) {
                send(nowMs, state, request);
                freeAtMs = nowMs + (long) request.workMs;
            } else {
                // If the request ahead runs longer than estimated, this one becomes late before its estimated start.
                long lateAtMs = (long) (request.deadlineMs - request.workMs) + 1;
                dueAtMs = Math.min(dueAtMs, Math.min(agedAtMs, lateAtMs));
                dueAtMs = state.inFlight == null ? Math.min(dueAtMs, startMs) : dueAtMs;
                freeAtMs = startMs + (long) request.workMs;
            }
        }
        if (state.isIdle(nowMs)) {
            keyStates.remove(key);
        } else if (dueAtMs < NOT_DUE && dueAtMs != state.dueAtMs) {
            state.dueAtMs = dueAtMs;
            wakeups.add(new Wakeup(dueAtMs, key));
        }
    }

    private long maxAgeMs(QueuedRequest request) {
        return Math.min(
                request.rule.perKeyLimits().maxAgeMs(),
                limitsByPartition.get(request.rule.partition()).maxAgeMs());
    }

    private void send(long nowMs, KeyState state, QueuedRequest request) {
        removeWaiting(state, request);
        state.inFlight = request;
        state.sentAtMs = nowMs;
        callbacks.send(request);
    }
}

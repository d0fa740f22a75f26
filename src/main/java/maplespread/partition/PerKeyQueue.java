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
 * The requests of the keys that this member owns: of each key one in flight at most, the others waiting in the order
 * in which they were accepted. Whether the fencing check lets a request go is asked at each send. Not thread-safe:
 * the caller holds one lock around all calls. Times are milliseconds of one clock, which is passed in.
 *
 * <p>A key whose last request has an unknown outcome is held for as long as that request may still run. Requests
 * that can no longer meet their deadline are rejected at once. One key may fill no more of a partition's limits than
 * is left free, so that a hot key leaves capacity to others.
 */
public final class PerKeyQueue {
    /** Why a request is answered without having been sent. All but {@code STOPPED} may be tried again. */
    public enum Rejection {
        /** It cannot meet its deadline behind the requests before it. */
        LATE,
        /** It has waited for longer than its limits allow. */
        AGED,
        /** The limits of its key or its partition are reached. */
        FULL,
        /** The request before it failed, and the rule says to skip what waited. */
        SKIPPED,
        /** Its key is stopped until an operator starts it. */
        STOPPED,
        /** Its key's slot is not this member's any more. */
        MOVED
    }

    /** How a request that was sent has ended, all its attempts together. */
    public enum ExecutionResult {
        /** Served, and no attempt of it runs any more. */
        DONE,
        /** Answered as failed. */
        FAILED,
        /** No attempt of it has run. */
        NEVER_RAN,
        /** Nobody knows; an attempt of it may still run. */
        UNKNOWN,
        /** Served, but an earlier attempt of it may still run. */
        DONE_ATTEMPT_MAY_RUN
    }

    /**
     * A request as it is accepted.
     *
     * @param id unique among those that wait or are in flight
     * @param workMs how long it is estimated to run, 0 where nobody knows
     */
    public record QueuedRequest(long id, String key, Rule rule, double workMs, long deadlineMs, long acceptedAtMs) {}

    /** What the queue asks and decides. None of these may call back into the queue, or block. */
    public interface Callbacks {
        /** From when on the request may be sent; {@link FencingCheck#NEVER}: no longer by this member. */
        long sendAllowedFrom(QueuedRequest request);

        /** It is the request's turn; {@link PerKeyQueue#complete} must follow. */
        void send(QueuedRequest request);

        /** The request is answered without having been sent. */
        void reject(QueuedRequest request, Rejection why);
    }

    private static final long NOT_DUE = Long.MAX_VALUE;

    /** One key that has requests, or is held or stopped. */
    private static final class KeyState {
        /** By id, in the order of acceptance. */
        final Map<Long, QueuedRequest> waiting = new LinkedHashMap<>();
        /** Null: none is in flight. */
        QueuedRequest inFlight;

        long sentAtMs;
        /** An attempt with an unknown outcome may run until then. */
        long heldUntilMs = Long.MIN_VALUE;
        /** The key has stopped here, and is not seen among the stored ones yet. */
        boolean stopUnstored;

        long dueAtMs = NOT_DUE;

        boolean isIdle(long nowMs) {
            return waiting.isEmpty() && inFlight == null && heldUntilMs <= nowMs && !stopUnstored;
        }
    }

    private record Wakeup(long atMs, String key) {}

    /** What waits for one partition. */
    private static final class PartitionLoad {
        int requests;
        double workMs;
    }

    private final LeaseSettings settings;
    private final Callbacks callbacks;
    /** By the partition's name. */
    private final Map<String, QueueLimits> limits = new HashMap<>();

    private final Map<String, PartitionLoad> loads = new HashMap<>();
    private final Map<String, KeyState> keys = new HashMap<>();
    /** The key of each request that waits or is in flight, by its id. */
    private final Map<Long, String> keyOfRequest = new HashMap<>();

    private final PriorityQueue<Wakeup> wakeups =
            new PriorityQueue<>((left, right) -> Long.compare(left.atMs, right.atMs));
    private Set<String> stoppedKeys = Set.of();

    /** {@code settings}: by whose drift the time is reckoned that a key is held. */
    public PerKeyQueue(LeaseSettings settings, Callbacks callbacks) {
        this.settings = settings;
        this.callbacks = callbacks;
    }

    /** These partitions there are now, with their limits. */
    public void updatePartitions(Collection<Partition> partitions) {
        partitions.forEach(partition -> limits.put(partition.name(), partition.limits()));
    }

    /** The stored keys that are stopped; one that is no longer among them takes requests again. */
    public void updateStoppedKeys(Set<String> stored) {
        stoppedKeys = stored;
        for (String key : stored) {
            KeyState state = keys.get(key);
            if (state != null) {
                state.stopUnstored = false;
            }
        }
    }

    /**
     * Keys that have stopped here and are not stored yet ({@link SlotAssignment#stopKey}): to be stored before the
     * failure that stopped them is answered. The set is the caller's.
     */
    public Set<String> unstoredStops() {
        Set<String> unstored = new TreeSet<>();
        keys.forEach((key, state) -> {
            if (state.stopUnstored) {
                unstored.add(key);
            }
        });
        return unstored;
    }

    /** The stop could not be stored: the failure is answered as in doubt, and the key goes on. */
    public void stopNotStored(long nowMs, String key) {
        KeyState state = keys.get(key);
        if (state != null) {
            state.stopUnstored = false;
            evaluate(nowMs, key, state);
        }
    }

    /** How many requests wait for their turn. */
    public int waitingCount() {
        return loads.values().stream().mapToInt(load -> load.requests).sum();
    }

    /** Milliseconds of estimated work that wait for a partition. */
    public double waitingWorkMs(String partition) {
        PartitionLoad load = loads.get(partition);
        return load == null ? 0 : load.workMs;
    }

    // ------------------------------------------------------------ a request comes, ends, or is given up

    /** Accepts a request, whereby its place in its key's line is fixed, or rejects it; may send it at once. */
    public void enqueue(long nowMs, QueuedRequest request) {
        KeyState state = keys.computeIfAbsent(request.key, key -> new KeyState());
        if (stoppedKeys.contains(request.key) || state.stopUnstored) {
            callbacks.reject(request, Rejection.STOPPED);
        } else if (exceedsLimits(state, request)) {
            callbacks.reject(request, Rejection.FULL);
        } else {
            state.waiting.put(request.id, request);
            keyOfRequest.put(request.id, request.key);
            count(request, 1);
        }
        evaluate(nowMs, request.key, state);
    }

    private boolean exceedsLimits(KeyState state, QueuedRequest request) {
        PartitionLoad load = loads.computeIfAbsent(request.rule.partition(), partition -> new PartitionLoad());
        QueueLimits perKey = request.rule.perKeyLimits();
        QueueLimits perPartition = limits.get(request.rule.partition());
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

    private void count(QueuedRequest request, int sign) {
        PartitionLoad load = loads.get(request.rule.partition());
        load.requests += sign;
        load.workMs = load.requests == 0 ? 0 : load.workMs + sign * request.workMs;
    }

    /** The request that was in flight has ended; of any other one nothing changes. */
    public void complete(long nowMs, long id, ExecutionResult result) {
        String key = keyOfRequest.get(id);
        KeyState state = key == null ? null : keys.get(key);
        if (state == null || state.inFlight == null || state.inFlight.id != id) {
            return;
        }
        Rule rule = state.inFlight.rule;
        keyOfRequest.remove(id);
        state.inFlight = null;
        if (result == ExecutionResult.UNKNOWN || result == ExecutionResult.DONE_ATTEMPT_MAY_RUN) {
            state.heldUntilMs = nowMs + settings.withDriftMs(rule.maxRunMs());
        }
        // A request of which nobody knows may have failed.
        if (result == ExecutionResult.FAILED || result == ExecutionResult.UNKNOWN) {
            applyFailure(state, rule.onFailure());
        }
        evaluate(nowMs, key, state);
    }

    private void applyFailure(KeyState state, Rule.OnFailure onFailure) {
        switch (onFailure) {
            case GO_ON -> {} // the next one is sent
            case SKIP -> rejectAll(state, Rejection.SKIPPED);
            case STOP -> {
                state.stopUnstored = true;
                rejectAll(state, Rejection.STOPPED);
            }
        }
    }

    private void rejectAll(KeyState state, Rejection why) {
        for (QueuedRequest request : List.copyOf(state.waiting.values())) {
            reject(state, request, why);
        }
    }

    private void reject(KeyState state, QueuedRequest request, Rejection why) {
        removeWaiting(state, request);
        keyOfRequest.remove(request.id);
        callbacks.reject(request, why);
    }

    private void removeWaiting(KeyState state, QueuedRequest request) {
        state.waiting.remove(request.id);
        count(request, -1);
    }

    /** Nobody waits for the request any more. One that is in flight still holds its key. */
    public void cancel(long nowMs, long id) {
        String key = keyOfRequest.get(id);
        KeyState state = key == null ? null : keys.get(key);
        if (state != null && state.waiting.containsKey(id)) {
            removeWaiting(state, state.waiting.get(id));
            keyOfRequest.remove(id);
            evaluate(nowMs, key, state);
        }
    }

    // ------------------------------------------------------------ what is due

    /** Does what is due; returns when to be called again, at the latest. */
    public long runDue(long nowMs) {
        while (!wakeups.isEmpty() && wakeups.peek().atMs <= nowMs) {
            Wakeup wakeup = wakeups.remove();
            KeyState state = keys.get(wakeup.key);
            if (state != null && state.dueAtMs == wakeup.atMs) {
                state.dueAtMs = NOT_DUE;
                evaluate(nowMs, wakeup.key, state);
            }
        }
        return wakeups.isEmpty() ? NOT_DUE : wakeups.peek().atMs;
    }

    /** The lease, the assignment or the tables have changed: every key is looked at. */
    public void reevaluateAll(long nowMs) {
        for (String key : List.copyOf(keys.keySet())) {
            evaluate(nowMs, key, keys.get(key));
        }
    }

    /** Slots of which a request is in flight or may still run, or a stop is to be stored. */
    public Set<Integer> busySlots(long nowMs, ToIntFunction<String> slotOf) {
        Set<Integer> busy = new HashSet<>();
        keys.forEach((key, state) -> {
            if (state.inFlight != null || state.heldUntilMs > nowMs || state.stopUnstored) {
                busy.add(slotOf.applyAsInt(key));
            }
        });
        return busy;
    }

    /** Rejects what cannot be sent in time, sends the first if it may go, and notes when to look again. */
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
                // Behind a request that runs for longer than estimated, it is late before its estimated start.
                long lateAtMs = (long) (request.deadlineMs - request.workMs) + 1;
                dueAtMs = Math.min(dueAtMs, Math.min(agedAtMs, lateAtMs));
                dueAtMs = state.inFlight == null ? Math.min(dueAtMs, startMs) : dueAtMs;
                freeAtMs = startMs + (long) request.workMs;
            }
        }
        if (state.isIdle(nowMs)) {
            keys.remove(key);
        } else if (dueAtMs < NOT_DUE && dueAtMs != state.dueAtMs) {
            state.dueAtMs = dueAtMs;
            wakeups.add(new Wakeup(dueAtMs, key));
        }
    }

    private long maxAgeMs(QueuedRequest request) {
        return Math.min(
                request.rule.perKeyLimits().maxAgeMs(),
                limits.get(request.rule.partition()).maxAgeMs());
    }

    private void send(long nowMs, KeyState state, QueuedRequest request) {
        removeWaiting(state, request);
        state.inFlight = request;
        state.sentAtMs = nowMs;
        callbacks.send(request);
    }
}

package maplespread.partition.client;

import java.util.concurrent.locks.Condition;
import maplespread.caller.RequestSequencer;
import maplespread.facade.Outcome;
import maplespread.partition.FencingCheck;
import maplespread.partition.PerKeyQueue.ExecutionResult;
import maplespread.partition.PerKeyQueue.Rejection;
import maplespread.partition.RoutingTableTransition.RoutingDecision;
import maplespread.partition.Rule;

/**
 * A request in the queue of a key that this member owns, and the permit to send the request once it is first in the
 * queue. The request's own thread waits for {@link #decided}. Fields that are not final are guarded by the {@link
 * OrderingLock}, except the volatile ones, which are written by the threads that complete attempts.
 */
final class OrderedRequest implements RequestSequencer.Permit {
    final long id;
    final PendingRequest request;
    final Rule rule;
    final String key;
    /** Signalled when the request may be sent, is rejected, or its client has left. */
    final Condition decided;

    boolean sent;
    /** Null unless the request was rejected from its queue. */
    Rejection rejection;

    private final OrderingState state;
    private final OrderResponses responses;
    /** The epoch at which this member became the slot's owner, as of when the request was accepted. */
    private final long slotOwnedSinceEpoch;

    /** The tables' version for which {@link #keyUnchanged} and {@link #tableAllowsFromMs} were determined. */
    private long tablesVersion;
    /** Whether the tables still give the request the key by which it was queued. */
    private boolean keyUnchanged = true;
    /** From when on the tables allow the request to be sent. */
    private long tableAllowsFromMs;

    private volatile boolean mayHaveRun;
    private volatile boolean attemptMayStillRun;
    private volatile boolean attemptFailed;

    /** Must be called under the lock. */
    OrderedRequest(
            OrderingState state,
            OrderResponses responses,
            PendingRequest request,
            RoutingDecision decision,
            long slotOwnedSinceEpoch) {
        this.state = state;
        this.responses = responses;
        this.request = request;
        this.slotOwnedSinceEpoch = slotOwnedSinceEpoch;
        id = state.lines().nextId();
        decided = state.lines().newCondition();
        rule = decision.rule();
        key = decision.key();
        tableAllowsFromMs = decision.sendAllowedFrom();
        tablesVersion = state.tablesVersion();
    }

    /**
     * From when on the request may be sent; {@link FencingCheck#NEVER} if this member may no longer send it. Must be
     * called under the lock.
     */
    long sendAllowedFrom(long nowMs) {
        if (tablesVersion != state.tablesVersion()) {
            RoutingDecision decision = state.decide(nowMs, request.attributes).orElseThrow();
            keyUnchanged = key.equals(decision.key());
            tableAllowsFromMs = decision.sendAllowedFrom();
            tablesVersion = state.tablesVersion();
        }
        return keyUnchanged
                ? Math.max(tableAllowsFromMs, state.slotAllowsFrom(nowMs, key, slotOwnedSinceEpoch))
                : FencingCheck.NEVER;
    }

    @Override
    public boolean isValid() {
        return state.lock().locked(() -> {
            long nowMs = MonotonicTime.nowMs();
            return sendAllowedFrom(nowMs) <= nowMs;
        });
    }

    @Override
    public void attemptCompleted(Outcome outcome) {
        boolean neverRan =
                outcome == Outcome.REJECTED || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.NEVER_SENT;
        boolean known = neverRan || outcome == Outcome.SERVED || outcome == Outcome.ERROR;
        if (!neverRan) {
            mayHaveRun = true;
        }
        if (outcome == Outcome.ERROR) {
            attemptFailed = true;
        }
        if (!known) {
            attemptMayStillRun = true;
        }
    }

    @Override
    public RequestSequencer.Completion release(boolean served) {
        ExecutionResult result = result(served);
        boolean stopToStore = state.lines().complete(this, result);
        if (stopToStore && !state.lines().storeStop(key, Math.max(1, request.remainingMs()))) {
            return RequestSequencer.Completion.IN_DOUBT;
        }
        if (!mayHaveRun) {
            return RequestSequencer.Completion.NEVER_RAN;
        }
        return result == ExecutionResult.UNKNOWN
                ? RequestSequencer.Completion.IN_DOUBT
                : RequestSequencer.Completion.ENDED;
    }

    private ExecutionResult result(boolean served) {
        if (served) {
            return attemptMayStillRun ? ExecutionResult.DONE_ATTEMPT_MAY_RUN : ExecutionResult.DONE;
        }
        if (attemptMayStillRun) {
            return ExecutionResult.UNKNOWN;
        }
        return attemptFailed ? ExecutionResult.FAILED : ExecutionResult.NEVER_RAN;
    }

    @Override
    public RequestSequencer.FinalResponse permitLostResponse() {
        return responses.rejected(OrderReason.MOVED, OrderResponses.MOVED_RETRY_MS, !request.isForwarded());
    }
}

package maplespread.partition.client;

import maplespread.caller.RequestSequencer.SequencedRequest;
import maplespread.partition.RequestAttributes;

/**
 * A request from its arrival until it has a permit or a response. Its own thread waits for it; the fields that
 * are not final are guarded by the {@link OrderingLock}, except where they are volatile.
 */
final class PendingRequest {
    /** Where a request goes whose slot another member owns: the address, and what was agreed when it was chosen. */
    record ForwardTarget(String address, String owner, int slot, long epoch) {}

    final SequencedRequest sequenced;
    final RequestAttributes attributes;
    /** Estimated work in milliseconds, 0 where there is no estimate. */
    final double workMs;
    /** On {@link MonotonicTime}. */
    final long deadlineMs;

    volatile boolean clientLeft;
    /** The owner that the request is being forwarded to; null: it is not. Cleared by the request's own thread. */
    volatile ForwardTarget target;
    /** The request's place in the line of its key; null: it is in none. */
    OrderedRequest queued;
    /** How often an owner did not accept it. Only the request's own thread looks here. */
    int rejectedForwards;

    PendingRequest(SequencedRequest sequenced) {
        this.sequenced = sequenced;
        String target = sequenced.message().target();
        int query = target.indexOf('?');
        attributes = new RequestAttributes(
                sequenced.message().requestClass(),
                sequenced.tenant(),
                sequenced.entity(),
                query < 0 ? target : target.substring(0, query),
                sequenced.labels());
        double estimate = sequenced.request().workMs();
        workMs = estimate > 0 ? estimate : 0;
        deadlineMs = MonotonicTime.nowMs() + sequenced.remainingMs();
    }

    /** Whether another member has forwarded it here. */
    boolean isForwarded() {
        return sequenced.forwardedBy() != null;
    }

    /** Whether the member that forwarded it knows a later epoch than this one. */
    boolean forwarderIsAhead(long knownEpoch) {
        String[] words = sequenced.forwardedBy().split(" ", -1);
        return words.length > 1 && words[1].matches("[0-9]{1,18}") && Long.parseLong(words[1]) > knownEpoch;
    }

    long remainingMs() {
        return deadlineMs - MonotonicTime.nowMs();
    }

    /** Whether the time that remains is too short for its work. */
    boolean isLate() {
        return remainingMs() <= workMs;
    }
}

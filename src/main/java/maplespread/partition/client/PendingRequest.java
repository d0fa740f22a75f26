package maplespread.partition.client;

import maplespread.caller.RequestSequencer.SequencedRequest;
import maplespread.partition.RequestAttributes;

/**
 * A request from its arrival until it has a permit or a response, for which the request's own thread waits. Fields that
 * are neither final nor volatile are guarded by the {@link OrderingLock} unless their comment says otherwise.
 */
final class PendingRequest {
    /**
     * Where a request whose slot another member owns is forwarded to.
     *
     * @param address the owner's {@code HOST:PORT}
     * @param owner the member that owned the slot when the target was chosen
     * @param epoch the assignment's epoch when the target was chosen
     */
    record ForwardTarget(String address, String owner, int slot, long epoch) {}

    final SequencedRequest sequenced;
    final RequestAttributes attributes;
    /** Estimated work in milliseconds; 0 if there is no estimate. */
    final double workMs;
    /** Deadline on the {@link MonotonicTime} clock. */
    final long deadlineMs;

    volatile boolean clientLeft;
    /**
     * Where the request is to be or is being forwarded to; null if it is not forwarded. Written by the request's own
     * thread.
     */
    volatile ForwardTarget target;
    /** The request's entry in the queue of its key; null if it is not queued. */
    OrderedRequest queued;
    /** How often an owner did not accept the request. Used by the request's own thread only. */
    int rejectedForwards;

    PendingRequest(SequencedRequest sequenced) {
        this.sequenced = sequenced;
        String target = sequenced.message().target();
        int queryStart = target.indexOf('?');
        attributes = new RequestAttributes(
                sequenced.message().requestClass(),
                sequenced.tenant(),
                sequenced.entity(),
                queryStart < 0 ? target : target.substring(0, queryStart),
                sequenced.labels());
        double estimate = sequenced.request().workMs();
        workMs = estimate > 0 ? estimate : 0;
        deadlineMs = MonotonicTime.nowMs() + sequenced.remainingMs();
    }

    /** Whether another member forwarded the request to this one. */
    boolean isForwarded() {
        return sequenced.forwardedBy() != null;
    }

    /** Whether the member that forwarded the request knows a later epoch than {@code knownEpoch}. */
    boolean forwarderIsAhead(long knownEpoch) {
        String[] nameAndEpoch = sequenced.forwardedBy().split(" ", -1);
        return nameAndEpoch.length > 1
                && nameAndEpoch[1].matches("[0-9]{1,18}")
                && Long.parseLong(nameAndEpoch[1]) > knownEpoch;
    }

    long remainingMs() {
        return deadlineMs - MonotonicTime.nowMs();
    }

    /** Whether the remaining time is too short for the estimated work. */
    boolean isLate() {
        return remainingMs() <= workMs;
    }
}

package maplespread.partition.client;

import maplespread.caller.RequestSequencer;
import maplespread.partition.PerKeyQueue.Rejection;

/** Why a request got no permit, sent to its client in the header {@link RequestSequencer#ORDER_REASON_HEADER}. */
enum OrderReason {
    /** The request cannot meet its deadline behind the requests before it. */
    LATE("late"),
    /** The request waited for longer than its limits allow. */
    AGED("aged"),
    /** A limit of the key or of the partition is reached. */
    FULL("full"),
    /** The request before it failed, and the rule skips the requests queued behind a failed one. */
    SKIPPED("skipped"),
    /** The key is stopped until an operator starts it. */
    STOPPED("stopped"),
    /** The owner of the key's slot is another member, or could not be reached in time. */
    MOVED("moved"),
    /** This member has no decided table or no lease, the slot has no owner, or the owner's address is not known. */
    NO_LEASE("no-lease"),
    /** The partition has no serving worker. */
    NO_WORKER("no-worker"),
    /** The request may have run, and its outcome is not known. */
    IN_DOUBT("in-doubt");

    final String headerValue;

    OrderReason(String headerValue) {
        this.headerValue = headerValue;
    }

    static OrderReason of(Rejection rejection) {
        return switch (rejection) {
            case LATE -> LATE;
            case AGED -> AGED;
            case FULL -> FULL;
            case SKIPPED -> SKIPPED;
            case STOPPED -> STOPPED;
            case MOVED -> MOVED;
        };
    }
}

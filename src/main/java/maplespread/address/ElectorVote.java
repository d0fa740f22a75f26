package maplespread.address;

/**
 * An elector's vote. One incarnation of one candidate holds it at a time, until the lease expires on the elector's clock or
 * the holder releases it. A release may reserve the vote for a successor.
 */
final class ElectorVote {
    private String holder = "";
    private long holderIncarnation;
    private long term;
    private long leaseEndsAt;
    private String reservedFor = "";
    private long reservedUntil;

    /** Whether the vote can be granted: the request renews it, or the vote is free and the request's term is newer. */
    boolean isAvailableTo(ElectionMessage request, long now) {
        if (isHeldBySenderOf(request) && now < leaseEndsAt) {
            return true;
        }
        boolean reserved = now < reservedUntil && !reservedFor.equals(request.sender());
        return now >= leaseEndsAt && !reserved && request.term() > term;
    }

    private boolean isHeldBySenderOf(ElectionMessage message) {
        return holder.equals(message.sender()) && holderIncarnation == message.incarnation() && term == message.term();
    }

    /** Grants the vote for one lease. */
    void grant(ElectionMessage request, long now, long leaseMs) {
        holder = request.sender();
        holderIncarnation = request.incarnation();
        term = request.term();
        leaseEndsAt = now + leaseMs;
        reservedUntil = now;
    }

    /** Frees the vote if the sender of the release holds it, and reserves it for the successor that the release names. */
    void release(ElectionMessage release, long now, long reservationMs) {
        if (isHeldBySenderOf(release)) {
            leaseEndsAt = Math.min(leaseEndsAt, now);
            reservedFor = release.holder();
            reservedUntil = release.holder().isEmpty() ? now : now + reservationMs;
        }
    }

    /** The holder of the vote; empty if the vote is free. */
    String holder(long now) {
        return now < leaseEndsAt ? holder : "";
    }

    /** Remaining time of the holder's lease, in milliseconds. */
    long remainingMs(long now) {
        return Math.max(0, leaseEndsAt - now);
    }
}

package maplespread.address;

/**
 * An elector's vote. It belongs to one incarnation of one candidate at a time, for a lease by the elector's own clock, or
 * until it is released; a release may reserve it for a successor.
 */
final class ElectorVote {
    private String holder = "";
    private long holderIncarnation;
    private long term;
    private long heldUntil;
    private String reservedFor = "";
    private long reservedUntil;

    /** Whether the request may have the vote: it renews the vote, or the vote is free and the term is newer. */
    boolean isAvailableTo(ElectionMessage request, long now) {
        if (isOf(request) && now < heldUntil) {
            return true;
        }
        boolean reserved = now < reservedUntil && !reservedFor.equals(request.sender());
        return now >= heldUntil && !reserved && request.term() > term;
    }

    private boolean isOf(ElectionMessage message) {
        return holder.equals(message.sender()) && holderIncarnation == message.incarnation() && term == message.term();
    }

    /** Gives the vote for a lease. */
    void give(ElectionMessage request, long now, long leaseMs) {
        holder = request.sender();
        holderIncarnation = request.incarnation();
        term = request.term();
        heldUntil = now + leaseMs;
        reservedUntil = now;
    }

    /** Takes the vote back from the sender of a release, and reserves it for the successor that it names. */
    void release(ElectionMessage release, long now, long reservationMs) {
        if (isOf(release)) {
            heldUntil = Math.min(heldUntil, now);
            reservedFor = release.holder();
            reservedUntil = release.holder().isEmpty() ? now : now + reservationMs;
        }
    }

    /** Who has the vote; empty: nobody. */
    String holder(long now) {
        return now < heldUntil ? holder : "";
    }

    /** For how long the holder has the vote, in milliseconds. */
    long remainingMs(long now) {
        return Math.max(0, heldUntil - now);
    }
}

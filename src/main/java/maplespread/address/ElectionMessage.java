package maplespread.address;

/**
 * What candidates and electors say. {@code from} and {@code boot}: one run of one instance; {@code term}:
 * of the lease that is asked for, granted or given up, or the highest known where it is refused; {@code
 * seq}: of the request; {@code holder}: REFUSE: who has this elector's vote, GIVE_UP: who is to have it
 * next; {@code leftMs}: REFUSE: for how long.
 */
public record ElectionMessage(
        Kind kind, String sender, long incarnation, long term, long sequence, String holder, long voteRemainingMs) {
    /** TAKE_OVER asks the owner to give up for a candidate that is preferred. */
    public enum Kind {
        REQUEST,
        GRANT,
        REFUSE,
        RELEASE,
        HANDOVER_REQUEST
    }
}

package maplespread.address;

/**
 * What candidates and electors send each other.
 *
 * @param kind what it asks or answers
 * @param sender the name of the instance that sends it
 * @param incarnation of the sender, in Unix milliseconds
 * @param term of the lease that is requested, granted or released; in a refusal: the highest term known
 * @param sequence of the request that it belongs to
 * @param holder in a refusal: who has the elector's vote; in a release: who is to have it next; else, or where there is
 *     nobody, empty
 * @param voteRemainingMs in a refusal: for how long the holder has the vote, in milliseconds; else 0
 */
public record ElectionMessage(
        Kind kind, String sender, long incarnation, long term, long sequence, String holder, long voteRemainingMs) {
    /** The kinds of messages. */
    public enum Kind {
        /** A candidate asks for a vote, or an owner for its renewal. */
        REQUEST,
        /** An elector gives its vote. */
        GRANT,
        /** An elector does not give its vote. */
        REFUSE,
        /** A candidate or owner gives back the votes it had. */
        RELEASE,
        /** A preferred candidate asks the owner to hand the address over. */
        HANDOVER_REQUEST
    }
}

package maplespread.address;

/**
 * A message between candidates and electors.
 *
 * @param kind the kind of the message
 * @param sender the name of the instance that sends it
 * @param incarnation of the sender, in Unix milliseconds
 * @param term of the lease that is requested, granted or released; in a rejection: the highest term known
 * @param sequence of the request that it belongs to
 * @param holder in a rejection: the holder of the elector's vote; in a release: the successor; empty if there is none
 *     and in other messages
 * @param voteRemainingMs in a rejection: the remaining time of the holder's lease, in milliseconds; else 0
 */
public record ElectionMessage(
        Kind kind, String sender, long incarnation, long term, long sequence, String holder, long voteRemainingMs) {
    /** The kinds of messages. */
    public enum Kind {
        /** A candidate asks for a vote, or an owner for its renewal. */
        REQUEST,
        /** An elector grants its vote. */
        GRANT,
        /** An elector rejects a vote request. */
        REFUSE,
        /** A candidate or owner releases its votes. */
        RELEASE,
        /** A preferred candidate asks the owner to hand the address over. */
        HANDOVER_REQUEST
    }
}

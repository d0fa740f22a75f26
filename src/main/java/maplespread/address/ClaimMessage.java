package maplespread.address;

import java.util.List;

/**
 * A message between claimants and electors about request ids.
 *
 * @param kind the kind of the message
 * @param sender the name of the instance that sends it
 * @param incarnation of the sender
 * @param id the request id; in a sync response: the number of the part, from 0
 * @param attempt of the claimant, counted by its incarnation; in a sync response: the number of the response
 * @param term in a claim: of the lease that it is made under; in an answer: the incarnation that it is for; in a sync
 *     response: how many parts there are
 * @param outcome the outcome of the request, in a record or where a claim is held; null if unknown
 * @param entries in a sync response: claims that the sender holds
 * @param last whether this is the last part of a sync response
 */
public record ClaimMessage(
        Kind kind,
        String sender,
        long incarnation,
        String id,
        long attempt,
        long term,
        String outcome,
        List<Entry> entries,
        boolean last) {
    /** The kinds of messages. */
    public enum Kind {
        /** A claimant asks for an id. */
        CLAIM,
        /** The elector holds the id for this claim. */
        GRANTED,
        /** The elector holds the id for another claim. */
        HELD,
        /** The elector does not know yet who holds the id, or may not hold it for this claim. */
        RECOVERING,
        /** A claimant reports the outcome of its request. */
        RECORD,
        /** A claimant releases an id that it did not use. */
        ABANDON,
        /** A recovering elector requests the claims of another elector. */
        SYNC_REQUEST,
        /** Some of the claims that an elector holds. */
        SYNC_RESPONSE
    }

    /**
     * A claim as an elector holds it.
     *
     * @param id the request id
     * @param claimant the name of the instance that claims it
     * @param incarnation of the claimant
     * @param attempt of the claimant
     * @param outcome the outcome of the request; null if unknown
     * @param ageMs since the claim was made or its outcome recorded, in milliseconds
     */
    public record Entry(String id, String claimant, long incarnation, long attempt, String outcome, long ageMs) {}

    /** Creates a message other than a sync response. */
    static ClaimMessage of(
            Kind kind, String sender, long incarnation, String id, long attempt, long term, String outcome) {
        return new ClaimMessage(kind, sender, incarnation, id, attempt, term, outcome, List.of(), true);
    }
}

package maplespread.address;

import java.util.List;

/**
 * What claimants and electors send each other about order ids.
 *
 * @param kind what it asks or answers
 * @param sender the name of the instance that sends it
 * @param incarnation of the sender
 * @param id the order id; in a sync response: the number of the part, from 0
 * @param attempt of the claimant, counted by its incarnation; in a sync response: the number of the response
 * @param term in a claim: of the lease that it is made under; in an answer: the incarnation that it is for; in a sync
 *     response: how many parts there are
 * @param outcome what came of the order, in a record or where a claim is held; null: it is not known
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
        /** A claimant reports what came of its order. */
        RECORD,
        /** A claimant gives an id back that it did not use. */
        ABANDON,
        /** An elector that recovers asks another for its claims. */
        SYNC_REQUEST,
        /** Some of the claims that an elector holds. */
        SYNC_RESPONSE
    }

    /**
     * A claim as an elector holds it.
     *
     * @param id the order id
     * @param claimant the name of the instance that claims it
     * @param incarnation of the claimant
     * @param attempt of the claimant
     * @param outcome what came of the order; null: it is not known
     * @param ageMs since the claim was made or its outcome recorded, in milliseconds
     */
    public record Entry(String id, String claimant, long incarnation, long attempt, String outcome, long ageMs) {}

    /** A message that is no sync response. */
    static ClaimMessage of(
            Kind kind, String sender, long incarnation, String id, long attempt, long term, String outcome) {
        return new ClaimMessage(kind, sender, incarnation, id, attempt, term, outcome, List.of(), true);
    }
}

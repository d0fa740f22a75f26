package maplespread.address;

import java.util.List;

/**
 * What claimants and electors say of order ids. {@code from} and {@code boot}: one run of one instance;
 * {@code attempt}: of the claimant, counted in its run; {@code term}: CLAIM: of the lease it acts under,
 * answers: the boot they are for; {@code outcome}: RECORD and HELD: what came of it, null where that is not
 * known; {@code entries}: SYNC: claims held. In a SYNC the id is the part's number and the term how many
 * parts there are.
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
    /** YES: the claim is held here; HELD: another's is; BLIND: this elector does not know yet. */
    public enum Kind {
        CLAIM,
        GRANTED,
        HELD,
        RECOVERING,
        RECORD,
        ABANDON,
        SYNC_REQUEST,
        SYNC_RESPONSE
    }

    /** A claim as an elector holds it; {@code ageMs} since it was made or its outcome recorded. */
    public record Entry(String id, String claimant, long incarnation, long attempt, String outcome, long ageMs) {}

    static ClaimMessage of(Kind kind, String from, long boot, String id, long attempt, long term, String outcome) {
        return new ClaimMessage(kind, from, boot, id, attempt, term, outcome, List.of(), true);
    }
}

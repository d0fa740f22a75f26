package maplespread.consensus;

import java.util.Comparator;

/**
 * A round's place in the order of all rounds. The proposer and its incarnation make it unique.
 *
 * @param epoch compared first, so that a bootstrap overrules everything before it
 * @param round counted within the epoch
 * @param proposer the name of the member that proposes
 * @param incarnation of that member, in Unix milliseconds
 */
public record Ballot(long epoch, long round, String proposer, long incarnation) implements Comparable<Ballot> {
    /** Below every ballot of a round. */
    static final Ballot NONE = new Ballot(0, 0, "", 0);

    private static final Comparator<Ballot> ORDER = Comparator.comparingLong(Ballot::epoch)
            .thenComparingLong(Ballot::round)
            .thenComparing(Ballot::proposer)
            .thenComparingLong(Ballot::incarnation);

    @Override
    public int compareTo(Ballot other) {
        return ORDER.compare(this, other);
    }

    /** The higher of the two. */
    static Ballot max(Ballot first, Ballot second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}

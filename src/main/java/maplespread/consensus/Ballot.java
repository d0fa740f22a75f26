package maplespread.consensus;

import java.util.Comparator;

/**
 * The ballot number of a round, totally ordered. The proposer and its incarnation make it unique.
 *
 * @param epoch compared first, so that a bootstrap takes precedence over all earlier ballots
 * @param round number of the round within the epoch
 * @param proposer name of the proposing member
 * @param incarnation incarnation of that member, in Unix milliseconds
 */
public record Ballot(long epoch, long round, String proposer, long incarnation) implements Comparable<Ballot> {
    /** Lower than the ballot of any round. */
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

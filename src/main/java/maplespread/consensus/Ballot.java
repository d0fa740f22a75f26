package maplespread.consensus;

/**
 * A try's place in the order of all tries. {@code epoch}: first, so that a life founded anew overrules all
 * before it; {@code name} and {@code boot} make it one run's alone.
 */
public record Ballot(long epoch, long round, String proposer, long incarnation) implements Comparable<Ballot> {
    static final Ballot NONE = new Ballot(0, 0, "", 0);

    @Override
    public int compareTo(Ballot o) {
        int by = Long.compare(epoch, o.epoch);
        by = by != 0 ? by : Long.compare(round, o.round);
        by = by != 0 ? by : proposer.compareTo(o.proposer);
        return by != 0 ? by : Long.compare(incarnation, o.incarnation);
    }

    static Ballot max(Ballot a, Ballot b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}

package maplespread.release;

import java.util.List;

/**
 * One instance's part. Every instance has one and all do the same, staggered; nobody leads. What depends on
 * time is here, by this instance's own monotonic clock, and a new driver begins every wait anew.
 */
public final class Driver {
    /**
     * {@code staggerMs}: by how much later each next instance acts; {@code missMs}: how long one has to be seen
     * out, or serving, before that is told; {@code beatMs}: how often somebody shows that there is a majority;
     * {@code splitMs}: without one for so long halts.
     */
    public record Settings(long staggerMs, long missMs, long beatMs, long splitMs) {
        public static final Settings DEFAULT = new Settings(250, 1_000, 2_000, 10_000);
    }

    /**
     * {@code propose}: to the register, in this order, a refusal is no fault; {@code orders}: to be carried out;
     * {@code again}: when to look again at the latest (a new state or view: at once); {@code waits}: for what,
     * in words, empty where nothing is on.
     */
    public record Next(List<Command> propose, List<Order> orders, long again, String waits) { }

    /** {@code self}: this dispatcher's member name; {@code now}: of a monotonic clock, in ms. */
    public Driver(Settings set, String self, long now) {
    }

    /** Looks at the newest state known. {@code majority}: whether the last read or write reached one. */
    public Next look(long now, State state, View view, boolean majority) {
        throw new UnsupportedOperationException();
    }

    /** {@link Order.Recall} of this leave was carried out: a later drain by it is refused there. */
    public void recalled(long leave) {
    }
}

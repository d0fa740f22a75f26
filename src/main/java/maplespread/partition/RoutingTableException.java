package maplespread.partition;

import maplespread.errors.FleetException;

/** A table that cannot be used. Names the rule or the partition; nothing of it counts. */
public final class RoutingTableException extends FleetException {
    private static final long serialVersionUID = 1;

    /** What is wrong with it, for those who sort errors by more than their words. */
    public enum Kind {
        MALFORMED,
        UNKNOWN_NAME,
        NEVER_MATCHES,
        NO_DEFAULT,
        EMPTY,
        OVERLAP,
        SPILL,
        TOO_LARGE
    }

    private final Kind kind;
    private final String where;

    RoutingTableException(Kind kind, String where, String wrong, String remedy) {
        super(
                (where.isEmpty() ? "table" : where) + ": " + wrong,
                "the table that counted before; none of the new one is taken up",
                remedy);
        this.kind = kind;
        this.where = where;
    }

    public Kind kind() {
        return kind;
    }

    /** The rule or partition, as {@code rule NAME}; empty: the table as a whole. */
    public String where() {
        return where;
    }
}

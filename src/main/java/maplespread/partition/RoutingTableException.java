package maplespread.partition;

import maplespread.errors.FleetException;

/** A routing table that cannot be used. Names the rule or the partition; nothing of the table is taken up. */
public final class RoutingTableException extends FleetException {
    private static final long serialVersionUID = 1;

    /** What is wrong with it, for those who sort errors by more than their words. */
    public enum Kind {
        /** Not JSON, a value out of its range, or a name that stands twice. */
        MALFORMED,
        /** A name that neither the table nor the site has. */
        UNKNOWN_NAME,
        /** A rule that no request can come to. */
        NEVER_MATCHES,
        /** The last rule has conditions. */
        NO_DEFAULT,
        /** A partition without a listed worker. */
        EMPTY,
        /** An exclusive partition that may share workers with another one. */
        OVERLAP,
        /** An ordered rule that spills, or spills that lead back. */
        SPILL,
        /** Too many rules or values. */
        TOO_LARGE
    }

    private final Kind kind;
    private final String where;

    RoutingTableException(Kind kind, String where, String problem, String remedy) {
        super(
                (where.isEmpty() ? "table" : where) + ": " + problem,
                "the table that counted before; none of the new one is taken up",
                remedy);
        this.kind = kind;
        this.where = where;
    }

    /** What is wrong with it. */
    public Kind kind() {
        return kind;
    }

    /** The rule or partition, as {@code rule NAME}; empty: the table as a whole. */
    public String where() {
        return where;
    }
}

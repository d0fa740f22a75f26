package maplespread.partition;

import maplespread.errors.FleetException;

/** An invalid routing table. Names the rule or the partition; no part of the table is applied. */
public final class RoutingTableException extends FleetException {
    private static final long serialVersionUID = 1;

    /** The kind of error, for code that has to distinguish errors by more than their messages. */
    public enum Kind {
        /** Not JSON, a value out of its range, or a duplicate name. */
        MALFORMED,
        /** A name that neither the table nor the site defines. */
        UNKNOWN_NAME,
        /** A rule that no request can reach. */
        NEVER_MATCHES,
        /** The last rule has conditions. */
        NO_DEFAULT,
        /** A partition without a listed worker. */
        EMPTY,
        /** An exclusive partition that may share workers with another one. */
        OVERLAP,
        /** An ordered rule that spills, or spills that form a cycle. */
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

    /** The kind of error. */
    public Kind kind() {
        return kind;
    }

    /** The rule or partition, as {@code rule NAME}; empty: the table as a whole. */
    public String where() {
        return where;
    }
}

package maplespread.partition.client;

import maplespread.errors.FleetException;

/** A call of an operator about ordered partitions that could not be followed. Nothing was changed by it. */
public final class PartitionCallException extends FleetException {
    private static final long serialVersionUID = 1;

    /** Why, for a program; {@link #problem()} says it in words. */
    public enum Reason {
        /** This instance is not in the group yet, or no table is agreed on. */
        NOT_AGREED(503, "jobs without an order", "look at who the electors are, and call again"),
        /** The last change of the table still settles, or another one came first. */
        SETTLING(409, "the table that counts", "call again after a hold time"),
        /** The call lacks what it is about. */
        BAD_CALL(400, "everything; nothing was asked of the fleet", "add to the call what is named");

        final int status;
        final String works;
        final String remedy;

        Reason(int status, String works, String remedy) {
            this.status = status;
            this.works = works;
            this.remedy = remedy;
        }
    }

    /** Of the HTTP response. */
    final int status;

    PartitionCallException(Reason reason, String problem) {
        super(problem, reason.works, reason.remedy);
        status = reason.status;
    }
}

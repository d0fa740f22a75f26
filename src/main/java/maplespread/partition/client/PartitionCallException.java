package maplespread.partition.client;

import maplespread.errors.FleetException;

/** An admin call about ordered partitions that was rejected without changing anything. */
public final class PartitionCallException extends FleetException {
    private static final long serialVersionUID = 1;

    /** Why the call was rejected, for programs; {@link #problem()} gives the reason as text. */
    public enum Reason {
        /** This dispatcher is not in the group yet, or no table has been decided. */
        NOT_AGREED(503, "jobs without an order", "look at who the electors are, and call again"),
        /** The last change of the table has not settled yet, or another change was decided first. */
        SETTLING(409, "the table that counts", "call again after a hold time"),
        /** The call lacks a required parameter. */
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

    /** Status code of the HTTP response. */
    final int status;

    PartitionCallException(Reason reason, String problem) {
        super(problem, reason.works, reason.remedy);
        status = reason.status;
    }
}

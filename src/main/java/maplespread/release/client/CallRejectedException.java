package maplespread.release.client;

import maplespread.errors.FleetException;

/** Thrown where an operator's call could not be proposed to the fleet. The call has changed nothing. */
public final class CallRejectedException extends FleetException {
    private static final long serialVersionUID = 1;

    /** The reason, for programs; {@link #problem()} describes it. */
    public enum Reason {
        /** This instance is not in the group yet. */
        NOT_JOINED(
                503,
                "service, and what is agreed at other instances",
                "call another instance; here look for group.not_joined in the log"),
        /** The maximum number of calls is waiting for the fleet. */
        TOO_MANY(503, "service, and the calls that do not wait for the fleet", "call again, one at a time"),
        /** The call lacks a required parameter. */
        BAD_CALL(400, "everything; nothing was asked of the fleet", "add to the call what is named");

        private final int status;
        private final String works;
        private final String remedy;

        Reason(int status, String works, String remedy) {
            this.status = status;
            this.works = works;
            this.remedy = remedy;
        }
    }

    private final Reason reason;

    CallRejectedException(Reason reason, String problem) {
        super(problem, reason.works, reason.remedy);
        this.reason = reason;
    }

    /** The HTTP status of the answer to the call. */
    int status() {
        return reason.status;
    }
}

package maplespread.release;

import maplespread.errors.FleetException;

/** Thrown where the newest state does not allow a command. Nothing has changed; the reason tells whether to retry. */
public final class ReleaseRejectedException extends FleetException {
    private static final long serialVersionUID = 1;

    /** The reason, for programs; {@link #problem()} describes it. */
    public enum Reason {
        /** The plan or the limits cannot be used as they stand. */
        BAD_PLAN("everything; nothing has begun", "correct what is named and send the plan again"),
        /** Another release is in progress. */
        RELEASE_ON("the release that is on", "wait for its end, or roll it back or abandon it first"),
        /** A previous release had this id. */
        NAME_USED("everything; nothing has begun", "give the release a name of its own"),
        /** There is no release that the command applies to. */
        NO_RELEASE("everything", "begin a release first, or leave it"),
        /** Halted: no outage is granted. */
        HALTED("service; members that are out may come back", "look at why, then go on, roll back or abandon"),
        /** Outages, planned and unplanned, would together exceed a limit. */
        LIMIT(
                "service; members that are out may come back",
                "wait, bring back who is out, or say of whoever never comes back that it is gone"),
        /** Too little capacity of workers would remain. */
        CAPACITY(
                "service; members that are out may come back",
                "wait until workers are warm, add workers, or begin with a lower least capacity"),
        /** The fleet has changed since the proposer's observation, which restarts the quiet period. */
        NOT_QUIET("service, and the release", "nothing: it is asked again after the quiet time"),
        /** It is not this member's turn, or it needs no change. */
        NOT_DUE("service, and the release", "nothing: the release comes to it, or is past it"),
        /** The member is unknown or does not have the status that the command expects. */
        MEMBER("service, and the release", "look at the member, and at its name"),
        /** The command refers to an outdated version, outage or phase. */
        STALE("service; what was decided meanwhile counts", "look at the release again, then call again"),
        /** A drain without a granted outage, while a release or limits are in force. */
        NO_LEAVE("service; the member goes on", "ask for leave by the call without force, or force it with a word");

        private final String works;
        private final String remedy;

        Reason(String works, String remedy) {
            this.works = works;
            this.remedy = remedy;
        }
    }

    private final Reason reason;

    ReleaseRejectedException(Reason reason, String problem) {
        super(problem, reason.works, reason.remedy);
        this.reason = reason;
    }

    /** The reason of the rejection. */
    public Reason reason() {
        return reason;
    }
}

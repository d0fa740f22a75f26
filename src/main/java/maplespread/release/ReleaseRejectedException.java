package maplespread.release;

import maplespread.errors.FleetException;

/** A command that the newest state does not allow. Nothing has changed. */
public final class ReleaseRejectedException extends FleetException {
    private static final long serialVersionUID = 1;

    /** Why, for a program; {@link #problem()} says it in words. */
    public enum Reason {
        /** The plan or the limits cannot be used as they stand. */
        BAD_PLAN("everything; nothing has begun", "correct what is named and send the plan again"),
        /** Another release is on. */
        RELEASE_ON("the release that is on", "wait for its end, or roll it back or abandon it first"),
        /** A release of this name has been before. */
        NAME_USED("everything; nothing has begun", "give the release a name of its own"),
        /** There is no release that this could be about. */
        NO_RELEASE("everything", "begin a release first, or leave it"),
        /** Halted: no leave is granted. */
        HALTED("service; members that are out may come back", "look at why, then go on, roll back or abandon"),
        /** Leave and accidents together would exceed a limit. */
        LIMIT(
                "service; members that are out may come back",
                "wait, bring back who is out, or say of whoever never comes back that it is gone"),
        /** Too little working capacity would stay. */
        CAPACITY(
                "service; members that are out may come back",
                "wait until workers are warm, add workers, or begin with a lower least capacity"),
        /** The fleet has changed since the proposer looked: its quiet time begins anew. */
        NOT_QUIET("service, and the release", "nothing: it is asked again after the quiet time"),
        /** It is not this member's turn, or it needs no change. */
        NOT_DUE("service, and the release", "nothing: the release comes to it, or is past it"),
        /** No such member, or not in the state that the command speaks of. */
        MEMBER("service, and the release", "look at the member, and at its name"),
        /** What the command speaks of is no longer the newest. */
        STALE("service; what was decided meanwhile counts", "look at the release again, then call again"),
        /** A drain without leave, while a release or limits are on. */
        NO_LEAVE("service; the member goes on", "ask for leave by the call without force, or force it with a word");

        final String works;
        final String remedy;

        Reason(String works, String remedy) {
            this.works = works;
            this.remedy = remedy;
        }
    }

    private final Reason reason;

    ReleaseRejectedException(Reason reason, String wrong) {
        super(wrong, reason.works, reason.remedy);
        this.reason = reason;
    }

    public Reason reason() {
        return reason;
    }
}

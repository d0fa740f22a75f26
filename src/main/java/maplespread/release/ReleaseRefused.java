package maplespread.release;

import maplespread.faults.FleetError;

/** A command that the newest state does not allow. */
public final class ReleaseRefused extends FleetError {
    /** Why, for a program; {@link #wrong()} says it in words. */
    public enum Reason {
        /** The plan or the limits cannot be used as they stand. */
        BAD_PLAN,
        /** Another release is on, or leave of an older one is still held. */
        RELEASE_ON,
        /** This name has been used by a release before. */
        NAME_USED,
        /** There is no release that this could be about. */
        NO_RELEASE,
        /** Halted: no leave is granted. */
        HALTED,
        /** Leave and accidents together would exceed a limit. */
        LIMIT,
        /** Too little working capacity would stay. */
        CAPACITY,
        /** The fleet has changed since the proposer looked: its quiet time begins anew. */
        NOT_QUIET,
        /** It is not this member's turn, or it needs no change. */
        NOT_DUE,
        /** No such member, or not in the state that the command speaks of. */
        MEMBER,
        /** What the command speaks of (a halt, a leave) is no longer the newest. */
        STALE,
        /** A drain without leave, while a release or limits are on. */
        NO_LEAVE
    }

    private final Reason reason;

    ReleaseRefused(Reason reason, String wrong, String works, String remedy) {
        super(wrong, works, remedy);
        this.reason = reason;
    }

    public Reason reason() {
        return reason;
    }
}

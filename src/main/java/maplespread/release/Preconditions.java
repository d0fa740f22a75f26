package maplespread.release;

import maplespread.release.ReleaseRejectedException.Reason;

/** Checks that several commands share; each throws where the state does not allow the command. */
final class Preconditions {
    private Preconditions() {}

    /** Rejects an operator's call that arrives late: its control version is not the current one. */
    static void requireControlVersion(RolloutState state, long seenVersion) throws ReleaseRejectedException {
        if (state.controlVersion() != seenVersion) {
            throw new ReleaseRejectedException(Reason.STALE, "another act or halt has come since");
        }
    }

    /** Rejects observations that were made before the last change of the members' availability. */
    static void requireStabilityVersion(RolloutState state, long seenVersion) throws ReleaseRejectedException {
        if (state.stabilityVersion() != seenVersion) {
            throw new ReleaseRejectedException(Reason.NOT_QUIET, "the fleet has changed since it was looked at");
        }
    }

    static void requireNotHalted(RolloutState state) throws ReleaseRejectedException {
        if (state.halt() != null) {
            throw new ReleaseRejectedException(
                    Reason.HALTED,
                    "halted by " + state.halt().by() + ": " + state.halt().why());
        }
    }

    static void requireInProgress(RolloutState state) throws ReleaseRejectedException {
        if (!state.inProgress()) {
            throw new ReleaseRejectedException(Reason.NO_RELEASE, "no release is on");
        }
    }

    static void requireKnownMember(RolloutState state, String member) throws ReleaseRejectedException {
        if (!state.members().containsKey(member)) {
            throw new ReleaseRejectedException(Reason.MEMBER, "no member " + member + " is known");
        }
    }
}

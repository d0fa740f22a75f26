package maplespread.release;

import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.PlannedOutage;

/** Decides by the agreed state whether a member may be drained. */
public final class DrainPermission {
    private DrainPermission() {}

    /**
     * Whether the outage {@code number} of this member's incarnation is still granted and its drain may begin. A halt
     * withdraws the permission for an outage of a release, as does a change of the release's direction after the grant.
     */
    public static boolean isPermitted(RolloutState state, String member, long incarnation, long number) {
        PlannedOutage outage = state.plannedOutages().get(member);
        return outage != null
                && outage.number() == number
                && outage.incarnation() == incarnation
                && (outage.release().isEmpty() || isPhaseOfGrant(state, outage));
    }

    /** The outage's {@code why} holds the name of the phase in which it was granted. */
    private static boolean isPhaseOfGrant(RolloutState state, PlannedOutage outage) {
        return state.halt() == null
                && state.inProgress()
                && outage.why().equals(state.release().activePhase().name());
    }

    /**
     * Checks that the member may be drained: its outage is granted, or neither a release, a limit nor a halt is in
     * force.
     *
     * @throws ReleaseRejectedException where the member must not be drained, with the reason
     */
    public static void require(RolloutState state, String member) throws ReleaseRejectedException {
        PlannedOutage outage = state.plannedOutages().get(member);
        if (outage == null) {
            if (isRequired(state)) {
                String cause =
                        state.inProgress() ? "release " + state.release().plan().id() + " is on" : "limits are on";
                throw new ReleaseRejectedException(Reason.NO_LEAVE, member + " has no leave to be out, and " + cause);
            }
        } else if (!isPermitted(state, member, outage.incarnation(), outage.number())) {
            Reason reason = state.halt() != null ? Reason.HALTED : Reason.STALE;
            throw new ReleaseRejectedException(reason, "the leave of " + member + " is called back");
        }
    }

    /** Whether a drain needs a granted outage: a release is in progress, limits are in force, or there is a halt. */
    public static boolean isRequired(RolloutState state) {
        return state.inProgress() || !state.limitsInForce().isEmpty() || state.halt() != null;
    }
}

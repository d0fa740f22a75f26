package maplespread.release;

import java.util.Collection;
import maplespread.release.FleetView.Member;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.UnplannedOutage;

/** Commands by which an instance reports members that failed or recovered, and halts a release automatically. */
public final class FaultCommands {
    private FaultCommands() {}

    /**
     * Halts the release in progress. Changes nothing where it is halted already, or where {@code controlVersion} is
     * outdated because an operator has acted since the proposer evaluated the state.
     */
    public static ReleaseCommand haltAutomatically(String by, String why, long controlVersion) {
        return state -> {
            boolean applies = state.inProgress() && state.halt() == null && state.controlVersion() == controlVersion;
            return applies ? OperatorCommands.halt(by, why).apply(state) : state;
        };
    }

    /**
     * Records unplanned outages and recoveries.
     *
     * @param stabilityVersion {@link RolloutState#stabilityVersion()} of the state that the proposer knew when it
     *     observed the fleet
     * @param unavailable members seen unavailable without a granted outage
     * @param serving members seen serving; their unplanned outages end, and a later incarnation may run another version
     */
    public static ReleaseCommand recordObservations(
            String by, long stabilityVersion, Collection<String> unavailable, Collection<Member> serving) {
        return state -> {
            Preconditions.requireStabilityVersion(state, stabilityVersion);
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            for (String name : unavailable) {
                if (next.members.containsKey(name) && !next.plannedOutages.containsKey(name)) {
                    next.unplannedOutages.putIfAbsent(name, new UnplannedOutage(by, "seen out"));
                }
            }
            for (Member member : serving) {
                recordServing(next, state, member);
            }
            boolean unchanged =
                    next.unplannedOutages.equals(state.unplannedOutages()) && next.members.equals(state.members());
            return unchanged ? state : next.restartQuietPeriod().build();
        };
    }

    private static void recordServing(RolloutStateBuilder next, RolloutState state, Member seen) {
        KnownMember known = next.members.get(seen.id());
        if (known == null || seen.incarnation() < known.incarnation()) {
            return;
        }
        next.unplannedOutages.remove(seen.id());
        if (seen.incarnation() > known.incarnation()
                && state.release() != null
                && !next.plannedOutages.containsKey(seen.id())) {
            boolean updated = MemberUpdates.isUpdated(state, seen, known.updated());
            next.members.put(seen.id(), MemberUpdates.knownMember(state, seen, known, updated));
        }
    }
}

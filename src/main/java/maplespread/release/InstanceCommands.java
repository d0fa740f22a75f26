package maplespread.release;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import maplespread.release.FleetView.Member;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.PlannedOutage;
import maplespread.release.RolloutState.Release;

/**
 * What an instance proposes to carry a release forward. {@code by} is the proposing instance; {@code
 * stabilityVersion} is {@link RolloutState#stabilityVersion()} of the state that it knew when it looked at the fleet:
 * an older one is rejected, as is the proposal of an instance that was paused in between.
 */
public final class InstanceCommands {
    /** A member that has come back this often without the wanted version halts the release. */
    private static final int MAX_ATTEMPTS = 3;

    private InstanceCommands() {}

    /** Grants an outage to a member whose turn it is in the release in progress. */
    public static ReleaseCommand grantOutage(String by, String member, long stabilityVersion, FleetView view) {
        return state -> {
            Preconditions.requireInProgress(state);
            Release release = state.release();
            int step = state.currentStep();
            if (release.activePhase() == Phase.ABANDONING
                    || step == RolloutState.NO_STEP
                    || !release.steps().get(step).contains(member)
                    || !state.pendingMembers().contains(member)) {
                throw new ReleaseRejectedException(Reason.NOT_DUE, member + " is not to move now");
            }
            Member admitted = OutageAdmission.admit(state, member, stabilityVersion, view);
            KnownMember known = state.members().get(member);
            boolean restarted = admitted.incarnation() > known.incarnation();
            if (restarted && MemberUpdates.isUpdated(state, admitted, known.updated()) != known.updated()) {
                throw new ReleaseRejectedException(
                        Reason.NOT_DUE, member + " has changed without leave, as is soon told");
            }
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            next.grantOutage(
                    member,
                    admitted.incarnation(),
                    release.plan().id(),
                    release.activePhase().name());
            next.release = release.withOpenStep(step);
            return next.build();
        };
    }

    /** The member that was granted the outage {@code number} was seen serving and warm in a later incarnation. */
    public static ReleaseCommand confirmReturn(String by, long number, Member seen) {
        return state -> {
            PlannedOutage outage = state.plannedOutages().get(seen.id());
            if (outage == null || outage.number() != number) {
                return state; // another instance was first
            }
            if (seen.incarnation() <= outage.incarnation() || !seen.serving() || !seen.warm()) {
                throw new ReleaseRejectedException(
                        Reason.MEMBER, seen.id() + " is not back: " + seen.status() + ", run " + seen.incarnation());
            }
            boolean ofRelease = state.inProgress() && !outage.release().isEmpty();
            KnownMember known = state.members().get(seen.id());
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            next.stabilityVersion++;
            next.plannedOutages.remove(seen.id());
            next.unplannedOutages.remove(seen.id());
            boolean updated = isUpdatedAfterReturn(state, seen, known, ofRelease);
            next.members.put(seen.id(), MemberUpdates.knownMember(state, seen, known, updated));
            RolloutState returned = next.build();
            if (!ofRelease || !returned.pendingMembers().contains(seen.id())) {
                return returned;
            }
            return countAttempt(by, returned, seen, state.controlVersion());
        };
    }

    /** A member that tells no version is taken to be what the release wanted it to become. */
    private static boolean isUpdatedAfterReturn(RolloutState state, Member seen, KnownMember known, boolean ofRelease) {
        if (ofRelease && !MemberUpdates.isComparedByVersion(state, seen)) {
            return state.release().activePhase() != Phase.ROLLING_BACK;
        }
        return MemberUpdates.isUpdated(state, seen, known.updated());
    }

    /** The member is back, but not as the release wants it. */
    private static RolloutState countAttempt(String by, RolloutState returned, Member seen, long controlVersion)
            throws ReleaseRejectedException {
        TreeMap<String, Integer> attempts = new TreeMap<>(returned.release().attempts());
        int count = attempts.merge(seen.id(), 1, Integer::sum);
        RolloutStateBuilder next = new RolloutStateBuilder(returned);
        next.release = returned.release().withAttempts(attempts);
        RolloutState counted = next.build();
        if (count < MAX_ATTEMPTS) {
            return counted;
        }
        String why = seen.id() + " came back " + count + " times as version " + seen.version();
        return FaultCommands.haltAutomatically(by, why, controlVersion).apply(counted);
    }

    /**
     * The outage {@code number} ends unused, or its member serves on in the same incarnation. Only to be proposed once
     * {@link RolloutAction.CancelDrain} has been carried out: from then on a drain by this outage is refused where it
     * would be carried out.
     */
    public static ReleaseCommand relinquishOutage(String by, long number) {
        return state -> {
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            if (!next.plannedOutages.values().removeIf(outage -> outage.number() == number)) {
                return state;
            }
            next.stabilityVersion++;
            return next.build();
        };
    }

    /** The release has reached its end, as the proposer sees it: nobody is out for it, all members are as wanted. */
    public static ReleaseCommand finish(String by, FleetView view) {
        return state -> {
            if (!state.inProgress()) {
                return state;
            }
            Preconditions.requireNotHalted(state);
            for (PlannedOutage outage : state.plannedOutages().values()) {
                if (!outage.release().isEmpty()) {
                    throw new ReleaseRejectedException(Reason.NOT_DUE, "leave is still held");
                }
            }
            Release release = state.release();
            if (release.activePhase() != Phase.ABANDONING) {
                requireAllAsWanted(state, view);
                requireAllKnown(state, view);
            }
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            next.release = release.withPhase(finalPhase(release.activePhase()));
            return next.log(
                            by,
                            next.release.activePhase().name(),
                            release.plan().id())
                    .build();
        };
    }

    private static Phase finalPhase(Phase activePhase) {
        return switch (activePhase) {
            case ABANDONING -> Phase.ABANDONED;
            case RUNNING -> Phase.DONE;
            default -> Phase.ROLLED_BACK;
        };
    }

    private static void requireAllAsWanted(RolloutState state, FleetView view) throws ReleaseRejectedException {
        boolean wanted = state.release().activePhase() == Phase.RUNNING;
        for (List<String> step : state.release().steps()) {
            for (String name : step) {
                if (!isAsWanted(state, name, view, wanted)) {
                    throw new ReleaseRejectedException(Reason.NOT_DUE, name + " is not yet seen as it should be");
                }
            }
        }
    }

    private static boolean isAsWanted(RolloutState state, String name, FleetView view, boolean wanted) {
        KnownMember known = state.members().get(name);
        return view.member(name)
                .filter(Member::serving)
                .filter(seen -> !state.unplannedOutages().containsKey(name))
                .filter(seen -> seen.incarnation() >= known.incarnation())
                .filter(seen -> MemberUpdates.isUpdated(state, seen, wanted) == wanted)
                .filter(seen -> known.updated() == wanted)
                .isPresent();
    }

    private static void requireAllKnown(RolloutState state, FleetView view) throws ReleaseRejectedException {
        for (Member member : view.members()) {
            if (member.serving() && !state.members().containsKey(member.id())) {
                throw new ReleaseRejectedException(Reason.NOT_DUE, member.id() + " has come, and is not told yet");
            }
        }
    }

    /**
     * Adds members that were not known, and takes up changes of a warm capacity. A later incarnation at the address of
     * a member of another name has replaced that one: it takes over its outage and its turn in the release.
     */
    public static ReleaseCommand updateMembers(String by, long stabilityVersion, Collection<Member> seen) {
        return state -> {
            Preconditions.requireStabilityVersion(state, stabilityVersion);
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            List<String> added = new ArrayList<>();
            for (Member member : seen) {
                boolean isNew = MemberUpdates.put(next, state, member);
                if (isNew && (state.release() == null || MemberUpdates.isComparedByVersion(state, member))) {
                    added.add(member.id());
                }
            }
            if (next.members.keySet().equals(state.members().keySet())) {
                return next.members.equals(state.members()) ? state : next.build();
            }
            added.removeIf(name -> !isPartOfRelease(state, next, name));
            if (!added.isEmpty()) {
                List<List<String>> steps = new ArrayList<>(next.release.steps());
                steps.add(List.copyOf(added));
                next.release = next.release.withSteps(steps);
            }
            return next.restartQuietPeriod().build();
        };
    }

    private static boolean isPartOfRelease(RolloutState state, RolloutStateBuilder next, String added) {
        Release release = state.release();
        return release != null
                && release.activePhase() != Phase.ABANDONED
                && release.activePhase() != Phase.ROLLED_BACK
                && release.plan().includes(added, next.members.get(added));
    }

    /**
     * Shows that somebody has reached a majority, so that an instance that was cut off does not take the others to have
     * been cut off too. Counts once for each {@code seenHeartbeats}.
     */
    public static ReleaseCommand recordHeartbeat(long seenHeartbeats) {
        return state -> {
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            if (state.heartbeats() == seenHeartbeats) {
                next.heartbeats++;
            }
            return next.build();
        };
    }
}

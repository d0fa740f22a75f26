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
 * Commands that an instance proposes to advance a release. {@code by} is the proposing instance. {@code
 * stabilityVersion} is {@link RolloutState#stabilityVersion()} of the state that the instance knew when it observed the
 * fleet; an outdated version is rejected, which also rejects the proposal of an instance that was paused in between.
 */
public final class InstanceCommands {
    /** The release halts when a member has returned this often without the target version. */
    private static final int MAX_ATTEMPTS = 3;

    private InstanceCommands() {}

    /** Grants an outage to a pending member of the current step. */
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

    /** Ends the outage {@code number}, whose member was seen serving and warm in a later incarnation. */
    public static ReleaseCommand confirmReturn(String by, long number, Member seen) {
        return state -> {
            PlannedOutage outage = state.plannedOutages().get(seen.id());
            if (outage == null || outage.number() != number) {
                return state; // Another instance has confirmed this return.
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
            return countFailedAttempt(by, returned, seen, state.controlVersion());
        };
    }

    /** A member that reports no version is assumed to have changed in the direction of the release. */
    private static boolean isUpdatedAfterReturn(RolloutState state, Member seen, KnownMember known, boolean ofRelease) {
        if (ofRelease && !MemberUpdates.isComparedByVersion(state, seen)) {
            return state.release().activePhase() != Phase.ROLLING_BACK;
        }
        return MemberUpdates.isUpdated(state, seen, known.updated());
    }

    /** Counts a return without the target version; halts the release at {@link #MAX_ATTEMPTS}. */
    private static RolloutState countFailedAttempt(String by, RolloutState returned, Member seen, long controlVersion)
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
     * Ends the outage {@code number} whose member was not drained, or serves again in the same incarnation. May be
     * proposed only after {@link RolloutAction.CancelDrain} was carried out: from then on, whoever would carry out a
     * drain by this outage rejects it.
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

    /** Finishes a release that has no outage left and whose members all have their target version. */
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
                requireAllAtTarget(state, view);
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

    private static void requireAllAtTarget(RolloutState state, FleetView view) throws ReleaseRejectedException {
        boolean targetUpdated = state.release().activePhase() == Phase.RUNNING;
        for (List<String> step : state.release().steps()) {
            for (String name : step) {
                if (!isAtTarget(state, name, view, targetUpdated)) {
                    throw new ReleaseRejectedException(Reason.NOT_DUE, name + " is not yet seen as it should be");
                }
            }
        }
    }

    private static boolean isAtTarget(RolloutState state, String name, FleetView view, boolean targetUpdated) {
        KnownMember known = state.members().get(name);
        return view.member(name)
                .filter(Member::serving)
                .filter(seen -> !state.unplannedOutages().containsKey(name))
                .filter(seen -> seen.incarnation() >= known.incarnation())
                .filter(seen -> MemberUpdates.isUpdated(state, seen, targetUpdated) == targetUpdated)
                .filter(seen -> known.updated() == targetUpdated)
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
     * Adds unknown members and updates warm capacities. A later incarnation at the address of a known member with
     * another name replaces that member: it inherits the outage and the position in the release.
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
     * Shows that an instance has reached a majority, so that an instance that was cut off does not assume that all
     * others were cut off too. Increments the counter at most once for each value of {@code seenHeartbeats}.
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

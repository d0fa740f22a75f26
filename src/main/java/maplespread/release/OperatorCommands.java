package maplespread.release;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.Halt;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.Release;
import maplespread.release.RolloutState.UnplannedOutage;

/**
 * Commands of operators. {@code by} names the operator in the state's log. {@code controlVersion} is
 * {@link RolloutState#controlVersion()} as the operator saw it, so that a call that arrives late, or twice, does not
 * undo a later decision.
 */
public final class OperatorCommands {
    private OperatorCommands() {}

    /** Replaces the standing limits; null removes them. */
    public static ReleaseCommand setLimits(String by, Limits limits) {
        return state -> {
            if (Objects.equals(limits, state.limits())) {
                return state;
            }
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            next.limits = limits;
            return next.log(by, "limits", "").restartQuietPeriod().build();
        };
    }

    /**
     * Begins a release. Changes nothing while a release with the same plan is in progress.
     *
     * @param view the members that the release starts from, and its baseline service level
     */
    public static ReleaseCommand begin(String by, ReleasePlan plan, FleetView view) {
        return state -> {
            plan.validate();
            if (state.inProgress() && state.release().plan().equals(plan)) {
                return state;
            }
            requireMayBegin(state, plan.id());
            RolloutStateBuilder next = new RolloutStateBuilder(state);
            for (Member member : view.members()) {
                if (member.serving()) {
                    MemberUpdates.put(next, state, member);
                }
            }
            for (String name : plan.names()) {
                if (!next.members.containsKey(name)) {
                    throw new ReleaseRejectedException(Reason.MEMBER, "no member " + name + " is known");
                }
            }
            markUpdatedMembers(next, plan, view);
            List<List<String>> steps = plan.splitIntoSteps(next.members);
            if (steps.isEmpty()) {
                throw new ReleaseRejectedException(Reason.BAD_PLAN, "the plan names no member that is known");
            }
            next.release =
                    new Release(plan, Phase.RUNNING, steps, RolloutState.NO_STEP, new TreeMap<>(), view.service());
            if (state.release() != null) {
                next.pastReleases.add(state.release().plan().id());
            }
            RolloutState begun = next.log(by, "begin", plan.id()).setHalt(null).build();
            requireFeasibleLimits(begun);
            return begun;
        };
    }

    private static void requireMayBegin(RolloutState state, String planId) throws ReleaseRejectedException {
        if (state.inProgress()) {
            throw new ReleaseRejectedException(
                    Reason.RELEASE_ON, "release " + state.release().plan().id() + " is on");
        }
        if (state.halt() != null) {
            throw new ReleaseRejectedException(
                    Reason.HALTED, "halted: " + state.halt().why());
        }
        boolean isLastRelease =
                state.release() != null && state.release().plan().id().equals(planId);
        if (isLastRelease || state.pastReleases().contains(planId)) {
            throw new ReleaseRejectedException(Reason.NAME_USED, "a release " + planId + " has been before");
        }
    }

    /** Marks exactly those members as updated that have the target version already. */
    private static void markUpdatedMembers(RolloutStateBuilder next, ReleasePlan plan, FleetView view) {
        next.members.replaceAll((id, known) -> known.withUpdated(false));
        for (Member member : view.members()) {
            if (member.serving() && plan.comparesVersions() && member.version().equals(plan.to())) {
                next.members.computeIfPresent(member.id(), (id, known) -> known.withUpdated(true));
            }
        }
    }

    private static void requireFeasibleLimits(RolloutState state) throws ReleaseRejectedException {
        if (state.limitsInForce().isEmpty()) {
            throw new ReleaseRejectedException(Reason.BAD_PLAN, "there are no limits, neither standing nor the plan's");
        }
        Set<String> planned = new TreeSet<>();
        state.release().steps().forEach(planned::addAll);
        for (Limits limits : state.limitsInForce()) {
            String problem = limits.firstInfeasible(state.members(), planned);
            if (!problem.isEmpty()) {
                throw new ReleaseRejectedException(Reason.BAD_PLAN, problem);
            }
        }
    }

    /** Stops all grants of outages, with or without a release in progress. A second halt replaces the first. */
    public static ReleaseCommand halt(String by, String why) {
        return state -> new RolloutStateBuilder(state)
                .log(by, "halt", why)
                .setHalt(new Halt(state.controlVersion() + 1, by, why))
                .build();
    }

    /**
     * Lifts the halt; the release continues in its previous direction. The service level at that time becomes the
     * baseline, because the operator has accepted it.
     */
    public static ReleaseCommand resume(String by, String why, long controlVersion) {
        return state -> {
            Preconditions.requireControlVersion(state, controlVersion);
            if (state.halt() == null) {
                return state;
            }
            RolloutStateBuilder next =
                    new RolloutStateBuilder(state).log(by, "go on", why).setHalt(null);
            if (next.release != null) {
                Phase samePhase = next.release.activePhase();
                next.release = next.release.withPhase(samePhase).withBaseline(ServiceLevel.NONE);
            }
            return next.build();
        };
    }

    /** Starts to return updated members to the old version, in reverse order; lifts the halt. */
    public static ReleaseCommand rollBack(String by, String why, long controlVersion) {
        return state -> {
            Preconditions.requireControlVersion(state, controlVersion);
            if (state.release() == null) {
                throw new ReleaseRejectedException(Reason.NO_RELEASE, "there was no release to roll back");
            }
            if (state.release().activePhase() == Phase.ROLLED_BACK) {
                return state;
            }
            RolloutStateBuilder next =
                    new RolloutStateBuilder(state).log(by, "roll back", why).setHalt(null);
            next.release = next.release.withPhase(Phase.ROLLING_BACK);
            return next.build();
        };
    }

    /** Stops updating members; unavailable ones return with the version that they have. Lifts the halt. */
    public static ReleaseCommand abandon(String by, String why, long controlVersion) {
        return state -> {
            Preconditions.requireControlVersion(state, controlVersion);
            Preconditions.requireInProgress(state);
            RolloutStateBuilder next =
                    new RolloutStateBuilder(state).log(by, "abandon", why).setHalt(null);
            next.release = next.release.withPhase(Phase.ABANDONING);
            return next.build();
        };
    }

    /** Removes a member that never returns, with its outages and its position in the release. */
    public static ReleaseCommand removeMember(String by, String member) {
        return state -> {
            Preconditions.requireKnownMember(state, member);
            RolloutStateBuilder next =
                    new RolloutStateBuilder(state).log(by, "gone", member).restartQuietPeriod();
            next.members.remove(member);
            next.plannedOutages.remove(member);
            next.unplannedOutages.remove(member);
            MemberUpdates.removeFromSteps(next, member);
            return next.build();
        };
    }

    /** Records a drain without a granted outage as an unplanned outage. {@code why} must not be blank. */
    public static ReleaseCommand forceDrain(String by, String member, String why) {
        return state -> {
            if (why.isBlank()) {
                throw new ReleaseRejectedException(
                        Reason.NO_LEAVE, "a drain of " + member + " without leave needs a word");
            }
            RolloutStateBuilder next = new RolloutStateBuilder(state)
                    .log(by, "force " + member, why)
                    .restartQuietPeriod();
            if (state.members().containsKey(member) && !state.plannedOutages().containsKey(member)) {
                next.unplannedOutages.put(member, new UnplannedOutage(by, "forced: " + why));
            }
            return next.build();
        };
    }

    /**
     * Grants an outage that an operator has requested; rejected while a release is in progress.
     *
     * @param stabilityVersion {@link RolloutState#stabilityVersion()} of the state that the proposer knew
     */
    public static ReleaseCommand grantManualOutage(
            String by, String member, long stabilityVersion, FleetView view, String why) {
        return state -> {
            if (state.inProgress()) {
                throw new ReleaseRejectedException(
                        Reason.RELEASE_ON,
                        "release " + state.release().plan().id() + " is on, and gives leave in its own order");
            }
            Member admitted = OutageAdmission.admit(state, member, stabilityVersion, view);
            RolloutStateBuilder next = new RolloutStateBuilder(state).log(by, "leave " + member, why);
            next.grantOutage(member, admitted.incarnation(), "", why);
            return next.build();
        };
    }
}

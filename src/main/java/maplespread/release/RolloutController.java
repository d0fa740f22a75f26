package maplespread.release;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.FleetView.Status;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.PlannedOutage;

/**
 * One instance's part in a release. Every instance has a controller and all run the same logic without a leader,
 * staggered by their rank among the serving dispatchers. The controller contains everything that depends on time, by
 * this instance's monotonic clock: a new controller restarts every wait, as does one whose process was paused. Its
 * proposals are applied to the newest state, which rejects outdated and invalid ones. Has no threads; not thread-safe.
 */
public final class RolloutController {
    /** A time without evaluation of at least this many detection times counts as a process pause. */
    private static final int MIN_PAUSE_DETECTION_TIMES = 3;
    /** A worker's warm capacity is reported when it exceeds the known one by this factor. */
    private static final double CAPACITY_GROWTH_FACTOR = 1.1;
    /** A lower warm capacity is reported below this share of the known one, while no release is in progress. */
    private static final double CAPACITY_DECLINE_FACTOR = 0.9;
    /** The value of a seen version before the first evaluation. */
    private static final long NO_VERSION_SEEN = -1;

    /**
     * Times in ms.
     *
     * @param staggerMs the delay between an instance's action and that of the instance of the next rank
     * @param detectionMs how long a member must be seen unavailable, or serving, before that is reported
     * @param heartbeatMs the interval at which an instance shows that there is a majority
     * @param quorumLossMs the duration of a quorum loss that halts a release
     */
    public record Settings(long staggerMs, long detectionMs, long heartbeatMs, long quorumLossMs) {
        /** The settings of a running dispatcher. */
        public static final Settings DEFAULT = new Settings(250, 1_000, 2_000, 10_000);
    }

    /**
     * The result of one evaluation.
     *
     * @param proposals commands to propose to the register in this order, before the next evaluation; a rejection is
     *     not an error
     * @param actions what the instance has to carry out
     * @param nextCheckAtMs the latest time of the next evaluation; a new state or view is evaluated at once
     * @param waitingFor what the release waits for, as shown to operators; empty where none is in progress
     */
    public record Decision(
            List<ReleaseCommand> proposals, List<RolloutAction> actions, long nextCheckAtMs, String waitingFor) {}

    private final Settings settings;
    private final String self;
    private final ConditionTimers timers;
    private final QuorumLossTimer quorumLoss = new QuorumLossTimer();
    private final HaltConditions haltConditions;
    private final Set<Long> cancelledOutages = new HashSet<>();
    private long lastEvaluationMs;
    private long seenStabilityVersion = NO_VERSION_SEEN;
    private long stableSinceMs;
    private long seenControlVersion = NO_VERSION_SEEN;
    /** The service level when last no release was in progress or an operator resumed one; null before either. */
    private ServiceLevel baseline;

    // The inputs of the current evaluation.
    private RolloutState state;
    private FleetView view;
    private long nowMs;

    /**
     * Creates a controller.
     *
     * @param self this dispatcher's member name
     * @param nowMs the time of a monotonic clock
     */
    public RolloutController(Settings settings, String self, long nowMs) {
        this.settings = settings;
        this.self = self;
        timers = new ConditionTimers(settings.staggerMs);
        haltConditions = new HaltConditions(settings, timers);
        lastEvaluationMs = nowMs;
        stableSinceMs = nowMs;
    }

    /** Notes that {@link RolloutAction.CancelDrain} of this outage was carried out; a later drain by it is rejected. */
    public void drainCancelled(long outageNumber) {
        cancelledOutages.add(outageNumber);
    }

    /**
     * Evaluates the newest state that this instance knows.
     *
     * @param timeMs the time of the clock that the constructor was given
     * @param majorityReached whether the last read or write of the state has reached a majority
     */
    public Decision evaluate(long timeMs, RolloutState newestState, FleetView currentView, boolean majorityReached) {
        nowMs = timeMs;
        state = newestState;
        view = currentView;
        restartAfterPause();
        trackVersions();
        timers.beginRound(nowMs, servingDispatchersBefore());
        long quorumLossMs = quorumLoss.update(nowMs, state, majorityReached);
        List<ReleaseCommand> proposals = new ArrayList<>();
        String waitingFor = "";
        if (!majorityReached) {
            waitingFor = state.inProgress() ? "for a majority" : "";
        } else if (isActive() || !state.plannedOutages().isEmpty()) {
            waitingFor = propose(proposals, quorumLossMs);
        }
        // Actions need no majority here: before each drain, RolloutService asks a majority whether it is still
        // permitted.
        List<RolloutAction> actions = actions();
        timers.endRound();
        removeEndedOutages();
        return new Decision(proposals, actions, nowMs + checkIntervalMs(), waitingFor);
    }

    /** Restarts all waits after a process pause, so that the pause does not count towards them. */
    private void restartAfterPause() {
        if (nowMs - lastEvaluationMs >= MIN_PAUSE_DETECTION_TIMES * settings.detectionMs) {
            timers.reset();
            quorumLoss.reset();
            seenStabilityVersion = NO_VERSION_SEEN;
        }
        lastEvaluationMs = nowMs;
    }

    private void trackVersions() {
        if (state.stabilityVersion() != seenStabilityVersion) {
            seenStabilityVersion = state.stabilityVersion();
            stableSinceMs = nowMs;
        }
        boolean operatorResumed = seenControlVersion != NO_VERSION_SEEN
                && state.controlVersion() != seenControlVersion
                && state.halt() == null;
        if (!state.inProgress() || operatorResumed) {
            baseline = view.service();
        }
        seenControlVersion = state.controlVersion();
    }

    private long servingDispatchersBefore() {
        return view.members().stream()
                .filter(member -> member.role() == Role.DISPATCHER)
                .filter(member -> member.serving() && member.id().compareTo(self) < 0)
                .count();
    }

    /** Whether a release is in progress or limits are in force. */
    private boolean isActive() {
        return state.inProgress() || !state.limitsInForce().isEmpty();
    }

    private long checkIntervalMs() {
        long idleIntervalMs = settings.detectionMs / 2;
        return isActive() ? Math.min(settings.staggerMs, idleIntervalMs) : idleIntervalMs;
    }

    private void removeEndedOutages() {
        cancelledOutages.removeIf(number -> number <= state.lastOutageNumber()
                && state.plannedOutages().values().stream().noneMatch(outage -> outage.number() == number));
    }

    /** Adds to the proposals and returns what the release waits for. */
    private String propose(List<ReleaseCommand> proposals, long quorumLossMs) {
        proposeHalt(proposals, quorumLossMs);
        proposeObservations(proposals);
        proposeMemberUpdates(proposals);
        proposeReturns(proposals);
        if (!state.inProgress()) {
            return "";
        }
        // The next step must be based on a state that contains these observations.
        String waitingFor = proposals.isEmpty() ? proposeNextStep(proposals) : "for what was seen to be told";
        if (timers.heldForStaggered("heartbeat " + state.heartbeats(), settings.heartbeatMs)) {
            proposals.add(InstanceCommands.recordHeartbeat(state.heartbeats()));
        }
        return waitingFor;
    }

    private void proposeHalt(List<ReleaseCommand> proposals, long quorumLossMs) {
        if (!state.inProgress() || state.halt() != null || state.release().activePhase() == Phase.ABANDONING) {
            return;
        }
        ServiceLevel effectiveBaseline = baseline == null ? state.release().baseline() : baseline;
        String reason = haltConditions.reason(state, view.service(), effectiveBaseline, quorumLossMs);
        if (!reason.isEmpty()) {
            proposals.add(FaultCommands.haltAutomatically(self, reason, state.controlVersion()));
        }
    }

    /** Reports members that have become unavailable, and those that serve again or in a later incarnation. */
    private void proposeObservations(List<ReleaseCommand> proposals) {
        List<String> unavailable = new ArrayList<>();
        List<Member> serving = new ArrayList<>();
        for (Map.Entry<String, KnownMember> entry : state.members().entrySet()) {
            String name = entry.getKey();
            Member seen = view.member(name).filter(Member::serving).orElse(null);
            if (seen == null) {
                if (mustReportUnavailable(name)) {
                    unavailable.add(name);
                }
            } else if (mustReportServing(seen, entry.getValue())) {
                serving.add(seen);
            }
        }
        if (!unavailable.isEmpty() || !serving.isEmpty()) {
            proposals.add(FaultCommands.recordObservations(self, state.stabilityVersion(), unavailable, serving));
        }
    }

    private boolean mustReportUnavailable(String name) {
        boolean isReported = state.unplannedOutages().containsKey(name);
        boolean isPlanned = state.plannedOutages().containsKey(name);
        // The detection time passes first; a second timer then staggers the reports of the instances.
        return !isReported
                && !isPlanned
                && timers.heldFor("unavailable " + name, settings.detectionMs)
                && timers.heldForStaggered("report unavailable " + name, 0);
    }

    private boolean mustReportServing(Member seen, KnownMember known) {
        String name = seen.id();
        boolean isReportedUnavailable = state.unplannedOutages().containsKey(name);
        boolean restartedUnplanned = state.inProgress()
                && state.release().includes(name)
                && seen.incarnation() > known.incarnation()
                && !state.plannedOutages().containsKey(name);
        String condition = "serving " + name + " in " + seen.incarnation();
        return (isReportedUnavailable || restartedUnplanned)
                && timers.heldForStaggered(condition, settings.detectionMs);
    }

    /** Reports unknown members and workers whose warm capacity has changed. */
    private void proposeMemberUpdates(List<ReleaseCommand> proposals) {
        List<Member> changed = new ArrayList<>();
        for (Member seen : view.members()) {
            KnownMember known = state.members().get(seen.id());
            boolean isChanged = known == null || isCapacityChanged(seen, known);
            if (seen.serving() && isChanged && timers.heldForStaggered("changed " + seen.id(), settings.detectionMs)) {
                changed.add(seen);
            }
        }
        if (!changed.isEmpty()) {
            proposals.add(InstanceCommands.updateMembers(self, state.stabilityVersion(), changed));
        }
    }

    private boolean isCapacityChanged(Member seen, KnownMember known) {
        if (!seen.warm() || seen.role() != Role.WORKER) {
            return false;
        }
        boolean isLarger = seen.capacity() > known.warmCapacity() * CAPACITY_GROWTH_FACTOR;
        boolean isSmaller = seen.capacity() < known.warmCapacity() * CAPACITY_DECLINE_FACTOR;
        return isLarger || isSmaller && !state.inProgress();
    }

    /** Reports planned outages that have ended: those cancelled, and those whose members have returned. */
    private void proposeReturns(List<ReleaseCommand> proposals) {
        state.plannedOutages().forEach((name, outage) -> {
            if (cancelledOutages.contains(outage.number())) {
                proposals.add(InstanceCommands.relinquishOutage(self, outage.number()));
                return;
            }
            view.member(name)
                    .filter(seen -> seen.serving() && seen.warm())
                    .filter(seen -> seen.incarnation() > outage.incarnation())
                    .filter(seen -> timers.heldForStaggered("back " + outage.number(), 0))
                    .ifPresent(seen -> proposals.add(InstanceCommands.confirmReturn(self, outage.number(), seen)));
        });
    }

    /** Proposes the outages of the current step, or the release's end; returns what the release waits for. */
    private String proposeNextStep(List<ReleaseCommand> proposals) {
        if (state.halt() != null) {
            return "for an operator: halted by " + state.halt().by() + ", "
                    + state.halt().why();
        }
        int step = state.currentStep();
        boolean opensStep = step != state.release().openStep();
        if (opensStep && nowMs - stableSinceMs < state.quietMs()) {
            return "for the quiet time";
        }
        return step == RolloutState.NO_STEP ? proposeFinish(proposals) : proposeOutages(proposals, step);
    }

    private String proposeOutages(List<ReleaseCommand> proposals, int step) {
        String waitingFor = "for those that are out";
        RolloutState expected = state;
        List<ReleaseCommand> grants = new ArrayList<>();
        for (String name : state.release().steps().get(step)) {
            if (!state.pendingMembers().contains(name) || state.plannedOutages().containsKey(name)) {
                continue;
            }
            ReleaseCommand grant = InstanceCommands.grantOutage(self, name, state.stabilityVersion(), view);
            try {
                expected = grant.apply(expected);
                grants.add(grant);
            } catch (ReleaseRejectedException e) {
                waitingFor = e.problem();
            }
        }
        String condition = "grant at " + state.stabilityVersion() + " after " + state.lastOutageNumber();
        if (!grants.isEmpty() && timers.heldForStaggered(condition, 0)) {
            proposals.addAll(grants);
        }
        return waitingFor;
    }

    private String proposeFinish(List<ReleaseCommand> proposals) {
        ReleaseCommand finish = InstanceCommands.finish(self, view);
        try {
            finish.apply(state);
        } catch (ReleaseRejectedException e) {
            return e.problem();
        }
        if (timers.heldForStaggered("finish at " + state.stabilityVersion(), 0)) {
            proposals.add(finish);
        }
        return "for its end to be told";
    }

    /** Actions for this instance and for the workers; a dispatcher is drained only by itself. */
    private List<RolloutAction> actions() {
        List<RolloutAction> actions = new ArrayList<>();
        state.plannedOutages().forEach((name, outage) -> {
            Member seen = view.member(name).orElse(null);
            boolean isResponsible = name.equals(self) || seen != null && seen.role() == Role.WORKER;
            if (!isResponsible || seen == null || seen.incarnation() != outage.incarnation()) {
                return;
            }
            if (isCancelDue(outage, seen)) {
                actions.add(new RolloutAction.CancelDrain(name, outage.incarnation(), outage.number()));
            } else if (seen.serving() && isDrainDue(name, outage)) {
                actions.add(new RolloutAction.Drain(name, outage.incarnation(), outage.number()));
            }
        });
        return actions;
    }

    /**
     * Whether a drain that {@link DrainPermission#isPermitted} no longer permits is to be cancelled. A halt cancels it
     * only while the member serves; a change of the release's direction cancels it also while the member drains.
     */
    private boolean isCancelDue(PlannedOutage outage, Member seen) {
        if (outage.release().isEmpty()) {
            return false;
        }
        boolean directionChanged = state.inProgress()
                && !outage.why().equals(state.release().activePhase().name());
        if (directionChanged && (seen.serving() || seen.status() == Status.DRAINING)) {
            return true;
        }
        return state.halt() != null && seen.serving();
    }

    /** This instance drains itself at once; the stagger lets a single instance order a worker's drain. */
    private boolean isDrainDue(String name, PlannedOutage outage) {
        String condition = "drain " + outage.number();
        return name.equals(self) ? timers.heldFor(condition, 0) : timers.heldForStaggered(condition, 0);
    }
}

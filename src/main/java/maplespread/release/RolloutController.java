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
 * One instance's part in a release. Every instance has a controller and all do the same, staggered by their place among
 * the serving dispatchers; none is the leader. All that depends on time is here, by this instance's own monotonic
 * clock: a new controller begins every wait anew, as does one whose process was paused. What it proposes is decided by
 * the newest state, which rejects what is late or wrong. No threads; not thread-safe.
 */
public final class RolloutController {
    /** A process that has not evaluated for this many detection times was paused. */
    private static final int PAUSE_DETECTION_TIMES = 3;
    /** A worker's warm capacity is taken up where it is larger than the known one by this factor. */
    private static final double CAPACITY_GROWTH = 1.1;
    /** The same where it is smaller, while no release is in progress. */
    private static final double CAPACITY_DECLINE = 0.9;
    /** No version has been seen yet. */
    private static final long NONE_SEEN = -1;

    /**
     * Times in ms.
     *
     * @param staggerMs by how much later each next instance acts
     * @param detectionMs how long a member has to be seen unavailable, or serving, before that is reported
     * @param heartbeatMs how often some instance shows that there is a majority
     * @param quorumLossMs a loss of the majority for this long halts a release
     */
    public record Settings(long staggerMs, long detectionMs, long heartbeatMs, long quorumLossMs) {
        /** What a running dispatcher uses. */
        public static final Settings DEFAULT = new Settings(250, 1_000, 2_000, 10_000);
    }

    /**
     * What came of one evaluation.
     *
     * @param proposals to be put to the register in this order, before the next evaluation; a rejection is no fault
     * @param actions to be carried out
     * @param nextCheckAtMs when to evaluate again at the latest; after a new state or view: at once
     * @param waitingFor what the release waits for, as operators read it; empty where none is in progress
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
    private long seenStabilityVersion = NONE_SEEN;
    private long stableSinceMs;
    private long seenControlVersion = NONE_SEEN;
    /** The service level at the last moment without a release, or when an operator resumed it; null: neither yet. */
    private ServiceLevel baseline;

    // What the current evaluation looks at.
    private RolloutState state;
    private FleetView view;
    private long nowMs;

    /** {@code self}: this dispatcher's member name; {@code nowMs}: of a monotonic clock. */
    public RolloutController(Settings settings, String self, long nowMs) {
        this.settings = settings;
        this.self = self;
        timers = new ConditionTimers(settings.staggerMs);
        haltConditions = new HaltConditions(settings, timers);
        lastEvaluationMs = nowMs;
        stableSinceMs = nowMs;
    }

    /** {@link RolloutAction.CancelDrain} of this outage was carried out: a later drain by it is refused there. */
    public void drainCancelled(long outageNumber) {
        cancelledOutages.add(outageNumber);
    }

    /**
     * Evaluates the newest state that this instance knows.
     *
     * @param time of the same clock as the constructor's
     * @param majorityReached whether the last read or write of the state has reached a majority
     */
    public Decision evaluate(long time, RolloutState newest, FleetView seen, boolean majorityReached) {
        nowMs = time;
        state = newest;
        view = seen;
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
        // Also without a majority: before each drain RolloutService asks one whether it is still permitted.
        List<RolloutAction> actions = actions();
        timers.endRound();
        forgetEndedOutages();
        return new Decision(proposals, actions, nowMs + checkIntervalMs(), waitingFor);
    }

    /** No wait counts that the process has slept through. */
    private void restartAfterPause() {
        if (nowMs - lastEvaluationMs >= PAUSE_DETECTION_TIMES * settings.detectionMs) {
            timers.reset();
            quorumLoss.reset();
            seenStabilityVersion = NONE_SEEN;
        }
        lastEvaluationMs = nowMs;
    }

    private void trackVersions() {
        if (state.stabilityVersion() != seenStabilityVersion) {
            seenStabilityVersion = state.stabilityVersion();
            stableSinceMs = nowMs;
        }
        boolean operatorResumed =
                seenControlVersion != NONE_SEEN && state.controlVersion() != seenControlVersion && state.halt() == null;
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

    /** Whether there is something to watch: a release, or limits. */
    private boolean isActive() {
        return state.inProgress() || !state.limitsInForce().isEmpty();
    }

    private long checkIntervalMs() {
        long idleMs = settings.detectionMs / 2;
        return isActive() ? Math.min(settings.staggerMs, idleMs) : idleMs;
    }

    private void forgetEndedOutages() {
        cancelledOutages.removeIf(number -> number <= state.lastOutageNumber()
                && state.plannedOutages().values().stream().noneMatch(outage -> outage.number() == number));
    }

    /** Adds to the proposals; returns what the release waits for. */
    private String propose(List<ReleaseCommand> proposals, long quorumLossMs) {
        proposeHalt(proposals, quorumLossMs);
        proposeObservations(proposals);
        proposeMemberUpdates(proposals);
        proposeReturns(proposals);
        if (!state.inProgress()) {
            return "";
        }
        // The next step has to know what was observed.
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
        ServiceLevel comparedWith = baseline == null ? state.release().baseline() : baseline;
        String reason = haltConditions.reason(state, view.service(), comparedWith, quorumLossMs);
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
                if (isUnavailabilityToReport(name)) {
                    unavailable.add(name);
                }
            } else if (isServiceToReport(seen, entry.getValue())) {
                serving.add(seen);
            }
        }
        if (!unavailable.isEmpty() || !serving.isEmpty()) {
            proposals.add(FaultCommands.recordObservations(self, state.stabilityVersion(), unavailable, serving));
        }
    }

    private boolean isUnavailabilityToReport(String name) {
        boolean isReported = state.unplannedOutages().containsKey(name);
        boolean isPlanned = state.plannedOutages().containsKey(name);
        // First the detection time, then, on a timer of its own, this instance's turn to report.
        return !isReported
                && !isPlanned
                && timers.heldFor("unavailable " + name, settings.detectionMs)
                && timers.heldForStaggered("report unavailable " + name, 0);
    }

    private boolean isServiceToReport(Member seen, KnownMember known) {
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

    /** Reports members that are not known yet, and workers whose warm capacity has changed. */
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
        boolean isLarger = seen.capacity() > known.warmCapacity() * CAPACITY_GROWTH;
        boolean isSmaller = seen.capacity() < known.warmCapacity() * CAPACITY_DECLINE;
        return isLarger || isSmaller && !state.inProgress();
    }

    /** Reports planned outages that are over: unused, or with their member back. */
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

    /** Asks for outages of the members whose turn it is, or for the release's end; returns what it waits for. */
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

    /** For this instance itself, and for the workers: a dispatcher is drained by nobody but itself. */
    private List<RolloutAction> actions() {
        List<RolloutAction> actions = new ArrayList<>();
        state.plannedOutages().forEach((name, outage) -> {
            Member seen = view.member(name).orElse(null);
            boolean isResponsible = name.equals(self) || seen != null && seen.role() == Role.WORKER;
            if (!isResponsible || seen == null || seen.incarnation() != outage.incarnation()) {
                return;
            }
            if (isCalledBack(outage, seen)) {
                actions.add(new RolloutAction.CancelDrain(name, outage.incarnation(), outage.number()));
            } else if (seen.serving() && isDrainDue(name, outage)) {
                actions.add(new RolloutAction.Drain(name, outage.incarnation(), outage.number()));
            }
        });
        return actions;
    }

    /** The counterpart of {@link DrainPermission#isPermitted}. By a halt, where the member still serves; by another direction of the release, where it drains too. */
    private boolean isCalledBack(PlannedOutage outage, Member seen) {
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

    /** This instance drains itself at once; only one instance is to order a worker's drain. */
    private boolean isDrainDue(String name, PlannedOutage outage) {
        String condition = "drain " + outage.number();
        return name.equals(self) ? timers.heldFor(condition, 0) : timers.heldForStaggered(condition, 0);
    }
}

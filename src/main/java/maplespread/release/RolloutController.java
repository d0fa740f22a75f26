package maplespread.release;

import java.util.ArrayList;
import java.util.HashMap;
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
 * One instance's part. Every instance has one and all do the same, staggered by their place among those that
 * serve; nobody leads. What depends on time is here, by this instance's own monotonic clock, and a new driver
 * begins every wait anew, as does one that stood still. What is proposed is decided by the newest state: a
 * driver that is late or wrong is refused there.
 */
public final class RolloutController {
    private static final long ENOUGH = 100; // answers, for shares and waits to be judged

    /**
     * {@code staggerMs}: by how much later each next instance acts; {@code missMs}: how long one has to be
     * seen out, or serving, before that is told; {@code beatMs}: how often somebody shows that there is a
     * majority; {@code splitMs}: without one for so long halts. One that has not looked for three times
     * {@code missMs} stood still.
     */
    public record Settings(long staggerMs, long detectionMs, long heartbeatMs, long quorumLossMs) {
        public static final Settings DEFAULT = new Settings(250, 1_000, 2_000, 10_000);
    }

    /**
     * {@code propose}: to the register, in this order and before the next look, a refusal is no fault;
     * {@code orders}: to be carried out; {@code again}: when to look again at the latest (a new state or
     * view: at once); {@code waits}: for what, in words, empty where nothing is on.
     */
    public record Decision(
            List<ReleaseCommand> proposals, List<RolloutAction> actions, long nextCheckAtMs, String waitingFor) {}

    private final Settings set;
    private final String self;
    private long lookedAt;
    private long calm = -1;
    private long calmSince;
    private long acts = -1;
    private long aloneSince = -1;
    private RolloutState aloneAt;
    private long alone;
    private ServiceLevel before;
    private Map<String, Long> since = new HashMap<>(); // what is waited for -> since when
    private Set<String> wanted = new HashSet<>();
    private final Set<Long> drainCancelled = new HashSet<>();
    private RolloutState state;
    private FleetView view;
    private long now;
    private long place;

    /** {@code self}: this dispatcher's member name; {@code now}: of a monotonic clock, in ms. */
    public RolloutController(Settings set, String self, long now) {
        this.set = set;
        this.self = self;
        lookedAt = now;
        calmSince = now;
    }

    /** {@link RolloutAction.CancelDrain} of this leave was carried out: a later drain by it is refused there. */
    public void drainCancelled(long leave) {
        drainCancelled.add(leave);
    }

    /** Looks at the newest state known. {@code majority}: whether the last read or write reached one. */
    public Decision evaluate(long time, RolloutState newest, FleetView seen, boolean majority) {
        now = time;
        state = newest;
        view = seen;
        wanted = new HashSet<>();
        if (now - lookedAt >= 3 * set.detectionMs) { // stood still: no wait was whole
            since.clear();
            calm = -1;
            aloneSince = -1;
        }
        lookedAt = now;
        if (state.stabilityVersion() != calm) {
            calm = state.stabilityVersion();
            calmSince = now;
        }
        // Worse is worse than before the release, or than when an operator let it go on.
        if (!state.inProgress() || acts >= 0 && state.controlVersion() != acts && state.halt() == null) {
            before = view.service();
        }
        acts = state.controlVersion();
        place = view.members().stream()
                .filter(m -> m.role() == Role.DISPATCHER && m.serving() && m.id().compareTo(self) < 0)
                .count();
        majority(majority);
        List<ReleaseCommand> propose = new ArrayList<>();
        List<RolloutAction> orders = new ArrayList<>();
        String waits = "";
        boolean on = state.inProgress();
        if (!majority) {
            waits = on ? "for a majority" : "";
        } else if (on
                || !state.limitsInForce().isEmpty()
                || !state.plannedOutages().isEmpty()) {
            halts(propose);
            seen(propose);
            back(propose);
            waits = !on ? "" : !propose.isEmpty() ? "for what was seen to be told" : goOn(propose);
            if (on && waited("beat " + state.heartbeats(), set.heartbeatMs, true)) {
                propose.add(OperatorCommands.recordHeartbeat(state.heartbeats()));
            }
        }
        orders(orders);
        since.keySet().retainAll(wanted);
        drainCancelled.removeIf(n -> state.plannedOutages().values().stream().noneMatch(l -> l.number() == n)
                && n <= state.lastOutageNumber());
        return new Decision(
                propose,
                orders,
                now
                        + (on || !state.limitsInForce().isEmpty()
                                ? Math.min(set.staggerMs, set.detectionMs / 2)
                                : set.detectionMs / 2),
                waits);
    }

    /** Whether this has been so for so long; staggered: and for as long again as stands before this place. */
    private boolean waited(String what, long ms, boolean staggered) {
        wanted.add(what);
        long wait = ms + (staggered ? place * set.staggerMs : 0);
        return now - since.computeIfAbsent(what, k -> now) >= wait;
    }

    private void majority(boolean majority) {
        alone = 0;
        if (!majority) {
            if (aloneSince < 0) {
                aloneSince = now;
                aloneAt = state;
            }
        } else if (aloneSince >= 0) {
            // Others may have had one meanwhile: then somebody has shown it.
            boolean none = state.heartbeats() == aloneAt.heartbeats()
                    && state.stabilityVersion() == aloneAt.stabilityVersion()
                    && state.lastOutageNumber() == aloneAt.lastOutageNumber();
            alone = none ? now - aloneSince : 0;
            aloneSince = -1;
        }
    }

    // ------------------------------------------------------------ what halts it by itself

    private void halts(List<ReleaseCommand> propose) {
        boolean moves =
                state.inProgress() && state.halt() == null && state.release().activePhase() != Phase.ABANDONING;
        String why = !moves ? "" : halts();
        if (!why.isEmpty()) {
            propose.add(OperatorCommands.haltAutomatically(self, why, state.controlVersion()));
        }
    }

    private String halts() {
        if (alone >= set.quorumLossMs) {
            return "no majority for " + alone + " ms";
        }
        for (Limits l : state.limitsInForce()) {
            String over = l.exceeded(state.members(), state.unavailableMembers());
            // Whatever the limit and the count: one more accident must not begin the wait anew.
            if (!over.isEmpty() && waited("over", set.detectionMs, false)) {
                return "limit exceeded: " + over;
            }
        }
        for (Map.Entry<String, PlannedOutage> l : state.plannedOutages().entrySet()) {
            if (!l.getValue().release().isEmpty()
                    && waited("out " + l.getValue().number() + " " + state.controlVersion(), state.backMs(), false)) {
                return l.getKey() + " is not back after " + state.backMs() + " ms";
            }
        }
        // What is bad because of the release must not stand in the way of taking it back.
        return state.release().activePhase() == Phase.RUNNING ? worse() : "";
    }

    private String worse() {
        ServiceLevel is = view.service();
        ServiceLevel was = before == null ? state.release().baseline() : before;
        if (is.samples() < ENOUGH || was.samples() < ENOUGH) {
            return "";
        }
        for (Limits l : state.limitsInForce()) {
            if (is.refusedShare() > was.refusedShare() + l.worseRefused()) {
                return "refusals " + is.refusedShare() + ", before the release " + was.refusedShare();
            }
            if (is.errorShare() > was.errorShare() + l.worseErrors()) {
                return "errors " + is.errorShare() + ", before the release " + was.errorShare();
            }
            if (is.waitMs() > was.waitMs() * (1 + l.worseWait())) {
                return "waits " + is.waitMs() + " ms, before the release " + was.waitMs() + " ms";
            }
        }
        return "";
    }

    // ------------------------------------------------------------ what is seen

    private void seen(List<ReleaseCommand> propose) {
        List<String> out = new ArrayList<>();
        List<Member> serving = new ArrayList<>();
        for (Map.Entry<String, KnownMember> k : state.members().entrySet()) {
            String id = k.getKey();
            Member m = view.member(id);
            boolean serves = m != null && m.serving();
            boolean told = state.unplannedOutages().containsKey(id);
            if (!serves && !told && !state.plannedOutages().containsKey(id)) {
                if (waited("miss " + id, set.detectionMs, false) && waited("tell " + id, 0, true)) {
                    out.add(id);
                }
            } else if (serves
                    && (told
                            || state.inProgress()
                                    && state.release().includes(id)
                                    && m.incarnation() > k.getValue().incarnation()
                                    && !state.plannedOutages().containsKey(id))) {
                if (waited("here " + id + " " + m.incarnation(), set.detectionMs, true)) {
                    serving.add(m);
                }
            }
        }
        if (!out.isEmpty() || !serving.isEmpty()) {
            propose.add(OperatorCommands.recordObservations(self, state.stabilityVersion(), out, serving));
        }
        List<Member> put = new ArrayList<>();
        for (Member m : view.members()) {
            KnownMember k = state.members().get(m.id());
            boolean grown = k != null
                    && m.warm()
                    && m.role() == Role.WORKER
                    && (m.capacity() > k.warmCapacity() * 1.1
                            || !state.inProgress() && m.capacity() < k.warmCapacity() * 0.9);
            if (m.serving() && (k == null || grown) && waited("put " + m.id(), set.detectionMs, true)) {
                put.add(m);
            }
        }
        if (!put.isEmpty()) {
            propose.add(OperatorCommands.updateMembers(self, state.stabilityVersion(), put));
        }
    }

    private void back(List<ReleaseCommand> propose) {
        state.plannedOutages().forEach((id, l) -> {
            Member m = view.member(id);
            if (drainCancelled.contains(l.number())) {
                propose.add(OperatorCommands.relinquishOutage(self, l.number()));
            } else if (m != null
                    && m.serving()
                    && m.warm()
                    && m.incarnation() > l.incarnation()
                    && waited("back " + l.number(), 0, true)) {
                propose.add(OperatorCommands.confirmReturn(self, l.number(), m));
            }
        });
    }

    // ------------------------------------------------------------ what comes next

    /** Leave for those whose turn it is, or the end. Returns for what it waits. */
    private String goOn(List<ReleaseCommand> propose) {
        if (state.halt() != null) {
            return "for an operator: halted by " + state.halt().by() + ", "
                    + state.halt().why();
        }
        int step = state.currentStep();
        boolean opens = step != state.release().openStep();
        if (opens && now - calmSince < state.quietMs()) {
            return "for the quiet time";
        }
        String calmly = "leave " + state.stabilityVersion() + " " + state.lastOutageNumber();
        if (step < 0) {
            return attempt(propose, OperatorCommands.finish(self, view), "finish " + state.stabilityVersion());
        }
        String waits = "for those that are out";
        RolloutState then = state;
        List<ReleaseCommand> all = new ArrayList<>();
        for (String id : state.release().steps().get(step)) {
            if (state.pendingMembers().contains(id) && !state.plannedOutages().containsKey(id)) {
                ReleaseCommand c = OperatorCommands.grantOutage(self, id, state.stabilityVersion(), view);
                try {
                    then = c.apply(then);
                    all.add(c);
                } catch (ReleaseRejectedException e) {
                    waits = e.problem();
                }
            }
        }
        if (!all.isEmpty() && waited(calmly, 0, true)) {
            propose.addAll(all);
        }
        return waits;
    }

    private String attempt(List<ReleaseCommand> propose, ReleaseCommand c, String what) {
        try {
            c.apply(state);
            if (waited(what, 0, true)) {
                propose.add(c);
            }
            return "for its end to be told";
        } catch (ReleaseRejectedException e) {
            return e.problem();
        }
    }

    /** This instance's own, and the workers': a dispatcher is drained by nobody but itself. */
    private void orders(List<RolloutAction> orders) {
        state.plannedOutages().forEach((id, l) -> {
            Member m = view.member(id);
            boolean mine = id.equals(self) || m != null && m.role() == Role.WORKER;
            if (!mine || m == null || m.incarnation() != l.incarnation()) {
                return;
            }
            boolean by = !l.release().isEmpty();
            boolean back = by
                    && state.inProgress()
                    && !l.why().equals(state.release().activePhase().name());
            if (back && (m.serving() || m.status() == Status.DRAINING) || state.halt() != null && by && m.serving()) {
                orders.add(new RolloutAction.CancelDrain(id, l.incarnation(), l.number()));
            } else if (m.serving() && waited("order " + l.number(), 0, !id.equals(self))) {
                orders.add(new RolloutAction.Drain(id, l.incarnation(), l.number()));
            }
        });
    }
}

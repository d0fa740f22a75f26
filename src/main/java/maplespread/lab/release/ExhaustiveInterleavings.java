package maplespread.lab.release;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.release.FaultCommands;
import maplespread.release.FleetView;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.FleetView.Status;
import maplespread.release.InstanceCommands;
import maplespread.release.Limits;
import maplespread.release.OperatorCommands;
import maplespread.release.ReleaseCommand;
import maplespread.release.ReleasePlan;
import maplespread.release.ReleaseRejectedException;
import maplespread.release.RolloutState;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.PlannedOutage;

/**
 * A release of two dispatchers and two workers, one of each out at the most, in every order of commands,
 * drains, recalls, crashes, starts and operators' calls up to a depth, breadth first. One coordinator may
 * freeze at any moment, and from then on act on what it saw then, in any way and as often as it likes.
 */
public final class ExhaustiveInterleavings {
    /** A member as it truly is; {@code leave}: by which it is out, or 0. */
    private record Machine(long run, String version, Status is, long leave, long recalled) {}

    /** Of states and truths that are met once each, so that they are told by identity. */
    private record World(RolloutState state, List<Machine> truth, RolloutState oldState, List<Machine> oldTruth) {
        @Override
        public boolean equals(Object o) {
            return o instanceof World w
                    && w.state == state
                    && w.truth == truth
                    && w.oldState == oldState
                    && w.oldTruth == oldTruth;
        }

        @Override
        public int hashCode() {
            return ((System.identityHashCode(state) * 31 + System.identityHashCode(truth)) * 31
                                    + System.identityHashCode(oldState))
                            * 31
                    + System.identityHashCode(oldTruth);
        }
    }

    private static final List<String> IDS = List.of("d0", "d1", "w0", "w1");
    private static final int MOST_RUNS = 3;
    private static final int MOST_ACTS = 4;

    private final Map<RolloutState, RolloutState> states = new HashMap<>();
    private final Map<List<Machine>, List<Machine>> truths = new HashMap<>();
    private final Set<World> met = new HashSet<>();
    private List<World> next = new ArrayList<>();
    private String fault = "";

    /** Returns what went wrong, or an empty string. */
    public String search(int depth) throws ReleaseRejectedException {
        ReleasePlan plan = new ReleasePlan(
                "r",
                "1",
                "2",
                true,
                true,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                "workers",
                List.of(),
                List.of(2),
                new Limits(1, 1, Limits.ANY, Limits.ANY, 0, 0, 1, 1, 1, 1));
        List<Machine> truth = new ArrayList<>();
        IDS.forEach(id -> truth.add(new Machine(1, "1", Status.SERVING, 0, 0)));
        RolloutState begun = OperatorCommands.begin("op", plan, view(truth)).apply(RolloutState.EMPTY);
        keep(begun, List.copyOf(truth), null, null);
        for (int d = 0; d < depth && fault.isEmpty(); d++) {
            List<World> now = next;
            next = new ArrayList<>();
            for (World w : now) {
                after(w);
            }
        }
        return fault;
    }

    /** Different worlds that were met. */
    public int worlds() {
        return met.size();
    }

    private void keep(RolloutState s, List<Machine> truth, RolloutState oldState, List<Machine> oldTruth) {
        RolloutState bare = s.log().isEmpty()
                ? s
                : new RolloutState(
                        s.limits(),
                        s.release(),
                        s.members(),
                        s.plannedOutages(),
                        s.unplannedOutages(),
                        s.halt(),
                        s.stabilityVersion(),
                        s.lastOutageNumber(),
                        s.controlVersion(),
                        s.heartbeats(),
                        s.pastReleases(),
                        List.of());
        RolloutState one = states.computeIfAbsent(bare, k -> k);
        World kept = new World(one, truths.computeIfAbsent(truth, k -> k), oldState, oldTruth);
        if (met.add(kept)) {
            next.add(kept);
        }
    }

    private static FleetView view(List<Machine> truth) {
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < IDS.size(); i++) {
            Machine m = truth.get(i);
            all.add(new Member(
                    IDS.get(i),
                    "a" + i,
                    i < 2 ? Role.DISPATCHER : Role.WORKER,
                    "z",
                    "k",
                    "",
                    m.run,
                    m.version,
                    m.is,
                    i < 2 ? 0 : 1,
                    true));
        }
        return new FleetView(all, ServiceLevel.NONE);
    }

    private void after(World w) {
        if (w.oldState == null) {
            keep(w.state, w.truth, w.state, w.truth);
        } else {
            decide(w, w.oldState, w.oldTruth);
        }
        decide(w, w.state, w.truth);
        for (int i = 0; i < IDS.size(); i++) {
            Machine m = w.truth.get(i);
            if (m.is == Status.DOWN) {
                Phase p = w.state.release().activePhase();
                if (m.run < MOST_RUNS) {
                    machine(
                            w,
                            i,
                            new Machine(m.run + 1, p == Phase.RUNNING ? "2" : "1", Status.SERVING, 0, m.recalled));
                }
                continue;
            }
            machine(w, i, new Machine(m.run, m.version, Status.DOWN, m.leave, m.recalled));
            orders(w, i, w.state.plannedOutages().get(IDS.get(i)));
            if (w.oldState != null) {
                orders(w, i, w.oldState.plannedOutages().get(IDS.get(i)));
            }
        }
    }

    /** What this leave lets be carried out here, however old the order is. */
    private void orders(World w, int i, PlannedOutage l) {
        Machine m = w.truth.get(i);
        if (l == null || l.incarnation() != m.run) {
            return;
        }
        if (m.is == Status.SERVING && l.number() > m.recalled) {
            machine(w, i, new Machine(m.run, m.version, Status.DRAINING, l.number(), m.recalled));
        }
        machine(w, i, new Machine(m.run, m.version, Status.SERVING, 0, Math.max(m.recalled, l.number())));
    }

    private void machine(World w, int i, Machine m) {
        List<Machine> truth = new ArrayList<>(w.truth);
        truth.set(i, m);
        for (int role = 0; role < 4; role += 2) {
            check(truth.get(role).leave == 0 || truth.get(role + 1).leave == 0, "both out with leave", w);
        }
        keep(w.state, List.copyOf(truth), w.oldState, w.oldTruth);
    }

    /** All that one may propose who knows that state and sees that truth, decided in {@code w}. */
    private void decide(World w, RolloutState known, List<Machine> truth) {
        FleetView view = view(truth);
        long calm = known.stabilityVersion();
        long acts = known.controlVersion();
        List<String> out = new ArrayList<>();
        List<Member> serving = new ArrayList<>();
        for (Member m : view.members()) {
            PlannedOutage held = known.plannedOutages().get(m.id());
            apply(w, false, InstanceCommands.grantOutage("x", m.id(), calm, view));
            if (held != null && m.incarnation() > held.incarnation()) {
                apply(w, false, InstanceCommands.confirmReturn("x", held.number(), m));
            }
            if (held != null && truth.get(IDS.indexOf(m.id())).recalled >= held.number()) {
                apply(w, false, InstanceCommands.relinquishOutage("x", held.number()));
            }
            if (m.serving()) {
                serving.add(m);
            } else {
                out.add(m.id());
            }
        }
        apply(w, false, FaultCommands.recordObservations("x", calm, out, serving));
        apply(w, false, InstanceCommands.finish("x", view));
        apply(w, false, FaultCommands.haltAutomatically("x", "itself", acts));
        if (w.state.controlVersion() < MOST_ACTS) {
            apply(w, false, OperatorCommands.halt("op", ""));
            apply(w, acts == w.state.controlVersion(), OperatorCommands.resume("op", "", acts));
            apply(w, acts == w.state.controlVersion(), OperatorCommands.rollBack("op", "", acts));
            apply(w, acts == w.state.controlVersion(), OperatorCommands.abandon("op", "", acts));
        }
    }

    private void apply(World w, boolean mayLift, ReleaseCommand c) {
        RolloutState is;
        try {
            is = c.apply(w.state);
        } catch (ReleaseRejectedException e) {
            return;
        }
        if (is == w.state) {
            return;
        }
        check(
                is.lastOutageNumber() == w.state.lastOutageNumber() || w.state.halt() == null,
                "leave granted after a halt",
                w);
        check(mayLift || w.state.halt() == null || is.halt() != null, "a halt lifted by one that did not know it", w);
        for (int role = 0; role < 4; role += 2) {
            boolean both = is.unavailableMembers().contains(IDS.get(role))
                    && is.unavailableMembers().contains(IDS.get(role + 1));
            check(is.lastOutageNumber() == w.state.lastOutageNumber() || !both, "leave granted beyond the sum", w);
        }
        w.state.plannedOutages().forEach((id, l) -> {
            Machine m = w.truth.get(IDS.indexOf(id));
            check(
                    is.plannedOutages().containsKey(id) || m.run > l.incarnation() || m.recalled >= l.number(),
                    "leave of " + id + " freed though it may be out",
                    w);
        });
        keep(is, w.truth, w.oldState, w.oldTruth);
    }

    private void check(boolean holds, String otherwise, World w) {
        if (!holds && fault.isEmpty()) {
            fault = otherwise + " after " + w;
        }
    }
}

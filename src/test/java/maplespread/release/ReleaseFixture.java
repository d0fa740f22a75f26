package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.FleetView.Status;
import maplespread.release.ReleaseRejectedException.Reason;

/** A fleet of three dispatchers and four workers, and the state that they agree on. */
abstract class ReleaseFixture {
    static final Limits LIMITS = new Limits(1, 2, 1, Limits.ANY, 0.5, 1_000, 20_000, 0.05, 0.02, 0.5);

    final Map<String, Member> fleet = new TreeMap<>();

    ServiceLevel service = new ServiceLevel(0.01, 0, 10, 1_000);

    RolloutState state = RolloutState.EMPTY;

    ReleaseFixture() {
        for (int i = 0; i < 3; i++) {
            putMember("d" + i, Role.DISPATCHER, "z0", 1, "1", Status.SERVING, 0, true);
        }
        for (int i = 0; i < 4; i++) {
            putMember("w" + i, Role.WORKER, "z" + i % 2, 1, "1", Status.SERVING, 10, true);
        }
    }

    void putMember(
            String id, Role role, String zone, long run, String version, Status status, double capacity, boolean warm) {
        fleet.put(id, new Member(id, "at-" + id, role, zone, "k", "", run, version, status, capacity, warm));
    }

    void setMember(String id, long run, String version, Status status) {
        Member member = fleet.get(id);
        putMember(id, member.role(), member.zone(), run, version, status, member.capacity(), true);
    }

    FleetView view() {
        return new FleetView(new ArrayList<>(fleet.values()), service);
    }

    /** Parses every new state from its text, so that only serialized data survives. */
    void apply(ReleaseCommand command) throws ReleaseRejectedException {
        state = RolloutState.parse(command.apply(state).toText());
    }

    void assertRejected(Reason why, ReleaseCommand command) {
        assertEquals(
                why,
                assertThrows(ReleaseRejectedException.class, () -> command.apply(state))
                        .reason());
    }

    static ReleasePlan plan(String id, String more) throws ReleaseRejectedException {
        return ReleasePlan.read(
                "{id:'" + id + "',from:'1',to:'2',workers:true,dispatchers:true,steps:[1,2]" + more + "}");
    }

    void beginRelease() throws ReleaseRejectedException {
        apply(OperatorCommands.setLimits("op", LIMITS));
        apply(OperatorCommands.begin("op", plan("r", ""), view()));
    }

    void grantOutage(String id) throws ReleaseRejectedException {
        apply(InstanceCommands.grantOutage("d0", id, state.stabilityVersion(), view()));
    }

    void confirmReturn(String id, String version) throws ReleaseRejectedException {
        setMember(id, fleet.get(id).incarnation() + 1, version, Status.SERVING);
        apply(InstanceCommands.confirmReturn(
                "d0", state.plannedOutages().get(id).number(), fleet.get(id)));
    }

    RolloutState stateIn(String phase) throws ReleaseRejectedException {
        state = RolloutState.EMPTY;
        fleet.keySet().forEach(id -> setMember(id, 1, "1", Status.SERVING));
        apply(OperatorCommands.setLimits("op", LIMITS));
        if (phase.equals("none")) {
            return state;
        }
        beginRelease();
        if (phase.equals("DONE")) {
            fleet.keySet().forEach(id -> setMember(id, 2, "2", Status.SERVING));
            apply(FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of(), fleet.values()));
            apply(InstanceCommands.finish("d0", view()));
        } else if (phase.contains("BACK")) {
            apply(OperatorCommands.rollBack("op", "", state.controlVersion()));
        } else if (phase.startsWith("ABANDON")) {
            apply(OperatorCommands.abandon("op", "", state.controlVersion()));
        }
        if (phase.startsWith("HALTED")) {
            apply(OperatorCommands.halt("op", "x"));
        } else if (phase.equals("ROLLED_BACK") || phase.equals("ABANDONED")) {
            apply(InstanceCommands.finish("d0", view()));
        }
        assertEquals(phase.replace("_BACK", ""), state.phase().name().replace("_BACK", ""));
        return state;
    }
}

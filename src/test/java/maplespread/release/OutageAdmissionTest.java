package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.Status;
import maplespread.release.ReleaseRejectedException.Reason;
import org.junit.jupiter.api.Test;

/** Admission of outages by limits, capacity and electors. */
class OutageAdmissionTest extends ReleaseFixture {
    /** The limits would allow five of nine; restarted electors lose their state, so a majority must stay. */
    @Test
    void keepsAMajorityOfElectorsAvailable() throws ReleaseRejectedException {
        for (int i = 3; i < 9; i++) {
            putMember("d" + i, Role.DISPATCHER, "z0", 1, "1", Status.SERVING, 0, true);
        }
        apply(OperatorCommands.setLimits("op", new Limits(5, 2, 1, Limits.ANY, 0.5, 0, 20_000, 0.05, 0.02, 0.5)));
        apply(InstanceCommands.updateMembers("d0", state.stabilityVersion(), new ArrayList<>(fleet.values())));
        List<String> electors = List.of("d0", "d1", "d2", "d3", "d4");
        setMember("d4", 1, "1", Status.UNKNOWN); // seen unavailable by the proposer alone
        apply(OperatorCommands.grantManualOutage(
                "op", "d8", state.stabilityVersion(), view().withElectors(electors), "no elector"));
        apply(OperatorCommands.grantManualOutage(
                "op", "d0", state.stabilityVersion(), view().withElectors(electors), "three are left"));
        assertRejected(
                Reason.LIMIT,
                OperatorCommands.grantManualOutage(
                        "op", "d1", state.stabilityVersion(), view().withElectors(electors), "two"));
        apply(OperatorCommands.grantManualOutage(
                "op", "d7", state.stabilityVersion(), view().withElectors(electors), "no elector"));
        FleetView other = view().withElectors(List.of("d1", "d2", "d3"));
        apply(OperatorCommands.grantManualOutage("op", "d1", state.stabilityVersion(), other, "two of three are left"));
    }

    @Test
    void countsUnplannedOutagesZonesSharesAndColdCapacity() throws ReleaseRejectedException {
        beginRelease();
        assertEquals(
                "[[w0], [w1, w2], [w3], [d0, d1], [d2]]",
                state.release().steps().toString());
        assertRejected(Reason.NOT_DUE, InstanceCommands.grantOutage("d0", "w1", state.stabilityVersion(), view()));
        assertRejected(
                Reason.NOT_QUIET, InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion() - 1, view()));
        apply(FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of("w2"), List.of()));
        assertRejected(
                Reason.LIMIT,
                InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view())); // two of zone z0
        apply(FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of(), List.of(fleet.get("w2"))));
        setMember("w2", 1, "1", Status.UNKNOWN); // unavailable in the view alone
        assertRejected(Reason.LIMIT, InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view()));
        setMember("w2", 1, "1", Status.SERVING);
        for (String cold : List.of("w1", "w2", "w3")) {
            putMember(cold, Role.WORKER, fleet.get(cold).zone(), 1, "1", Status.SERVING, 6, false);
        }
        assertRejected(
                Reason.CAPACITY,
                InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view())); // 18 of 40 stays
        setMember("w3", 1, "1", Status.SERVING);
        putMember("w3", Role.WORKER, "z1", 1, "1", Status.SERVING, 8, true);
        apply(InstanceCommands.updateMembers(
                "d0",
                state.stabilityVersion(),
                fleet.values())); // a release's slow workers do not lower the known capacity
        assertRejected(
                Reason.NOT_QUIET, InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion() - 1, view()));
        grantOutage("w0"); // 20 of 40
        confirmReturn("w0", "2");
        assertEquals(
                40,
                state.members().values().stream()
                        .mapToDouble(RolloutState.KnownMember::warmCapacity)
                        .sum());
        assertEquals(
                "3 0 1 2",
                Stream.of(
                                Limits.allowed(0.3, 10),
                                Limits.allowed(0.09, 10),
                                Limits.allowed(1, 10),
                                Limits.allowed(5, 2))
                        .map(String::valueOf)
                        .reduce((a, b) -> a + " " + b)
                        .get());
    }
}

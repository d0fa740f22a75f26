package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.Status;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.Phase;
import org.junit.jupiter.api.Test;

/** Progress and rollback of a release, and changes of members during a release. */
class InstanceCommandsTest extends ReleaseFixture {
    @Test
    void confirmsALaterIncarnationThatServesWarmAndAsWanted() throws ReleaseRejectedException {
        beginRelease();
        grantOutage("w0");
        long number = state.plannedOutages().get("w0").number();
        assertRejected(
                Reason.MEMBER,
                InstanceCommands.confirmReturn(
                        "d0", number, fleet.get("w0"))); // the incarnation that the outage was granted to
        putMember("w0", Role.WORKER, "z0", 2, "2", Status.SERVING, 4, false);
        assertRejected(Reason.MEMBER, InstanceCommands.confirmReturn("d0", number, fleet.get("w0"))); // cold
        for (int tries = 1; tries <= 3; tries++) {
            confirmReturn("w0", "1");
            assertEquals(tries < 3 ? Phase.RUNNING : Phase.HALTED, state.phase());
            if (tries < 3) {
                grantOutage("w0");
            }
        }
        apply(OperatorCommands.resume("op", "", state.controlVersion()));
        grantOutage("w0");
        RolloutState held = state;
        setMember("w0", 9, "2", Status.SERVING);
        assertEquals(
                state,
                InstanceCommands.confirmReturn("d1", 99, fleet.get("w0")).apply(state)); // another outage's number
        confirmReturn("w0", "2");
        assertTrue(state.updatedMembers().contains("w0") && state.currentStep() == 1);
        assertEquals(
                state,
                InstanceCommands.confirmReturn("d1", held.lastOutageNumber(), fleet.get("w0"))
                        .apply(state)); // confirmed twice
    }

    @Test
    void rollsBackInReverseUnderTheSameLimits() throws ReleaseRejectedException {
        beginRelease();
        for (String id : List.of("w0", "w1", "w2", "w3")) {
            grantOutage(id);
            confirmReturn(id, "2");
        }
        grantOutage("d0");
        apply(OperatorCommands.rollBack("op", "", state.controlVersion()));
        confirmReturn("d0", "1"); // never had version 2
        assertRejected(Reason.NOT_DUE, InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view()));
        assertRejected(Reason.NOT_DUE, InstanceCommands.grantOutage("d0", "d0", state.stabilityVersion(), view()));
        for (String id : List.of("w3", "w1", "w2", "w0")) {
            assertRejected(Reason.NOT_DUE, InstanceCommands.finish("d0", view()));
            grantOutage(id);
            confirmReturn(id, "1");
        }
        apply(InstanceCommands.finish("d0", view()));
        assertEquals(Phase.ROLLED_BACK, state.phase());
    }

    private static Member memberAtW0(String id, long run, String version) {
        return new Member(id, "at-w0", Role.WORKER, "z0", "k", "", run, version, Status.SERVING, 10, true);
    }

    @Test
    void takesUpMembersThatChangeDuringARelease() throws ReleaseRejectedException {
        beginRelease();
        grantOutage("w0");
        // Another name at the address of the unavailable member takes over its outage and its turn.
        fleet.remove("w0");
        fleet.put("w9", memberAtW0("w9", 5, "2"));
        RolloutState old = state;
        apply(InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(fleet.get("w9"))));
        assertEquals(List.of("w9"), List.copyOf(state.plannedOutages().keySet()));
        assertEquals(List.of("w9"), state.release().steps().get(0));
        assertRejected(
                Reason.NOT_QUIET,
                InstanceCommands.updateMembers("d1", old.stabilityVersion(), List.of(fleet.get("w9"))));
        apply(InstanceCommands.confirmReturn("d0", 1, fleet.get("w9")));
        // An older view does not bring the replaced member back.
        apply(InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(memberAtW0("w0", 1, "1"))));
        assertFalse(state.members().containsKey("w0"));
        // Upgraded in place: a later incarnation that was never unavailable and needs no outage.
        setMember("w1", 2, "2", Status.SERVING);
        assertRejected(Reason.NOT_DUE, InstanceCommands.grantOutage("d0", "w1", state.stabilityVersion(), view()));
        apply(FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of(), List.of(fleet.get("w1"))));
        assertTrue(state.updatedMembers().contains("w1")
                && state.unavailableMembers().isEmpty());
        // One member more, and one less.
        putMember("w7", Role.WORKER, "z1", 6, "1", Status.SERVING, 10, true);
        assertRejected(Reason.NOT_DUE, InstanceCommands.finish("d0", view()));
        apply(InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(fleet.get("w7"))));
        assertTrue(state.pendingMembers().contains("w7"));
        grantOutage("w2");
        apply(OperatorCommands.removeMember("op", "w2"));
        assertTrue(state.plannedOutages().isEmpty() && !state.pendingMembers().contains("w2"));
        assertRejected(Reason.MEMBER, OperatorCommands.removeMember("op", "w2"));
    }
}

package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.Phase;
import org.junit.jupiter.api.Test;

/** Operators' commands in every phase of a release. */
class OperatorCommandsTest extends ReleaseFixture {
    /** The phase that each call leads to from each phase, or the reason why it is rejected. */
    @Test
    void definesEveryCallInEveryPhase() throws ReleaseRejectedException {
        String table = """
            from          begin       halt    goOn          rollBack      abandon
            none          RUNNING     null    null          NO_RELEASE    NO_RELEASE
            RUNNING       RELEASE_ON  HALTED  RUNNING       ROLLING_BACK  ABANDONING
            HALTED        RELEASE_ON  HALTED  RUNNING       ROLLING_BACK  ABANDONING
            HALTED_BACK   RELEASE_ON  HALTED  ROLLING_BACK  ROLLING_BACK  ABANDONING
            ROLLING_BACK  RELEASE_ON  HALTED  ROLLING_BACK  ROLLING_BACK  ABANDONING
            ABANDONING    RELEASE_ON  HALTED  ABANDONING    ROLLING_BACK  ABANDONING
            DONE          RUNNING     DONE    DONE          ROLLING_BACK  NO_RELEASE
            ROLLED_BACK   RUNNING     ROLLED_BACK  ROLLED_BACK  ROLLED_BACK  NO_RELEASE
            ABANDONED     RUNNING     ABANDONED    ABANDONED    ROLLING_BACK NO_RELEASE
            """;
        for (String line : table.lines().skip(1).toList()) {
            String[] cell = line.trim().split(" +");
            RolloutState from = stateIn(cell[0]);
            List<ReleaseCommand> calls = List.of(
                    OperatorCommands.begin("op", plan("q", ""), view()),
                    OperatorCommands.halt("op", "x"),
                    OperatorCommands.resume("op", "x", from.controlVersion()),
                    OperatorCommands.rollBack("op", "x", from.controlVersion()),
                    OperatorCommands.abandon("op", "x", from.controlVersion()));
            for (int i = 0; i < calls.size(); i++) {
                String got;
                try {
                    got = String.valueOf(calls.get(i).apply(from).phase());
                } catch (ReleaseRejectedException e) {
                    got = e.reason().name();
                }
                assertEquals(cell[i + 1], got, cell[0] + ", call " + i);
            }
        }
    }

    @Test
    void rejectsASecondReleaseWhileOneIsInProgress() throws ReleaseRejectedException {
        beginRelease();
        assertEquals(state, OperatorCommands.begin("op", plan("r", ""), view()).apply(state)); // the same plan again
        assertRejected(Reason.RELEASE_ON, OperatorCommands.begin("op", plan("q", ",names:['w0']"), view()));
        assertRejected(
                Reason.RELEASE_ON,
                OperatorCommands.grantManualOutage("op", "w3", state.stabilityVersion(), view(), "disk"));
        grantOutage("w0");
        apply(OperatorCommands.abandon("op", "", state.controlVersion()));
        assertRejected(Reason.NOT_DUE, InstanceCommands.finish("d0", view()));
        assertRejected(Reason.RELEASE_ON, OperatorCommands.begin("op", plan("q", ",names:['w0']"), view()));
        apply(InstanceCommands.relinquishOutage(
                "d0", state.plannedOutages().get("w0").number()));
        apply(InstanceCommands.finish("d0", view()));
        assertRejected(Reason.NAME_USED, OperatorCommands.begin("op", plan("r", ""), view()));
        apply(OperatorCommands.grantManualOutage("op", "w0", state.stabilityVersion(), view(), "disk"));
        apply(OperatorCommands.begin("op", plan("q", ",names:['w0']"), view()));
        assertRejected(
                Reason.NOT_DUE,
                InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view())); // it has a manual outage
        confirmReturn("w0", "2");
        apply(InstanceCommands.finish("d0", view()));
        assertEquals(Phase.DONE, state.phase());
        assertRejected(Reason.NAME_USED, OperatorCommands.begin("op", plan("r", ""), view()));
    }

    private static ReleaseCommand drainCheck(String member) {
        return now -> {
            DrainPermission.require(now, member);
            return now;
        };
    }

    @Test
    void rejectsOutdatedCallsAndUnexplainedForcedDrains() throws ReleaseRejectedException {
        DrainPermission.require(state, "d0"); // neither a release nor a limit is in force
        beginRelease();
        assertRejected(Reason.NO_LEAVE, drainCheck("d0"));
        assertRejected(Reason.NO_LEAVE, OperatorCommands.forceDrain("op", "d0", " "));
        apply(OperatorCommands.forceDrain("op", "d0", "fire"));
        assertEquals("fire", state.log().get(state.log().size() - 1).why());
        assertTrue(state.unavailableMembers().contains("d0"));
        long before = state.controlVersion();
        apply(OperatorCommands.halt("op", "one"));
        long one = state.controlVersion();
        assertRejected(Reason.STALE, OperatorCommands.resume("op", "", before));
        apply(OperatorCommands.halt("op", "two"));
        for (ReleaseCommand late : List.of(
                OperatorCommands.resume("op", "", one),
                OperatorCommands.rollBack("op", "", one),
                OperatorCommands.abandon("op", "", one))) {
            assertRejected(Reason.STALE, late);
        }
        assertRejected(Reason.HALTED, InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view()));
        apply(OperatorCommands.resume("op", "", state.controlVersion()));
        grantOutage("w0");
        DrainPermission.require(state, "w0");
        RolloutState rolls =
                OperatorCommands.rollBack("op", "", state.controlVersion()).apply(state);
        apply(OperatorCommands.halt("op", "three"));
        one = state.controlVersion();
        assertRejected(Reason.HALTED, drainCheck("w0")); // an outage granted before the halt permits no drain now
        apply(OperatorCommands.resume("op", "", state.controlVersion()));
        RolloutState goesOn = state;
        state = rolls;
        assertRejected(Reason.STALE, drainCheck("w0"));
        state = goesOn;
        assertEquals(state, FaultCommands.haltAutomatically("d1", "late", one).apply(state));
    }
}

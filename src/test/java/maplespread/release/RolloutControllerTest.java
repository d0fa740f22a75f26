package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.FleetView.Status;
import maplespread.release.RolloutController.Decision;
import maplespread.release.RolloutState.Phase;
import org.junit.jupiter.api.Test;

/** Time-dependent behavior of one instance's controller. */
class RolloutControllerTest extends ReleaseFixture {
    /** Evaluates every 100 ms, applies the proposals, and returns the actions of the last evaluation. */
    private List<RolloutAction> evaluateEach100Ms(RolloutController controller, long from, long to, boolean majority) {
        List<RolloutAction> actions = List.of();
        for (long time = from; time <= to; time += 100) {
            Decision next = controller.evaluate(time, state, view(), majority);
            for (ReleaseCommand command : next.proposals()) {
                try {
                    apply(command);
                } catch (ReleaseRejectedException e) {
                    assertTrue(majority);
                }
            }
            actions = next.actions();
        }
        return actions;
    }

    private static RolloutController controller(long now) {
        return new RolloutController(RolloutController.Settings.DEFAULT, "d0", now);
    }

    @Test
    void waitsAWholeQuietPeriodAlsoAfterAPause() throws ReleaseRejectedException {
        beginRelease();
        RolloutController controller = controller(0);
        evaluateEach100Ms(controller, 0, 900, true);
        RolloutController other = controller(900);
        evaluateEach100Ms(other, 900, 1_800, true);
        evaluateEach100Ms(controller, 3_900, 4_800, true); // its process was paused from 900 to 3900
        assertEquals(0, state.lastOutageNumber());
        evaluateEach100Ms(other, 1_900, 2_000, true);
        assertEquals(1, state.lastOutageNumber());
        confirmReturn("w0", "2");
        evaluateEach100Ms(other, 2_100, 3_000, true);
        assertEquals(1, state.lastOutageNumber());
        evaluateEach100Ms(other, 3_100, 3_200, true);
        assertEquals(3, state.lastOutageNumber()); // w1 and w2 are one step
        confirmReturn("w1", "2");
        confirmReturn("w2", "2");
        setMember("w3", 1, "1", Status.DOWN);
        evaluateEach100Ms(other, 3_300, 9_000, true);
        assertEquals(3, state.lastOutageNumber()); // a member with an unplanned outage gets no planned one
        assertEquals(List.of("w3"), List.copyOf(state.unplannedOutages().keySet()));
    }

    @Test
    void haltsWhenAMemberIsNotBackInTimeAndKeepsItsOutage() throws ReleaseRejectedException {
        beginRelease();
        RolloutController controller = controller(0);
        assertEquals(List.of(new RolloutAction.Drain("w0", 1, 1)), evaluateEach100Ms(controller, 0, 1_100, true));
        setMember("w0", 1, "1", Status.UNKNOWN);
        evaluateEach100Ms(controller, 1_200, 21_000, true);
        assertEquals(Phase.RUNNING, state.phase());
        evaluateEach100Ms(controller, 21_100, 21_300, true);
        assertEquals("w0 is not back after 20000 ms", state.halt().why());
        evaluateEach100Ms(controller, 21_400, 999_000, true);
        apply(OperatorCommands.resume("op", "", state.controlVersion()));
        evaluateEach100Ms(controller, 999_100, 1_005_000, true);
        assertTrue(state.plannedOutages().containsKey("w0") && state.lastOutageNumber() == 1 && state.halt() == null);
        apply(OperatorCommands.removeMember("op", "w0"));
        assertTrue(state.plannedOutages().isEmpty());
    }

    @Test
    void cancelsDrainsOnAHaltAndEndsTheirOutagesOnlyAfterwards() throws ReleaseRejectedException {
        beginRelease();
        RolloutController controller = controller(0);
        evaluateEach100Ms(controller, 0, 1_100, true);
        apply(OperatorCommands.halt("op", ""));
        assertEquals(
                List.of(new RolloutAction.CancelDrain("w0", 1, 1)), evaluateEach100Ms(controller, 1_200, 4_000, true));
        assertTrue(state.plannedOutages().containsKey("w0"));
        setMember("w0", 1, "1", Status.DRAINING);
        assertEquals(
                List.of(), evaluateEach100Ms(controller, 4_100, 4_200, true)); // it drains, and its return is awaited
        apply(OperatorCommands.abandon("op", "", state.controlVersion()));
        assertEquals(
                List.of(new RolloutAction.CancelDrain("w0", 1, 1)), evaluateEach100Ms(controller, 4_300, 4_400, true));
        setMember("w0", 1, "1", Status.SERVING);
        controller.drainCancelled(1);
        evaluateEach100Ms(controller, 4_500, 9_000, true);
        assertEquals(Phase.ABANDONED, state.phase());
    }

    @Test
    void haltsOnAWorseServiceLevelButNotWhileRollingBack() throws ReleaseRejectedException {
        ServiceLevel[] worse = {
            new ServiceLevel(0.07, 0, 10, 1_000),
            new ServiceLevel(0.01, 0.03, 10, 1_000),
            new ServiceLevel(0.01, 0, 16, 1_000)
        };
        for (ServiceLevel bad : worse) {
            stateIn("none");
            service = new ServiceLevel(0.01, 0, 10, 1_000);
            beginRelease();
            RolloutController controller = controller(0);
            service = new ServiceLevel(bad.refusedShare(), bad.errorShare(), bad.waitMs(), 50);
            evaluateEach100Ms(controller, 0, 300, true); // too few samples to judge by
            assertEquals(Phase.RUNNING, state.phase());
            service = bad;
            evaluateEach100Ms(controller, 400, 400, true);
            assertEquals(Phase.HALTED, state.phase());
            apply(OperatorCommands.resume("op", "", state.controlVersion()));
            evaluateEach100Ms(controller, 500, 800, true); // the operator has accepted this service level
            evaluateEach100Ms(controller(500), 500, 800, true);
            assertEquals(Phase.RUNNING, state.phase());
            service = new ServiceLevel(0.2, 0.1, 40, 1_000);
            evaluateEach100Ms(controller, 900, 900, true);
            assertEquals(Phase.HALTED, state.phase());
            apply(OperatorCommands.rollBack("op", "", state.controlVersion()));
            evaluateEach100Ms(controller, 1_000, 2_100, true);
            assertEquals(Phase.ROLLED_BACK, state.phase()); // nothing had changed yet
        }
    }

    @Test
    void haltsOnTooManyUnplannedOutages() throws ReleaseRejectedException {
        beginRelease();
        setMember("d1", 1, "1", Status.DOWN);
        setMember("d2", 1, "1", Status.DOWN);
        RolloutController controller = controller(0);
        evaluateEach100Ms(controller, 0, 1_900, true);
        assertEquals(2, state.unplannedOutages().size());
        assertEquals(Phase.RUNNING, state.phase());
        evaluateEach100Ms(controller, 2_000, 2_300, true);
        assertTrue(state.halt().why().startsWith("limit exceeded"), String.valueOf(state.halt()));
    }

    /** Further unplanned outages must not restart the wait before the halt. */
    @Test
    void haltsAsSoonWhenUnplannedOutagesKeepComing() throws ReleaseRejectedException {
        beginRelease();
        RolloutController controller = controller(0);
        long time = 0;
        for (String id :
                List.of("d1", "w0", "w1", "w2", "w3", "d2")) { // one every 400 ms, reported by another instance
            setMember(id, 1, "1", Status.DOWN);
            apply(FaultCommands.recordObservations("d1", state.stabilityVersion(), List.of(id), List.of()));
            evaluateEach100Ms(controller, time, time + 300, true);
            time += 400;
        }
        assertTrue(
                state.halt() != null && state.halt().why().startsWith("limit exceeded"), String.valueOf(state.halt()));
    }

    @Test
    void haltsAfterALossOfMajorityUnlessOthersHadOne() throws ReleaseRejectedException {
        beginRelease();
        RolloutController controller = controller(0);
        evaluateEach100Ms(controller, 0, 100, true);
        evaluateEach100Ms(controller, 200, 5_000, false);
        evaluateEach100Ms(controller, 5_100, 5_200, true); // too short a loss
        assertEquals(Phase.RUNNING, state.phase());
        evaluateEach100Ms(controller, 5_300, 16_000, false);
        apply(InstanceCommands.recordHeartbeat(state.heartbeats())); // another instance has reached a majority
        evaluateEach100Ms(controller, 16_100, 16_200, true);
        assertEquals(Phase.RUNNING, state.phase());
        evaluateEach100Ms(controller, 16_300, 16_400, false);
        evaluateEach100Ms(controller, 27_000, 27_100, false); // after a process pause
        evaluateEach100Ms(controller, 27_200, 27_300, true);
        assertEquals(Phase.RUNNING, state.phase());
        evaluateEach100Ms(controller, 27_400, 37_500, false);
        evaluateEach100Ms(controller, 37_600, 37_600, true);
        assertTrue(state.halt().why().startsWith("no majority"), String.valueOf(state.halt()));
    }
}

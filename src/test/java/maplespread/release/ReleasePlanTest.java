package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Status;
import maplespread.release.ReleaseRejectedException.Reason;
import org.junit.jupiter.api.Test;

/** Plans: selected members, steps, and validation. */
class ReleasePlanTest extends ReleaseFixture {
    /** The last worker is of another kind; the first two are of one cell, and so are the others. */
    private void giveWorkersKindsAndCells() throws ReleaseRejectedException {
        for (int i = 0; i < 4; i++) {
            Member member = fleet.get("w" + i);
            fleet.put(
                    "w" + i,
                    new Member(
                            member.id(),
                            member.address(),
                            member.role(),
                            member.zone(),
                            i < 3 ? "k" : "big",
                            "c" + i / 2,
                            1,
                            "1",
                            Status.SERVING,
                            10,
                            true));
        }
        apply(OperatorCommands.setLimits("op", new Limits(2, 4, Limits.ANY, Limits.ANY, 0, 0, 9_000, 1, 1, 9)));
    }

    @Test
    void selectsMembersAndSplitsThemIntoSteps() throws ReleaseRejectedException {
        giveWorkersKindsAndCells();
        String table = """
            dispatchers:false,zones:['z1']                 [[w1], [w3]]
            dispatchers:false,kinds:['big']                [[w3]]
            dispatchers:false,cells:['c0']                 [[w0], [w1]]
            dispatchers:false,order:['zone'],steps:[9]     [[w0, w2], [w1, w3]]
            dispatchers:false,order:['kind'],steps:[2]     [[w3], [w0, w1], [w2]]
            dispatchers:false,order:['cell','zone'],steps:[9] [[w0, w1], [w2, w3]]
            first:'dispatchers',steps:[2,9]                [[d0, d1], [d2], [w0, w1, w2, w3]]
            workers:false,names:['d2','d0']                [[d0], [d2]]
            """;
        for (String line : table.lines().toList()) {
            String[] cell = line.split(" {2,}| (?=\\[\\[)");
            String more = "{id:'p',workers:true,dispatchers:true," + cell[0] + "}";
            ReleasePlan plan =
                    ReleasePlan.read(more.replace(cell[0].contains("workers:false") ? "workers:true," : "~", "")
                            .replace(cell[0].contains("dispatchers:false") ? "dispatchers:true," : "~", ""));
            assertEquals(
                    cell[1],
                    OperatorCommands.begin("op", plan, view())
                            .apply(state)
                            .release()
                            .steps()
                            .toString(),
                    line);
        }
    }

    @Test
    void countsUnavailableWorkersByZoneAndKind() throws ReleaseRejectedException {
        giveWorkersKindsAndCells();
        apply(InstanceCommands.updateMembers("d0", state.stabilityVersion(), new ArrayList<>(fleet.values())));
        // Limits of workers over all, of a zone, of a kind; whether w0 may drain while w1 is down, and while w2 is.
        double[][] table = {
            {1, 9, 9, 0, 0}, {2, 9, 9, 1, 1}, {9, 1, 9, 1, 0}, {9, 0.5, 9, 1, 0}, {9, 9, 1, 0, 0}, {9, 9, 0.7, 1, 1}
        };
        for (double[] row : table) {
            apply(OperatorCommands.setLimits("op", new Limits(9, row[0], row[1], row[2], 0, 0, 9_000, 1, 1, 9)));
            for (int other = 1; other <= 2; other++) {
                setMember("w" + other, 1, "1", Status.DOWN);
                ReleaseCommand command =
                        OperatorCommands.grantManualOutage("op", "w0", state.stabilityVersion(), view(), "");
                if (row[2 + other] == 0) {
                    assertRejected(Reason.LIMIT, command);
                } else {
                    command.apply(state);
                }
                setMember("w" + other, 1, "1", Status.SERVING);
            }
        }
    }

    @Test
    void rejectsPlansThatCannotBeCarriedOut() throws ReleaseRejectedException {
        apply(OperatorCommands.setLimits("op", LIMITS));
        for (String more : List.of(
                ",order:['size']",
                ",steps:[0]",
                ",steps:[]",
                ",limit:1",
                ",limits:{out:1}",
                ",limits:{workers_out:-1}",
                ",zones:'a'",
                ",first:'all'",
                ",limits:{workers_out:0}",
                ",limits:{dispatchers_out:0.2}",
                ",limits:{least_capacity:0.8}",
                ",zones:['none']",
                "],")) {
            ReleaseRejectedException rejected = assertThrows(
                    ReleaseRejectedException.class,
                    () -> OperatorCommands.begin("op", plan("p", more), view()).apply(state),
                    more);
            assertEquals(Reason.BAD_PLAN, rejected.reason(), more);
            assertTrue(Stream.of(rejected.problem(), rejected.unaffected(), rejected.remedy())
                    .noneMatch(String::isEmpty));
        }
        assertRejected(Reason.MEMBER, OperatorCommands.begin("op", plan("p", ",names:['w8']"), view()));
        apply(OperatorCommands.setLimits("op", null));
        assertRejected(Reason.BAD_PLAN, OperatorCommands.begin("op", plan("p", ""), view()));
    }
}

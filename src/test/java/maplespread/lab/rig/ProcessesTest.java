package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Several real processes with faults between them. Verdicts rest on the rules, never on how fast it went. */
class ProcessesTest {
    private static final String SUBSET =
            "{\"subset\":{\"sharers\":3,\"least\":6}," + "\"shares\":{\"beyond\":\"give_way\"}}";

    /** Five that share a dozen workers, all parts on, among kills, pauses, cuts, resets and cold starts. */
    @Test
    void noRuleIsBrokenWhileThingsBreak() throws Exception {
        Rig rig = new Rig(new Rig.Plan(5, 12, 11, 0, Rig.Operator.same(SUBSET), 60));
        List<String> thrown;
        try (rig) {
            for (int w = 0; w < 3; w++) {
                rig.workers.get(w * 4).slow(4);
                rig.restartWorker(w * 4 + 1);
            }
            // The hard case by name: an order that has come whole, and whose connection then ends.
            rig.workers.forEach(w -> w.ways[0].fault = FaultLink.Fault.RESET);
            await(rig, () -> rig.ledger.cutOff.sum() >= 8, "no order was cut off");
            rig.workers.forEach(w -> w.ways[0].fault = FaultLink.Fault.NONE);
            thrown = new FaultSchedule(rig, 11).blow(18, 350);
            long served = rig.ledger.served.sum();
            await(rig, () -> rig.ledger.served.sum() >= served + 60, "no service after the storm");
        }
        assertEquals(List.of(), rig.wrongs(), thrown + "; " + rig.ledger + "; logs in " + rig.folder());
        assertTrue(rig.ledger.orders() > 20, rig.ledger.toString());
        rig.dispatchers.forEach(d -> assertFalse(d.alive(), "a process was left behind"));
    }

    private static void await(Rig rig, BooleanSupplier condition, String otherwise) throws Exception {
        long end = System.nanoTime() + 60_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, otherwise + ": " + rig.ledger);
            Thread.sleep(20);
        }
    }
}

package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Several real processes with faults between them. Verdicts rest on the rules, never on how fast it went. */
class ProcessesTest {
    private static final String SUBSET = "{\"subset\":{\"sharers\":3,\"least\":6},"
        + "\"shares\":{\"beyond\":\"give_way\"}}";

    /** Five that share a dozen workers, all parts on, among kills, pauses, cuts, resets and cold starts. */
    @Test void noRuleIsBrokenWhileThingsBreak() throws Exception {
        Rig rig = new Rig(new Rig.Plan(5, 12, 11, 0, SUBSET, 60));
        List<String> thrown;
        try (rig) {
            for (int w = 0; w < 3; w++) {
                rig.workers.get(w * 4).slow(4);
                rig.restartWorker(w * 4 + 1);
            }
            thrown = new Storm(rig, 11).blow(18, 350);
            long served = rig.ledger.served.sum();
            long end = System.nanoTime() + 60_000_000_000L;
            while (rig.ledger.served.sum() < served + 60) {      // they serve again, all of them
                assertTrue(System.nanoTime() < end, "no service after the storm: " + rig.ledger);
                Thread.sleep(20);
            }
        }
        assertEquals(List.of(), rig.wrongs(), thrown + "; " + rig.ledger + "; logs in " + rig.folder());
        assertTrue(rig.ledger.orders() > 20, rig.ledger.toString());
        rig.dispatchers.forEach(d -> assertFalse(d.alive(), "a process was left behind"));
    }
}

package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplespread.lab.rig.GroupLinks.Trouble;
import org.junit.jupiter.api.Test;

/** Order over real processes while things break. Verdicts rest on the rules, never on how fast it went. */
class PartitionProcessesTest {
    private static final long RUNS_MS = 1500;                    // no machine is so late

    /** Four dispatchers: connections reset, tables changed, one stopped, one cut off, one killed. */
    @Test void orderHoldsWhileThingsBreak() throws Exception {
        PartitionPlay play = new PartitionPlay(new PartitionPlay.Plan(4, 6, 30, 16, 60, 3, true), RUNS_MS);
        KeyJudge.Verdict seen;
        try (play) {
            play.awaitReady();
            play.begin("k");
            play.served(60);
            play.rig.links.all(new Trouble(false, 0.1, 0.2, 0, 20));
            play.rig.workers.forEach(w -> w.ways[1].fault = Way.Fault.RESET);    // outcomes nobody knows
            play.await(() -> play.rig.ledger.cutOff.sum() >= 3, "orders that are cut off");
            play.rig.workers.forEach(w -> w.ways[1].fault = Way.Fault.NONE);
            play.change(1, RUNS_MS);
            play.rig.dispatchers.get(2).signal("STOP");
            play.awaitOwned(2, false);                           // the others have its slots
            play.served(20);
            play.rig.dispatchers.get(2).signal("CONT");          // and it wakes with what it held
            play.awaitOwned(2, true);
            play.cutOff(3, Trouble.CUT);
            play.awaitOwned(3, false);
            play.cutOff(3, Trouble.NONE);
            play.rig.kill(0);
            play.change(2, RUNS_MS);
            play.rig.restart(0);
            play.peace();
            seen = play.end();
        }
        assertEquals(List.of(), play.wrongs(), seen + "; " + play.rig.ledger + "; logs in " + play.folder());
        assertTrue(seen.ran() > 200 && play.rig.links.lost.sum() > 0, "nothing was tried: " + seen);
    }
}

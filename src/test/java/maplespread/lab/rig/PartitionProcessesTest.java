package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplespread.lab.rig.GroupLinks.Trouble;
import org.junit.jupiter.api.Test;

/** Order over real processes while things break. Verdicts rest on the rules, never on how fast it went. */
class PartitionProcessesTest {
    private static final long RUNS_MS = 1800;
    private static final double LONG_MS = 700; // of work
    private static final double SLOW = 1.6; // so it runs for 0.7 to 1.4 s

    /**
     * Three dispatchers over links that fail. Whoever owns the hot key has its attempts reset, is drained,
     * stopped and killed, and tables change, mostly while a long job of that key is out.
     */
    @Test
    void orderHoldsWhileThingsBreak() throws Exception {
        PartitionPlay play = new PartitionPlay(new PartitionPlay.Plan(3, 6, 30, 12, 60, 20, 3, true), RUNS_MS);
        OrderingChecker.Verdict seen;
        try (play) {
            play.awaitReady();
            play.rig.workers.forEach(w -> w.slow(SLOW));
            play.begin("k");
            play.hotRan(5);
            play.rig.links.all(new Trouble(false, 0.1, 0.2, 0, 20));
            int owner = play.hotOwner();
            play.rig.workers.forEach(w -> w.ways[owner].fault = FaultLink.Fault.RESET); // outcomes nobody knows
            play.await(() -> play.rig.ledger.cutOff.sum() >= 2, "orders that are cut off");
            play.rig.workers.forEach(w -> w.ways[owner].fault = FaultLink.Fault.NONE);
            play.longJob(LONG_MS);
            play.change(2, RUNS_MS); // the hot key's order by its tenant's
            play.rig.links.set(owner, (owner + 1) % 3, Trouble.CUT);
            play.hotRan(2);
            play.rig.links.all(Trouble.NONE);
            play.longJob(LONG_MS);
            play.change(1, RUNS_MS); // and by its own again
            play.hotRan(2);
            int drained = play.longJob(LONG_MS);
            play.rig.dispatchers.get(drained).call("POST", "/admin/quiesce", "");
            play.rig.relays.cut(); // whoever handed on knows nothing now
            play.awaitOwned(drained, false);
            play.hotRan(2);
            play.rig.dispatchers.get(drained).call("POST", "/admin/resume", "");
            play.awaitOwned(drained, true);
            int stopped = play.hotOwner();
            play.hotRan(2);
            play.rig.dispatchers.get(stopped).signal("STOP");
            play.awaitOwned(stopped, false);
            play.hotRan(2);
            play.rig.dispatchers.get(stopped).signal("CONT"); // and it wakes with what waited there
            play.hotRan(2);
            int killed = play.longJob(LONG_MS);
            play.rig.kill(killed);
            play.hotRan(2);
            play.rig.restart(killed);
            play.peace();
            seen = play.end();
        }
        assertEquals(List.of(), play.wrongs(), seen + "; " + play.rig.ledger + "; logs in " + play.folder());
        assertTrue(seen.ran() > 100 && play.rig.links.lost.sum() > 0, "nothing was tried: " + seen);
    }
}

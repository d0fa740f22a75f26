package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import maplespread.lab.rig.GroupLinks.Trouble;
import org.junit.jupiter.api.Test;

/** A release over real processes while things break. Verdicts rest on rules, never on how fast it went. */
class ReleaseProcessesTest {
    /**
     * Five dispatchers and ten workers, over links that fail; one is stopped, one is killed, one call
     * halts.
     */
    @Test
    void neverMoreOutThanTheLimitAndItEnds() throws Exception {
        ReleasePlay play = new ReleasePlay(new ReleasePlay.Plan(5, 10, 5, 2, 4, 3, 3, 1500, 40, true));
        try (play) {
            play.rig.links.all(new Trouble(false, 0.15, 0.2, 0, 30));
            play.begin();
            play.await(() -> play.count.workers() > 0, "a worker to leave");
            play.rig.dispatchers.get(3).signal("STOP");
            play.awaitAccident(3);
            play.rig.dispatchers.get(3).signal("CONT");
            play.await(() -> play.agreed("accidents") == 0, "its return");
            play.rig.kill(0); // the first of those that drive
            play.awaitAccident(0);
            play.awaitDispatchers(); // one alone: the killed one takes a place
            play.halt(40);
            play.rig.restart(0);
            play.end();
        }
        assertEquals(List.of(), play.wrongs(), play.rig.ledger + "; logs in " + play.rig.folder());
        assertTrue(play.most()[0] > 0 && play.links()[0] > 0 && play.links()[1] > 0, "nothing was tried");
    }

    /** Taken back when a dispatcher has been changed, while whoever drives is killed, with a second halt. */
    @Test
    void whatWasChangedReturnsAndNobodyElseLeaves() throws Exception {
        ReleasePlay play = new ReleasePlay(new ReleasePlay.Plan(5, 4, 9, 2, 2, 2, 2, 500, 30, true));
        try (play) {
            play.drop(0.1);
            play.begin();
            play.awaitDispatchers();
            play.halt(10);
            play.rollBack();
            play.rig.kill(0); // out by accident, or with its leave
            play.halt(10);
            play.rig.restart(0);
            play.end();
        }
        assertEquals(List.of(), play.wrongs(), play.rig.ledger + "; logs in " + play.rig.folder());
        assertTrue(play.most()[0] > 0 && play.links()[0] > 0, "nothing was tried");
    }
}

package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is starved, told by real processes while things break. Verdicts rest on what is said. */
class StarvationProcessesTest {
    @Test
    void theRightWordOrNoneWhateverBreaks() throws Exception {
        StarvationPlay play = new StarvationPlay(new StarvationPlay.Plan(3, 4, 7, 60));
        try (play) {
            play.play();
        }
        assertEquals(List.of(), play.wrongs(), play.rig.ledger + "; logs in " + play.rig.folder());
        assertTrue(play.looks() > 0, "nobody was asked");
    }
}

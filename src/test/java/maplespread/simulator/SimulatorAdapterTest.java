package maplespread.simulator;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
    private static final String START = "mark tMs=1000\n"
            + "enlist node=3 initSeed=51 balancers=1 classes.count=1 "
            + "classes.0.aimMs=400.0 classes.0.deadlineMs=10000.0 "
            + "classes.0.effect=read_like domain.classStretch=2.0 unknown.setting=x permissions.tryLimit=4 "
            + "reporting.fields=active,rps,x0\n"
            + "sheet setId=0 items=1\nrow executor=10.0.0.1:9000 health=active "
            + "rating=1 type=0 pack=0 site=0 novel=1\n"
            + "directory_update node=3 scope=C epoch=1 setId=0\nyour_turn\n";

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("done\n", SimulatorAdapter.exchange("mark tMs=8412.25\nyour_turn\n"));
    }

    @Test
    void aRequestIsAssignedAndIdenticalInputGivesIdenticalOutput() throws IOException {
        String in = START
                + "mark tMs=1002\narrival node=3 call=77 priority=0 dropDeadMs=11002 workHintMs=500 odd=1\n"
                + "your_turn\nmark tMs=1500\nfinished node=3 call=77 roundNo=0 executor=10.0.0.1:9000 "
                + "verdict=0 lagMs=498 "
                + "terminal=1 usage=1,2.5,3\nfinished node=3 call=99 roundNo=4 executor=9.9.9.9:1 "
                + "verdict=0 lagMs=1 "
                + "terminal=1\nyour_turn\n";
        String out = SimulatorAdapter.exchange(in);
        assertTrue(out.contains("assign node=3 call=77 executor=10.0.0.1:9000\n"), out);
        assertEquals(out, SimulatorAdapter.exchange(in));
    }

    @Test
    void malformedLinesAreNamed() {
        String[] bad = {
            "hello\n",
            "mark\n",
            "mark tMs=abc\n",
            "mark tMs=1\nnonsense node=1\nyour_turn\n",
            START + "mark tMs=1001\narrival node=3 priority=0\nyour_turn\n",
            START + "mark tMs=1001\narrival node=8 call=1 priority=0 dropDeadMs=2\nyour_turn\n",
            START + "mark tMs=1001\nsheet setId=0 items=2\nyour_turn\n",
            "mark tMs=1\n",
        };
        for (String in : bad) {
            var e = assertThrows(SimulatorAdapter.Malformed.class, () -> SimulatorAdapter.exchange(in), in);
            assertTrue(e.getMessage().startsWith("line "), e.getMessage());
        }
    }
}

package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.partition.HeartbeatTable.Heartbeat;
import maplespread.partition.HeartbeatTable.Report;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Three electors, silent after 100 ms, gone after 300; what each knows of one dispatcher. */
class HeartbeatTableTest {
    private static final List<String> ELECTORS = List.of("e0", "e1", "e2");
    private static final HeartbeatTable.Timeouts PATIENCE = new HeartbeatTable.Timeouts(100, 300);
    private static final SlotAssignment BEFORE = SlotAssignment.initial(4, "t").members(Set.of("x#1"));

    /** Each elector's word: its run of x, how long x is quiet, and ! where it wants no slots; -: none. */
    @ParameterizedTest
    @CsvSource({
        "1/50, 1/50, 1/50, x#1, ''",
        "1/50, 1/50, -, x#1, ''", // whoever two hear may stay
        "1/50, 1/200, 1/200, x#1, x#1",
        "1/50, 1/400, 1/400, '', ''",
        "1/400, 1/50, 1/50, x#1, ''", // one elector alone takes nobody's slots
        "1/50, 2/50, 1/50, x#2, ''", // a later run takes the place of an earlier
        "0/900, 0/900, 0/900, '', ''", // nobody has heard of it since they began
        "1/50!, 1/90, 1/90, x#1, ''", // the latest word of it counts,
        "1/90, 1/90, 1/50!, '', ''", // by its number
        "2/200, -, -, '', ''"
    }) // another run that no majority hears
    void aMajoritysEarsDecide(String e0, String e1, String e2, String members, String silent) {
        long now = 1000;
        HeartbeatTable h = new HeartbeatTable(0);
        String[] words = {e0, e1, e2};
        for (int i = 0; i < 3; i++) {
            if (!words[i].equals("-")) {
                String[] w = words[i].replace("!", "").split("/");
                long quiet = Long.parseLong(w[1]);
                long run = Long.parseLong(w[0]);
                boolean wants = !words[i].endsWith("!");
                if (i == 0 && run > 0) {
                    h.recordHeartbeat(now - quiet, "x", run, i, wants);
                } else if (i > 0) {
                    h.recordReport(
                            now - 10,
                            ELECTORS.get(i),
                            new Report(
                                    890, run == 0 ? Map.of() : Map.of("x", new Heartbeat(run, i, quiet - 10, wants))));
                }
            }
        }
        SlotAssignment after = h.nextAssignment(now, ELECTORS, "e0", BEFORE, PATIENCE);
        assertEquals(set(members), new TreeSet<>(after.members()));
        assertEquals(set(silent), new TreeMap<>(after.silent()).keySet());
        assertSame(after, h.nextAssignment(now, ELECTORS, "e0", after, PATIENCE), "nothing is left to change");
    }

    private static Set<String> set(String words) {
        return words.isEmpty() ? Set.of() : Set.of(words);
    }

    /** The first elector that is heard proposes; a word that comes late changes nothing. */
    @Test
    void oneElectorLeads() {
        HeartbeatTable h = new HeartbeatTable(0);
        Report nothing = new Report(10, Map.of());
        h.recordReport(45, "e2", nothing);
        assertEquals(false, h.isLeader(50, ELECTORS, "e1", 100), "it has just begun");
        assertEquals(true, h.isLeader(110, ELECTORS, "e1", 100));
        assertEquals(false, h.isLeader(110, ELECTORS, "x", 100));
        h.recordReport(120, "e0", nothing);
        assertEquals(false, h.isLeader(130, ELECTORS, "e1", 100), "an earlier one is heard");
        assertEquals(false, h.isLeader(225, ELECTORS, "e1", 100), "nobody is heard");
        h.recordReport(226, "e2", nothing);
        assertEquals(true, h.isLeader(226, ELECTORS, "e1", 100));
        h.recordReport(400, "e2", nothing);
        assertEquals(false, h.isLeader(400, ELECTORS, "e1", 100), "it stood still");
        assertEquals(false, h.isLeader(490, ELECTORS, "e1", 100));
        h.recordReport(499, "e2", nothing);
        assertEquals(true, h.isLeader(500, ELECTORS, "e1", 100));
        h.recordHeartbeat(20, "x", 1, 7, true);
        h.recordHeartbeat(30, "x", 1, 6, false); // overtaken on its way
        assertEquals(new Heartbeat(1, 7, 80, true), h.report(100).heartbeats().get("x"));
        h.retain(Set.of("e0"));
        assertEquals(Map.of(), h.report(100).heartbeats());
    }
}

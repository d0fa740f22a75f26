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
    private static final HeartbeatTable.Timeouts TIMEOUTS = new HeartbeatTable.Timeouts(100, 300);
    private static final SlotAssignment BEFORE = SlotAssignment.initial(4, "t").members(Set.of("x#1"));

    /** By elector: the incarnation of x that it heard, x's silence in ms, ! where x wants no slots; -: no report. */
    @ParameterizedTest
    @CsvSource({
        "1/50, 1/50, 1/50, x#1, ''",
        "1/50, 1/50, -, x#1, ''", // whoever two hear may stay
        "1/50, 1/200, 1/200, x#1, x#1",
        "1/50, 1/400, 1/400, '', ''",
        "1/400, 1/50, 1/50, x#1, ''", // one elector alone takes no slots away
        "1/50, 2/50, 1/50, x#2, ''", // a later incarnation takes the place of an earlier one
        "0/900, 0/900, 0/900, '', ''", // nobody has heard of it since they began
        "1/50!, 1/90, 1/90, x#1, ''", // the latest heartbeat counts,
        "1/90, 1/90, 1/50!, '', ''", // by its sequence number
        "2/200, -, -, '', ''"
    }) // another incarnation that no majority hears
    void membersFollowWhatAMajorityHears(String e0, String e1, String e2, String members, String silent) {
        long now = 1000;
        HeartbeatTable table = new HeartbeatTable(0);
        String[] seenBy = {e0, e1, e2};
        for (int i = 0; i < 3; i++) {
            if (!seenBy[i].equals("-")) {
                String[] parts = seenBy[i].replace("!", "").split("/");
                long silentForMs = Long.parseLong(parts[1]);
                long incarnation = Long.parseLong(parts[0]);
                boolean wantsSlots = !seenBy[i].endsWith("!");
                if (i == 0 && incarnation > 0) {
                    table.recordHeartbeat(now - silentForMs, "x", incarnation, i, wantsSlots);
                } else if (i > 0) {
                    table.recordReport(
                            now - 10,
                            ELECTORS.get(i),
                            new Report(
                                    890,
                                    incarnation == 0
                                            ? Map.of()
                                            : Map.of(
                                                    "x", new Heartbeat(incarnation, i, silentForMs - 10, wantsSlots))));
                }
            }
        }
        SlotAssignment after = table.nextAssignment(now, ELECTORS, "e0", BEFORE, TIMEOUTS);
        assertEquals(set(members), new TreeSet<>(after.members()));
        assertEquals(set(silent), new TreeMap<>(after.silent()).keySet());
        assertSame(after, table.nextAssignment(now, ELECTORS, "e0", after, TIMEOUTS), "nothing is left to change");
    }

    private static Set<String> set(String member) {
        return member.isEmpty() ? Set.of() : Set.of(member);
    }

    /** The first elector that is heard proposes; a heartbeat that was overtaken changes nothing. */
    @Test
    void onlyTheFirstHeardElectorLeads() {
        HeartbeatTable table = new HeartbeatTable(0);
        Report nothing = new Report(10, Map.of());
        table.recordReport(45, "e2", nothing);
        assertEquals(false, table.isLeader(50, ELECTORS, "e1", 100), "it has just begun");
        assertEquals(true, table.isLeader(110, ELECTORS, "e1", 100));
        assertEquals(false, table.isLeader(110, ELECTORS, "x", 100));
        table.recordReport(120, "e0", nothing);
        assertEquals(false, table.isLeader(130, ELECTORS, "e1", 100), "an earlier one is heard");
        assertEquals(false, table.isLeader(225, ELECTORS, "e1", 100), "nobody is heard");
        table.recordReport(226, "e2", nothing);
        assertEquals(true, table.isLeader(226, ELECTORS, "e1", 100));
        table.recordReport(400, "e2", nothing);
        assertEquals(false, table.isLeader(400, ELECTORS, "e1", 100), "its process was paused");
        assertEquals(false, table.isLeader(490, ELECTORS, "e1", 100));
        table.recordReport(499, "e2", nothing);
        assertEquals(true, table.isLeader(500, ELECTORS, "e1", 100));
        table.recordHeartbeat(20, "x", 1, 7, true);
        table.recordHeartbeat(30, "x", 1, 6, false); // overtaken on its way
        assertEquals(
                new Heartbeat(1, 7, 80, true), table.report(100).heartbeats().get("x"));
        table.retain(Set.of("e0"));
        assertEquals(Map.of(), table.report(100).heartbeats());
    }
}

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

/** Three electors and one dispatcher x, which is silent after 100 ms and removed after 300 ms. */
class HeartbeatTableTest {
    private static final List<String> ELECTORS = List.of("e0", "e1", "e2");
    private static final HeartbeatTable.Timeouts TIMEOUTS = new HeartbeatTable.Timeouts(100, 300);
    private static final SlotAssignment BEFORE = SlotAssignment.initial(4, "t").members(Set.of("x#1"));

    /**
     * Each elector's column has the incarnation of x that it heard, a slash, x's silence in ms, and ! if x wants no slots;
     * -: the elector has not reported. The last two columns are the expected members and silent members.
     */
    @ParameterizedTest
    @CsvSource({
        "1/50, 1/50, 1/50, x#1, ''",
        "1/50, 1/50, -, x#1, ''", // a dispatcher that two electors hear stays a member
        "1/50, 1/200, 1/200, x#1, x#1",
        "1/50, 1/400, 1/400, '', ''",
        "1/400, 1/50, 1/50, x#1, ''", // a single elector that hears nothing takes no slots away
        "1/50, 2/50, 1/50, x#2, ''", // a later incarnation replaces an earlier one
        "0/900, 0/900, 0/900, '', ''", // no elector has heard it since the electors started
        "1/50!, 1/90, 1/90, x#1, ''", // the heartbeat with the highest sequence number counts: it wants slots
        "1/90, 1/90, 1/50!, '', ''", // the heartbeat with the highest sequence number counts: it wants no slots
        "2/200, -, -, '', ''"
    }) // last row: another incarnation, which no majority hears
    void membersFollowWhatAMajorityHears(String e0, String e1, String e2, String members, String silent) {
        long nowMs = 1000;
        HeartbeatTable table = new HeartbeatTable(0);
        String[] seenBy = {e0, e1, e2};
        for (int i = 0; i < 3; i++) {
            if (!seenBy[i].equals("-")) {
                String[] parts = seenBy[i].replace("!", "").split("/");
                long silentForMs = Long.parseLong(parts[1]);
                long incarnation = Long.parseLong(parts[0]);
                boolean wantsSlots = !seenBy[i].endsWith("!");
                if (i == 0 && incarnation > 0) {
                    table.recordHeartbeat(nowMs - silentForMs, "x", incarnation, i, wantsSlots);
                } else if (i > 0) {
                    table.recordReport(
                            nowMs - 10,
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
        SlotAssignment after = table.nextAssignment(nowMs, ELECTORS, "e0", BEFORE, TIMEOUTS);
        assertEquals(set(members), new TreeSet<>(after.members()));
        assertEquals(set(silent), new TreeMap<>(after.silent()).keySet());
        assertSame(
                after, table.nextAssignment(nowMs, ELECTORS, "e0", after, TIMEOUTS), "a second call changes nothing");
    }

    private static Set<String> set(String member) {
        return member.isEmpty() ? Set.of() : Set.of(member);
    }

    /** The first elector that is heard leads. A heartbeat that was overtaken by a newer one changes nothing. */
    @Test
    void onlyTheFirstHeardElectorLeads() {
        HeartbeatTable table = new HeartbeatTable(0);
        Report emptyReport = new Report(10, Map.of());
        table.recordReport(45, "e2", emptyReport);
        assertEquals(false, table.isLeader(50, ELECTORS, "e1", 100), "it has just started");
        assertEquals(true, table.isLeader(110, ELECTORS, "e1", 100));
        assertEquals(false, table.isLeader(110, ELECTORS, "x", 100));
        table.recordReport(120, "e0", emptyReport);
        assertEquals(false, table.isLeader(130, ELECTORS, "e1", 100), "it hears an elector that precedes it");
        assertEquals(false, table.isLeader(225, ELECTORS, "e1", 100), "it hears no other elector");
        table.recordReport(226, "e2", emptyReport);
        assertEquals(true, table.isLeader(226, ELECTORS, "e1", 100));
        table.recordReport(400, "e2", emptyReport);
        assertEquals(false, table.isLeader(400, ELECTORS, "e1", 100), "its process was paused");
        assertEquals(false, table.isLeader(490, ELECTORS, "e1", 100));
        table.recordReport(499, "e2", emptyReport);
        assertEquals(true, table.isLeader(500, ELECTORS, "e1", 100));
        table.recordHeartbeat(20, "x", 1, 7, true);
        table.recordHeartbeat(30, "x", 1, 6, false); // an older request that arrives late
        assertEquals(
                new Heartbeat(1, 7, 80, true), table.report(100).heartbeats().get("x"));
        table.retain(Set.of("e0"));
        assertEquals(Map.of(), table.report(100).heartbeats());
    }
}

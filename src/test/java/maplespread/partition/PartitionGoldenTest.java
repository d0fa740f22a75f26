package maplespread.partition;

import static maplespread.partition.Golden.assertGolden;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import maplespread.partition.RoutingTableParser.SiteNames;
import org.junit.jupiter.api.Test;

/**
 * Compares what other processes and operators see of this package with the recorded files: the JSON of the replicated
 * value, the error texts, and the hashes by which all members choose alike.
 */
class PartitionGoldenTest {
    private static final SiteNames SITE = new SiteNames(
            List.of("stock", "price"),
            List.of("a", "b"),
            List.of("z1", "z2"),
            List.of("big", "small"),
            List.of(new Partition.Worker("w1", "z1", "big", 1)));

    /** Uses sets of one element each, because larger sets are written in no fixed order. */
    @Test
    void theReplicatedValueIsWrittenAndReadAsRecorded() throws Exception {
        Map<String, SlotAssignment> assignments = new TreeMap<>();
        SlotAssignment initial = SlotAssignment.initial(2, "t1", 7);
        SlotAssignment withMember = initial.members(Set.of("n0#1"));
        SlotAssignment silent = withMember.silent(Set.of("n0#1"));
        SlotAssignment moved = silent.members(Set.of("n1#22"));
        SlotAssignment table = moved.table("t2", moved.tableEpoch());
        SlotAssignment stopped = table.stopKey("n1#22", "entity=1");
        assignments.put("1 first", initial);
        assignments.put("2 members", withMember);
        assignments.put("3 silent", silent);
        assignments.put("4 moved", moved);
        assignments.put("5 table", table);
        assignments.put("6 stopped", stopped);
        assignments.put("7 confirmed", stopped.confirmDrained("n0#1", Set.of(0)));
        assignments.put(
                "8 opened",
                stopped.forgetPreviousOwners(
                        "n1#22", Map.of(1, stopped.slots().get(1).ownedSinceEpoch())));
        assignments.put("9 again", stopped.reinitialized(1000));
        StringBuilder actual = new StringBuilder();
        assignments.forEach((name, assignment) -> {
            actual.append(name).append('\n').append(assignment.toJson()).append('\n');
            assertEquals(assignment, SlotAssignment.fromJson(assignment.toJson()), name);
        });
        assertGolden("agreed-values.txt", actual.toString());
    }

    /** All members must choose the same slots, owners and workers, whichever version they run. */
    @Test
    void hashesChooseAsRecorded() throws Exception {
        Set<String> members = new TreeSet<>(Set.of("n0#1", "n1#1", "n2#1"));
        SlotAssignment assignment = SlotAssignment.initial(32, "t").members(members);
        StringBuilder actual = new StringBuilder("owner of each slot: ");
        assignment
                .slots()
                .forEach(slot -> actual.append(SlotAssignment.dispatcherName(slot.owner()))
                        .append(' '));
        for (String key : List.of("entity=1", "entity=4711", "tenant=a", "label.x=1.0")) {
            actual.append("\nslot of ").append(key).append(": ").append(assignment.slotOf(key));
        }
        for (String value : List.of("", "a", "/p/1")) {
            actual.append("\nshare of '").append(value).append("': ").append(AttributeMatcher.Share.unitHash(value));
        }
        Partition lowerHalf = new Partition("p", Set.of(), Set.of(), Set.of(), 0, 0.5, false, new QueueLimits(1, 1, 1));
        actual.append("\nin the lower half of the ring:");
        for (int i = 0; i < 16; i++) {
            actual.append(lowerHalf.contains(new Partition.Worker("w" + i, "", "", 0)) ? " w" + i : "");
        }
        assertGolden("hashes.txt", actual + "\n");
    }

    /** Each line of the input is one table; the recorded file has the result below it. */
    @Test
    void tablesAreParsedOrRejectedAsRecorded() throws Exception {
        StringBuilder actual = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("src/test/resources/golden/partition/bad-tables.txt"))) {
            String result;
            try {
                RoutingTableParser.parse(line.replace('\'', '"'), SITE);
                result = "read";
            } catch (RoutingTableException e) {
                result = e.kind() + " | " + e.where() + " | " + e.getMessage();
            }
            actual.append(line).append('\n').append(result).append('\n');
        }
        String rows = "{},".repeat(4096);
        for (String large : List.of(
                "{\"rules\":[" + rows + "{}]}",
                "{\"rules\":[{\"when\":{\"label.x\":["
                        + IntStream.rangeClosed(0, 50_000).mapToObj(i -> "" + i).collect(Collectors.joining(","))
                        + "]}},{}]}")) {
            try {
                RoutingTableParser.parse(large, SITE);
            } catch (RoutingTableException e) {
                actual.append(e.kind()).append(" | ").append(e.getMessage()).append('\n');
            }
        }
        assertGolden("table-errors.txt", actual.toString());
    }
}

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
 * What other processes and operators see of this package, as it was recorded: the agreed value's text, error
 * texts, and the hashes by which all members choose alike.
 */
class PartitionGoldenTest {
    private static final SiteNames SITE = new SiteNames(
            List.of("stock", "price"),
            List.of("a", "b"),
            List.of("z1", "z2"),
            List.of("big", "small"),
            List.of(new Partition.Worker("w1", "z1", "big", 1)));

    /** Sets of one element each: those of several are written in no fixed order. */
    @Test
    void theAgreedValueIsWrittenAndReadAsRecorded() throws Exception {
        Map<String, SlotAssignment> all = new TreeMap<>();
        SlotAssignment first = SlotAssignment.initial(2, "t1", 7);
        SlotAssignment mine = first.members(Set.of("n0#1"));
        SlotAssignment silent = mine.silent(Set.of("n0#1"));
        SlotAssignment moved = silent.members(Set.of("n1#22"));
        SlotAssignment table = moved.table("t2", moved.tableEpoch());
        SlotAssignment stopped = table.stopKey("n1#22", "entity=1");
        all.put("1 first", first);
        all.put("2 members", mine);
        all.put("3 silent", silent);
        all.put("4 moved", moved);
        all.put("5 table", table);
        all.put("6 stopped", stopped);
        all.put("7 confirmed", stopped.confirmDrained("n0#1", Set.of(0)));
        all.put(
                "8 opened",
                stopped.forgetPreviousOwners(
                        "n1#22", Map.of(1, stopped.slots().get(1).ownedSinceEpoch())));
        all.put("9 again", stopped.reinitialized(1000));
        StringBuilder seen = new StringBuilder();
        all.forEach((name, owners) -> {
            seen.append(name).append('\n').append(owners.toJson()).append('\n');
            assertEquals(owners, SlotAssignment.fromJson(owners.toJson()), name);
        });
        assertGolden("agreed-values.txt", seen.toString());
    }

    /** All members must choose the same slots, owners and workers, whatever version they run. */
    @Test
    void hashesChooseAsRecorded() throws Exception {
        Set<String> members = new TreeSet<>(Set.of("n0#1", "n1#1", "n2#1"));
        SlotAssignment owners = SlotAssignment.initial(32, "t").members(members);
        StringBuilder seen = new StringBuilder("owner of each slot: ");
        owners.slots()
                .forEach(slot ->
                        seen.append(SlotAssignment.dispatcherName(slot.owner())).append(' '));
        for (String key : List.of("entity=1", "entity=4711", "tenant=a", "label.x=1.0")) {
            seen.append("\nslot of ").append(key).append(": ").append(owners.slotOf(key));
        }
        for (String value : List.of("", "a", "/p/1")) {
            seen.append("\nshare of '").append(value).append("': ").append(AttributeMatcher.Share.unitHash(value));
        }
        Partition half = new Partition("p", Set.of(), Set.of(), Set.of(), 0, 0.5, false, new QueueLimits(1, 1, 1));
        seen.append("\nin the lower half of the ring:");
        for (int i = 0; i < 16; i++) {
            seen.append(half.contains(new Partition.Worker("w" + i, "", "", 0)) ? " w" + i : "");
        }
        assertGolden("hashes.txt", seen + "\n");
    }

    /** Each line of the input is one table; the recorded text has the error below it. */
    @Test
    void tablesAreRefusedInTheRecordedWords() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (String line : Files.readAllLines(Path.of("src/test/resources/golden/partition/bad-tables.txt"))) {
            String answer;
            try {
                RoutingTableParser.parse(line.replace('\'', '"'), SITE);
                answer = "read";
            } catch (RoutingTableException e) {
                answer = e.kind() + " | " + e.where() + " | " + e.getMessage();
            }
            seen.append(line).append('\n').append(answer).append('\n');
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
                seen.append(e.kind()).append(" | ").append(e.getMessage()).append('\n');
            }
        }
        assertGolden("table-errors.txt", seen.toString());
    }
}

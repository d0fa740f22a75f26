package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The map of slots: what moves, what is remembered, and what it says of leases. */
class SlotAssignmentTest {
    private static Set<String> fleet(int n) {
        Set<String> all = new TreeSet<>();
        for (int i = 0; i < n; i++) {
            all.add("n" + i + "#1");
        }
        return all;
    }

    @Test
    void onlySlotsOfThoseThatComeOrGoMove() {
        SlotAssignment ten = SlotAssignment.initial(1024, "t").members(fleet(10));
        SlotAssignment eleven = SlotAssignment.fromJson(ten.members(fleet(11)).toJson());
        int moved = 0;
        for (int i = 0; i < 1024; i++) {
            SlotAssignment.Slot was = ten.slots().get(i);
            SlotAssignment.Slot is = eleven.slots().get(i);
            if (!was.owner().equals(is.owner())) {
                assertEquals("n10#1", is.owner());
                assertEquals(Set.of(was.owner()), is.previousOwners().keySet());
                assertEquals(eleven.epoch(), is.ownedSinceEpoch());
                moved++;
            } else {
                assertEquals(was, is);
            }
        }
        assertTrue(moved > 1024 / 11 * 0.6 && moved < 1024 / 11 * 1.5, "moved " + moved);
        SlotAssignment back = eleven.members(fleet(10));
        for (int i = 0; i < 1024; i++) {
            assertEquals(ten.slots().get(i).owner(), back.slots().get(i).owner());
        }
        Set<String> again = fleet(10);
        again.remove("n3#1");
        again.add("n3#2"); // restarted: the earlier run is a leaver
        SlotAssignment run = ten.members(again);
        for (int i = 0; i < 1024; i++) {
            boolean its = ten.slots().get(i).owner().equals("n3#1");
            assertEquals(
                    its ? Set.of("n3#1") : Set.of(),
                    run.slots().get(i).previousOwners().keySet());
        }
        again.add("n3#1");
        assertThrows(IllegalArgumentException.class, () -> ten.members(again));
    }

    /** A value that is begun anew keeps what operators have said, and comes after all that was. */
    @Test
    void aValueBegunAnewHasNoOwners() {
        SlotAssignment o = SlotAssignment.initial(8, "t").members(fleet(2)).table("u", 1);
        SlotAssignment again =
                o.stopKey(o.slots().get(o.slotOf("k")).owner(), "k").reinitialized(1000);
        assertEquals(
                SlotAssignment.initial(8, "u", 1000).members(fleet(3)).slots(),
                again.members(fleet(3)).slots());
        assertEquals(Set.of("k"), again.stoppedKeys());
        assertTrue(again.slots().stream()
                .allMatch(s -> s.owner().isEmpty() && s.previousOwners().isEmpty()));
        assertEquals(
                "u u 1000 1000 1000",
                again.table() + " " + again.previousTable() + " " + again.version() + " " + again.epoch() + " "
                        + again.tableEpoch());
    }

    @Test
    void leasesGoToMembersThatAreHeardAndKnowTheEpoch() {
        SlotAssignment o = SlotAssignment.initial(8, "t").members(fleet(2));
        assertTrue(o.grantsLease("n0#1", o.epoch())
                && !o.grantsLease("n0#1", o.epoch() - 1)
                && !o.grantsLease("n2#1", 99));
        SlotAssignment quiet = o.silent(Set.of("n0#1"));
        assertTrue(!quiet.grantsLease("n0#1", 99) && quiet.grantsLease("n1#1", quiet.epoch()));
        assertEquals(o.slots(), quiet.slots(), "nothing moves by silence");
        assertEquals(
                quiet.silent(),
                quiet.silent(Set.of("n0#1", "n1#1")).silent().entrySet().stream()
                        .filter(e -> e.getKey().equals("n0#1"))
                        .collect(java.util.stream.Collectors.toMap(e -> e.getKey(), e -> e.getValue())),
                "silence goes on unbroken");
        assertNotEquals(
                quiet.silent(), quiet.silent(Set.of()).silent(Set.of("n0#1")).silent());
        SlotAssignment next = o.table("u", o.tableEpoch());
        assertTrue(!next.grantsLease("n0#1", o.epoch()), "a table ends the leases of before");
        assertEquals(next, next.table("t", o.tableEpoch()), "who has not heard of it changes nothing");
        String mine = "n0#1".equals(o.slots().get(o.slotOf("k")).owner()) ? "n0#1" : "n1#1";
        assertEquals(Set.of("k"), o.stopKey(mine, "k").stoppedKeys());
        assertEquals(o, o.stopKey(mine.equals("n0#1") ? "n1#1" : "n0#1", "k"), "only its owner stops a key");
        assertEquals(Set.of(), o.stopKey(mine, "k").startKey("k").stoppedKeys());
    }
}

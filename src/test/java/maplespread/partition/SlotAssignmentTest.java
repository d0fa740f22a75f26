package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Which slots move, which previous owners are recorded, and which leases are granted. */
class SlotAssignmentTest {
    private static Set<String> memberNames(int count) {
        Set<String> members = new TreeSet<>();
        for (int i = 0; i < count; i++) {
            members.add("n" + i + "#1");
        }
        return members;
    }

    @Test
    void onlySlotsOfJoiningOrDepartingMembersMove() {
        SlotAssignment ten = SlotAssignment.initial(1024, "t").members(memberNames(10));
        SlotAssignment eleven =
                SlotAssignment.fromJson(ten.members(memberNames(11)).toJson());
        int moved = 0;
        for (int i = 0; i < 1024; i++) {
            SlotAssignment.Slot before = ten.slots().get(i);
            SlotAssignment.Slot after = eleven.slots().get(i);
            if (!before.owner().equals(after.owner())) {
                assertEquals("n10#1", after.owner());
                assertEquals(Set.of(before.owner()), after.previousOwners().keySet());
                assertEquals(eleven.epoch(), after.ownedSinceEpoch());
                moved++;
            } else {
                assertEquals(before, after);
            }
        }
        assertTrue(moved > 1024 / 11 * 0.6 && moved < 1024 / 11 * 1.5, "moved " + moved);
        SlotAssignment back = eleven.members(memberNames(10));
        for (int i = 0; i < 1024; i++) {
            assertEquals(ten.slots().get(i).owner(), back.slots().get(i).owner());
        }
        Set<String> restarted = memberNames(10);
        restarted.remove("n3#1");
        restarted.add("n3#2"); // the earlier incarnation becomes a previous owner
        SlotAssignment afterRestart = ten.members(restarted);
        for (int i = 0; i < 1024; i++) {
            boolean wasItsSlot = ten.slots().get(i).owner().equals("n3#1");
            assertEquals(
                    wasItsSlot ? Set.of("n3#1") : Set.of(),
                    afterRestart.slots().get(i).previousOwners().keySet());
        }
        restarted.add("n3#1");
        assertThrows(IllegalArgumentException.class, () -> ten.members(restarted));
    }

    /** A reinitialized assignment keeps the table and the stopped keys, and its numbers are beyond all earlier ones. */
    @Test
    void aReinitializedAssignmentHasNoOwners() {
        SlotAssignment assignment =
                SlotAssignment.initial(8, "t").members(memberNames(2)).table("u", 1);
        SlotAssignment reinitialized = assignment
                .stopKey(assignment.slots().get(assignment.slotOf("k")).owner(), "k")
                .reinitialized(1000);
        assertEquals(
                SlotAssignment.initial(8, "u", 1000).members(memberNames(3)).slots(),
                reinitialized.members(memberNames(3)).slots());
        assertEquals(Set.of("k"), reinitialized.stoppedKeys());
        assertTrue(reinitialized.slots().stream()
                .allMatch(
                        slot -> slot.owner().isEmpty() && slot.previousOwners().isEmpty()));
        assertEquals(
                "u u 1000 1000 1000",
                reinitialized.table() + " " + reinitialized.previousTable() + " " + reinitialized.version() + " "
                        + reinitialized.epoch() + " " + reinitialized.tableEpoch());
    }

    @Test
    void leasesAreGrantedToHeardMembersThatKnowTheEpoch() {
        SlotAssignment assignment = SlotAssignment.initial(8, "t").members(memberNames(2));
        assertTrue(assignment.grantsLease("n0#1", assignment.epoch())
                && !assignment.grantsLease("n0#1", assignment.epoch() - 1)
                && !assignment.grantsLease("n2#1", 99));
        SlotAssignment silent = assignment.silent(Set.of("n0#1"));
        assertTrue(!silent.grantsLease("n0#1", 99) && silent.grantsLease("n1#1", silent.epoch()));
        assertEquals(assignment.slots(), silent.slots(), "silence moves no slot");
        assertEquals(
                silent.silent(),
                silent.silent(Set.of("n0#1", "n1#1")).silent().entrySet().stream()
                        .filter(entry -> entry.getKey().equals("n0#1"))
                        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)),
                "a member that stays silent keeps its epoch");
        assertNotEquals(
                silent.silent(), silent.silent(Set.of()).silent(Set.of("n0#1")).silent());
        SlotAssignment changed = assignment.table("u", assignment.tableEpoch());
        assertTrue(!changed.grantsLease("n0#1", assignment.epoch()), "a new table ends earlier leases");
        assertEquals(
                changed,
                changed.table("t", assignment.tableEpoch()),
                "a change based on an earlier table has no effect");
        String owner =
                "n0#1".equals(assignment.slots().get(assignment.slotOf("k")).owner()) ? "n0#1" : "n1#1";
        assertEquals(Set.of("k"), assignment.stopKey(owner, "k").stoppedKeys());
        assertEquals(
                assignment,
                assignment.stopKey(owner.equals("n0#1") ? "n1#1" : "n0#1", "k"),
                "only the owner of its slot stops a key");
        assertEquals(Set.of(), assignment.stopKey(owner, "k").startKey("k").stoppedKeys());
    }
}

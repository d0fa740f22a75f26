package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The map of slots: what moves, what is remembered, and what it says of leases. */
class OwnersTest {
    private static Set<String> fleet(int n) {
        Set<String> all = new TreeSet<>();
        for (int i = 0; i < n; i++) {
            all.add("n" + i + "#1");
        }
        return all;
    }

    @Test
    void onlySlotsOfThoseThatComeOrGoMove() {
        Owners ten = Owners.first(1024, "t").members(fleet(10));
        Owners eleven = Owners.read(ten.members(fleet(11)).text());
        int moved = 0;
        for (int i = 0; i < 1024; i++) {
            Owners.Slot was = ten.slots().get(i);
            Owners.Slot is = eleven.slots().get(i);
            if (!was.owner().equals(is.owner())) {
                assertEquals("n10#1", is.owner());
                assertEquals(Set.of(was.owner()), is.leavers().keySet());
                assertEquals(eleven.epoch(), is.since());
                moved++;
            } else {
                assertEquals(was, is);
            }
        }
        assertTrue(moved > 1024 / 11 * 0.6 && moved < 1024 / 11 * 1.5, "moved " + moved);
        Owners back = eleven.members(fleet(10));
        for (int i = 0; i < 1024; i++) {
            assertEquals(ten.slots().get(i).owner(), back.slots().get(i).owner());
        }
        Set<String> again = fleet(10);
        again.remove("n3#1");
        again.add("n3#2"); // restarted: the earlier run is a leaver
        Owners run = ten.members(again);
        for (int i = 0; i < 1024; i++) {
            boolean its = ten.slots().get(i).owner().equals("n3#1");
            assertEquals(
                    its ? Set.of("n3#1") : Set.of(),
                    run.slots().get(i).leavers().keySet());
        }
        again.add("n3#1");
        assertThrows(IllegalArgumentException.class, () -> ten.members(again));
    }

    /** A value that is begun anew keeps what operators have said, and comes after all that was. */
    @Test
    void aValueBegunAnewHasNoOwners() {
        Owners o = Owners.first(8, "t").members(fleet(2)).table("u", 1);
        Owners again = o.stop(o.slots().get(o.slotOf("k")).owner(), "k").again(1000);
        assertEquals(
                Owners.first(8, "u", 1000).members(fleet(3)).slots(),
                again.members(fleet(3)).slots());
        assertEquals(Set.of("k"), again.stopped());
        assertTrue(again.slots().stream()
                .allMatch(s -> s.owner().isEmpty() && s.leavers().isEmpty()));
        assertEquals(
                "u u 1000 1000 1000",
                again.table() + " " + again.before() + " " + again.version() + " " + again.epoch() + " "
                        + again.tableSince());
    }

    @Test
    void leasesGoToMembersThatAreHeardAndKnowTheEpoch() {
        Owners o = Owners.first(8, "t").members(fleet(2));
        assertTrue(o.grants("n0#1", o.epoch()) && !o.grants("n0#1", o.epoch() - 1) && !o.grants("n2#1", 99));
        Owners quiet = o.silent(Set.of("n0#1"));
        assertTrue(!quiet.grants("n0#1", 99) && quiet.grants("n1#1", quiet.epoch()));
        assertEquals(o.slots(), quiet.slots(), "nothing moves by silence");
        assertEquals(
                quiet.silent(),
                quiet.silent(Set.of("n0#1", "n1#1")).silent().entrySet().stream()
                        .filter(e -> e.getKey().equals("n0#1"))
                        .collect(java.util.stream.Collectors.toMap(e -> e.getKey(), e -> e.getValue())),
                "silence goes on unbroken");
        assertNotEquals(
                quiet.silent(), quiet.silent(Set.of()).silent(Set.of("n0#1")).silent());
        Owners next = o.table("u", o.tableSince());
        assertTrue(!next.grants("n0#1", o.epoch()), "a table ends the leases of before");
        assertEquals(next, next.table("t", o.tableSince()), "who has not heard of it changes nothing");
        String mine = "n0#1".equals(o.slots().get(o.slotOf("k")).owner()) ? "n0#1" : "n1#1";
        assertEquals(Set.of("k"), o.stop(mine, "k").stopped());
        assertEquals(o, o.stop(mine.equals("n0#1") ? "n1#1" : "n0#1", "k"), "only its owner stops a key");
        assertEquals(Set.of(), o.stop(mine, "k").start("k").stopped());
    }
}

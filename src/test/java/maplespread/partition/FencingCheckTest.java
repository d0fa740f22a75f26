package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The fence by hand: a lease of 300 ms, clocks without drift, jobs of 100 ms: a hold of 402 ms. */
class FencingCheckTest {
    private static final SlotAssignment NONE = SlotAssignment.initial(1, "t");
    private static final SlotAssignment MINE = NONE.members(Set.of("n0#1"));
    private final FencingCheck fence = new FencingCheck(new LeaseSettings(3, 300, 0), "n0#1", NONE);

    private void lease(long now) {
        long asked = fence.startRenewal(now);
        fence.recordGrant(now, "e0", asked);
        fence.recordGrant(now, "e1", asked);
    }

    private long from(long now, SlotAssignment of) {
        return fence.sendAllowedFrom(now, 0, of.slots().get(0).ownedSinceEpoch());
    }

    @Test
    void aMajoritysWordHoldsForALeaseFromTheQuestion() {
        fence.learn(0, MINE, 100);
        long first = fence.startRenewal(0);
        fence.recordGrant(10, "e0", first);
        fence.recordGrant(10, "e0", first);
        assertFalse(fence.holdsLease(10), "one elector twice");
        long second = fence.startRenewal(50);
        fence.recordGrant(60, "e1", first);
        fence.recordGrant(60, "e1", second);
        assertFalse(fence.holdsLease(60), "answers to two questions");
        fence.recordGrant(200, "e2", second);
        assertTrue(fence.holdsLease(349) && !fence.holdsLease(350));
        assertEquals(FencingCheck.NEVER, from(350, MINE));
    }

    @Test
    void aSlotOpensWhenItsLeaversConfirmOrTheirTimeIsOver() {
        SlotAssignment theirs = NONE.members(Set.of("n1#1"));
        SlotAssignment mine = theirs.members(Set.of("n0#1"));
        fence.learn(1000, mine, 100);
        lease(1000);
        assertEquals(1402, from(1000, mine));
        assertEquals(Map.of(), fence.openedSlots(1401));
        assertEquals(Map.of(0, mine.slots().get(0).ownedSinceEpoch()), fence.openedSlots(1402));
        SlotAssignment opened = mine.forgetPreviousOwners("n0#1", fence.openedSlots(1402));
        assertEquals(Map.of(), opened.slots().get(0).previousOwners());
        assertSame(opened, opened.forgetPreviousOwners("n0#1", fence.openedSlots(1402)), "nothing is left to forget");
        SlotAssignment back = mine.members(Set.of("n1#1")).members(Set.of("n0#1"));
        assertSame(
                back, back.forgetPreviousOwners("n0#1", fence.openedSlots(1402)), "of a slot that went and came back");
        assertFalse(fence.learn(1100, theirs, 100), "older news");
        SlotAssignment quiet = theirs.silent(Set.of("n1#1"));
        SlotAssignment moved = quiet.members(Set.of("n0#1"));
        FencingCheck other = new FencingCheck(new LeaseSettings(3, 300, 0), "n0#1", NONE);
        other.learn(500, quiet, 100);
        other.learn(800, moved, 100);
        long asked = other.startRenewal(800);
        other.recordGrant(800, "e0", asked);
        other.recordGrant(800, "e1", asked);
        assertEquals(902, other.sendAllowedFrom(800, 0, moved.slots().get(0).ownedSinceEpoch()), "since it was silent");
        other.learn(850, moved.confirmDrained("n1#1", Set.of(0)), 100);
        assertEquals(850, other.sendAllowedFrom(850, 0, moved.slots().get(0).ownedSinceEpoch()));
    }

    @Test
    void whatWasTakenBeforeASlotWentAndCameBackStaysBehind() {
        fence.learn(0, MINE, 100);
        lease(0);
        assertEquals(0, from(0, MINE));
        SlotAssignment gone = MINE.members(Set.of("n1#1"));
        SlotAssignment back = gone.members(Set.of("n0#1"));
        assertEquals(Set.of("n1#1"), back.slots().get(0).previousOwners().keySet());
        fence.learn(100, back, 100); // it never heard that the slot was away
        assertEquals(FencingCheck.NEVER, from(100, MINE));
        assertEquals(502, from(100, back));
        fence.learn(200, gone.members(Set.of("n2#1")), 100);
        fence.learn(201, back.members(Set.of("n2#1")), 100);
        assertEquals(Set.of(0), fence.drainedSlots(slot -> true));
        assertEquals(Set.of(), fence.drainedSlots(slot -> false));
    }
}

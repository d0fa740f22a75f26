package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A lease of 300 ms, clocks without drift, requests of 100 ms: a hold time of 402 ms. */
class FencingCheckTest {
    private static final SlotAssignment OWNERLESS = SlotAssignment.initial(1, "t");
    private static final SlotAssignment OWNED = OWNERLESS.members(Set.of("n0#1"));
    private final FencingCheck fence = new FencingCheck(new LeaseSettings(3, 300, 0), "n0#1", OWNERLESS);

    private void grantLease(long now) {
        long asked = fence.startRenewal(now);
        fence.recordGrant(now, "e0", asked);
        fence.recordGrant(now, "e1", asked);
    }

    private long sendAllowedFrom(long now, SlotAssignment assignment) {
        return fence.sendAllowedFrom(now, 0, assignment.slots().get(0).ownedSinceEpoch());
    }

    @Test
    void aMajoritysGrantHoldsForALeaseFromTheQuestion() {
        fence.learn(0, OWNED, 100);
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
        assertEquals(FencingCheck.NEVER, sendAllowedFrom(350, OWNED));
    }

    @Test
    void aSlotOpensWhenPreviousOwnersConfirmOrTheHoldTimeIsOver() {
        SlotAssignment theirs = OWNERLESS.members(Set.of("n1#1"));
        SlotAssignment mine = theirs.members(Set.of("n0#1"));
        fence.learn(1000, mine, 100);
        grantLease(1000);
        assertEquals(1402, sendAllowedFrom(1000, mine));
        assertEquals(Map.of(), fence.openedSlots(1401));
        assertEquals(Map.of(0, mine.slots().get(0).ownedSinceEpoch()), fence.openedSlots(1402));
        SlotAssignment opened = mine.forgetPreviousOwners("n0#1", fence.openedSlots(1402));
        assertEquals(Map.of(), opened.slots().get(0).previousOwners());
        assertSame(opened, opened.forgetPreviousOwners("n0#1", fence.openedSlots(1402)), "nothing is left to forget");
        SlotAssignment back = mine.members(Set.of("n1#1")).members(Set.of("n0#1"));
        assertSame(
                back, back.forgetPreviousOwners("n0#1", fence.openedSlots(1402)), "of a slot that went and came back");
        assertFalse(fence.learn(1100, theirs, 100), "older news");
        SlotAssignment silent = theirs.silent(Set.of("n1#1"));
        SlotAssignment moved = silent.members(Set.of("n0#1"));
        FencingCheck other = new FencingCheck(new LeaseSettings(3, 300, 0), "n0#1", OWNERLESS);
        other.learn(500, silent, 100);
        other.learn(800, moved, 100);
        long asked = other.startRenewal(800);
        other.recordGrant(800, "e0", asked);
        other.recordGrant(800, "e1", asked);
        assertEquals(902, other.sendAllowedFrom(800, 0, moved.slots().get(0).ownedSinceEpoch()), "since it was silent");
        other.learn(850, moved.confirmDrained("n1#1", Set.of(0)), 100);
        assertEquals(850, other.sendAllowedFrom(850, 0, moved.slots().get(0).ownedSinceEpoch()));
    }

    @Test
    void requestsAcceptedBeforeASlotWentAndCameBackAreNotSent() {
        fence.learn(0, OWNED, 100);
        grantLease(0);
        assertEquals(0, sendAllowedFrom(0, OWNED));
        SlotAssignment gone = OWNED.members(Set.of("n1#1"));
        SlotAssignment back = gone.members(Set.of("n0#1"));
        assertEquals(Set.of("n1#1"), back.slots().get(0).previousOwners().keySet());
        fence.learn(100, back, 100); // it never heard that the slot was away
        assertEquals(FencingCheck.NEVER, sendAllowedFrom(100, OWNED));
        assertEquals(502, sendAllowedFrom(100, back));
        fence.learn(200, gone.members(Set.of("n2#1")), 100);
        fence.learn(201, back.members(Set.of("n2#1")), 100);
        assertEquals(Set.of(0), fence.drainedSlots(slot -> true));
        assertEquals(Set.of(), fence.drainedSlots(slot -> false));
    }
}

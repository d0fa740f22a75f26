package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** With a lease of 300 ms, requests of 100 ms and clocks without drift, the hold time is 402 ms. */
class FencingCheckTest {
    private static final SlotAssignment OWNERLESS = SlotAssignment.initial(1, "t");
    private static final SlotAssignment OWNED = OWNERLESS.members(Set.of("n0#1"));
    private final FencingCheck fencingCheck = new FencingCheck(new LeaseSettings(3, 300, 0), "n0#1", OWNERLESS);

    private void grantLease(long nowMs) {
        long round = fencingCheck.startRenewal(nowMs);
        fencingCheck.recordGrant(nowMs, "e0", round);
        fencingCheck.recordGrant(nowMs, "e1", round);
    }

    private long sendAllowedFrom(long nowMs, SlotAssignment assignment) {
        return fencingCheck.sendAllowedFrom(nowMs, 0, assignment.slots().get(0).ownedSinceEpoch());
    }

    @Test
    void aMajoritysGrantIsValidForOneLeaseDurationFromTheStartOfTheRound() {
        fencingCheck.learn(0, OWNED, 100);
        long firstRound = fencingCheck.startRenewal(0);
        fencingCheck.recordGrant(10, "e0", firstRound);
        fencingCheck.recordGrant(10, "e0", firstRound);
        assertFalse(fencingCheck.holdsLease(10), "the same elector twice is no majority");
        long secondRound = fencingCheck.startRenewal(50);
        fencingCheck.recordGrant(60, "e1", firstRound);
        fencingCheck.recordGrant(60, "e1", secondRound);
        assertFalse(fencingCheck.holdsLease(60), "grants of two rounds do not add up");
        fencingCheck.recordGrant(200, "e2", secondRound);
        assertTrue(fencingCheck.holdsLease(349) && !fencingCheck.holdsLease(350));
        assertEquals(FencingCheck.NEVER, sendAllowedFrom(350, OWNED));
    }

    @Test
    void aSlotOpensWhenPreviousOwnersConfirmOrTheHoldTimeIsOver() {
        SlotAssignment ownedByPeer = OWNERLESS.members(Set.of("n1#1"));
        SlotAssignment ownedBySelf = ownedByPeer.members(Set.of("n0#1"));
        fencingCheck.learn(1000, ownedBySelf, 100);
        grantLease(1000);
        assertEquals(1402, sendAllowedFrom(1000, ownedBySelf));
        assertEquals(Map.of(), fencingCheck.openedSlots(1401));
        assertEquals(Map.of(0, ownedBySelf.slots().get(0).ownedSinceEpoch()), fencingCheck.openedSlots(1402));
        SlotAssignment opened = ownedBySelf.forgetPreviousOwners("n0#1", fencingCheck.openedSlots(1402));
        assertEquals(Map.of(), opened.slots().get(0).previousOwners());
        assertSame(
                opened,
                opened.forgetPreviousOwners("n0#1", fencingCheck.openedSlots(1402)),
                "there are no previous owners left");
        SlotAssignment regained = ownedBySelf.members(Set.of("n1#1")).members(Set.of("n0#1"));
        assertSame(
                regained,
                regained.forgetPreviousOwners("n0#1", fencingCheck.openedSlots(1402)),
                "the slot was lost and regained in the meantime");
        assertFalse(fencingCheck.learn(1100, ownedByPeer, 100), "an older assignment is ignored");
        SlotAssignment silent = ownedByPeer.silent(Set.of("n1#1"));
        SlotAssignment moved = silent.members(Set.of("n0#1"));
        FencingCheck other = new FencingCheck(new LeaseSettings(3, 300, 0), "n0#1", OWNERLESS);
        other.learn(500, silent, 100);
        other.learn(800, moved, 100);
        long round = other.startRenewal(800);
        other.recordGrant(800, "e0", round);
        other.recordGrant(800, "e1", round);
        assertEquals(
                902,
                other.sendAllowedFrom(800, 0, moved.slots().get(0).ownedSinceEpoch()),
                "the hold time runs from when its silence was learned");
        other.learn(850, moved.confirmDrained("n1#1", Set.of(0)), 100);
        assertEquals(850, other.sendAllowedFrom(850, 0, moved.slots().get(0).ownedSinceEpoch()));
    }

    @Test
    void requestsAcceptedBeforeASlotWasLostAndRegainedAreNotSent() {
        fencingCheck.learn(0, OWNED, 100);
        grantLease(0);
        assertEquals(0, sendAllowedFrom(0, OWNED));
        SlotAssignment lost = OWNED.members(Set.of("n1#1"));
        SlotAssignment regained = lost.members(Set.of("n0#1"));
        assertEquals(Set.of("n1#1"), regained.slots().get(0).previousOwners().keySet());
        fencingCheck.learn(100, regained, 100); // the member never learned that the slot had moved away
        assertEquals(FencingCheck.NEVER, sendAllowedFrom(100, OWNED));
        assertEquals(502, sendAllowedFrom(100, regained));
        fencingCheck.learn(200, lost.members(Set.of("n2#1")), 100);
        fencingCheck.learn(201, regained.members(Set.of("n2#1")), 100);
        assertEquals(Set.of(0), fencingCheck.drainedSlots(slot -> true));
        assertEquals(Set.of(), fencingCheck.drainedSlots(slot -> false));
    }
}

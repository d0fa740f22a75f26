package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The fence by hand: a lease of 300 ms, clocks without drift, jobs of 100 ms: a hold of 402 ms. */
class FenceTest {
    private static final Owners NONE = Owners.first(1, "t");
    private static final Owners MINE = NONE.members(Set.of("n0#1"));
    private final Fence fence = new Fence(new FenceSettings(3, 300, 0), "n0#1", NONE);

    private void lease(long now) {
        long asked = fence.ask(now);
        fence.granted(now, "e0", asked);
        fence.granted(now, "e1", asked);
    }

    private long from(long now, Owners of) {
        return fence.from(now, 0, of.slots().get(0).since());
    }

    @Test
    void aMajoritysWordHoldsForALeaseFromTheQuestion() {
        fence.learned(0, MINE, 100);
        long first = fence.ask(0);
        fence.granted(10, "e0", first);
        fence.granted(10, "e0", first);
        assertFalse(fence.mayAct(10), "one elector twice");
        long second = fence.ask(50);
        fence.granted(60, "e1", first);
        fence.granted(60, "e1", second);
        assertFalse(fence.mayAct(60), "answers to two questions");
        fence.granted(200, "e2", second);
        assertTrue(fence.mayAct(349) && !fence.mayAct(350));
        assertEquals(Fence.NEVER, from(350, MINE));
    }

    @Test
    void aSlotOpensWhenItsLeaversConfirmOrTheirTimeIsOver() {
        Owners theirs = NONE.members(Set.of("n1#1"));
        Owners mine = theirs.members(Set.of("n0#1"));
        fence.learned(1000, mine, 100);
        lease(1000);
        assertEquals(1402, from(1000, mine));
        assertEquals(Map.of(), fence.opened(1401));
        assertEquals(Map.of(0, mine.slots().get(0).since()), fence.opened(1402));
        Owners opened = mine.opened("n0#1", fence.opened(1402));
        assertEquals(Map.of(), opened.slots().get(0).leavers());
        assertSame(opened, opened.opened("n0#1", fence.opened(1402)), "nothing is left to forget");
        Owners back = mine.members(Set.of("n1#1")).members(Set.of("n0#1"));
        assertSame(back, back.opened("n0#1", fence.opened(1402)), "of a slot that went and came back");
        assertFalse(fence.learned(1100, theirs, 100), "older news");
        Owners quiet = theirs.silent(Set.of("n1#1"));
        Owners moved = quiet.members(Set.of("n0#1"));
        Fence other = new Fence(new FenceSettings(3, 300, 0), "n0#1", NONE);
        other.learned(500, quiet, 100);
        other.learned(800, moved, 100);
        long asked = other.ask(800);
        other.granted(800, "e0", asked);
        other.granted(800, "e1", asked);
        assertEquals(902, other.from(800, 0, moved.slots().get(0).since()), "since it was silent");
        other.learned(850, moved.confirm("n1#1", Set.of(0)), 100);
        assertEquals(850, other.from(850, 0, moved.slots().get(0).since()));
    }

    @Test
    void whatWasTakenBeforeASlotWentAndCameBackStaysBehind() {
        fence.learned(0, MINE, 100);
        lease(0);
        assertEquals(0, from(0, MINE));
        Owners gone = MINE.members(Set.of("n1#1"));
        Owners back = gone.members(Set.of("n0#1"));
        assertEquals(Set.of("n1#1"), back.slots().get(0).leavers().keySet());
        fence.learned(100, back, 100); // it never heard that the slot was away
        assertEquals(Fence.NEVER, from(100, MINE));
        assertEquals(502, from(100, back));
        fence.learned(200, gone.members(Set.of("n2#1")), 100);
        fence.learned(201, back.members(Set.of("n2#1")), 100);
        assertEquals(Set.of(0), fence.confirms(slot -> true));
        assertEquals(Set.of(), fence.confirms(slot -> false));
    }
}

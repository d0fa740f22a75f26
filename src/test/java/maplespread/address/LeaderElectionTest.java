package maplespread.address;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.lab.address.VirtualElection;
import org.junit.jupiter.api.Test;

/** Elections by seeds on a hostile network; each failure names its seed. */
class LeaderElectionTest {
    private static final int RUNS = Integer.getInteger("elections", 40_000);

    /** One short run of whatever may happen; then all is healed, and one must own the address soon. */
    private static String play(int size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualElection e = new VirtualElection(size, 0.01, seed);
        e.loss = random.nextInt(3) * 0.1;
        e.twice = random.nextInt(3) * 0.2;
        e.delayMs = 1 + random.nextInt(3) * random.nextInt(400);
        e.run(450 + random.nextInt(600));
        for (int step = 0; step < 6 && e.fault().isEmpty(); step++) {
            int one = random.nextInt(4) == 0 ? random.nextInt(size) : Math.max(0, e.owner());
            switch (random.nextInt(7)) {
                case 0 -> e.kill(one);
                case 1 -> e.restart(one);
                case 2 -> e.pause(one, random.nextInt(900));
                case 3 -> e.cut(one, random.nextInt(size));
                case 4 -> {
                    int side = random.nextInt(1 << size);
                    for (int a = 0; a < size; a++) {
                        for (int b = 0; b < size; b++) {
                            if ((side >> a & 1) != (side >> b & 1)) {
                                e.cut(a, b);
                            }
                        }
                    }
                }
                case 5 -> e.heal();
                default -> e.giveUp(one, random.nextInt(size));
            }
            e.run(random.nextInt(500));
        }
        e.heal();
        e.loss = 0;
        e.twice = 0;
        e.delayMs = 2;
        for (int i = 0; i < size; i++) {
            if (e.dead(i)) {
                e.restart(i);
            }
        }
        long healed = e.now();
        while (e.fault().isEmpty() && e.owner() < 0 && e.now() - healed < 13_000) {
            e.run(10);
        }
        return !e.fault().isEmpty() ? e.fault() : e.owner() < 0 ? "nobody owns it 13 s after" : "";
    }

    @Test
    void neverTwoOwnersNeverALowerTermAndSoonOneAgain() {
        IntStream.range(0, RUNS).parallel().forEach(seed -> {
            int size = new int[] {3, 5, 7}[seed % 3];
            String fault = play(size, seed);
            assertTrue(fault.isEmpty(), "seed " + seed + " with " + size + ": " + fault);
        });
    }

    /** The bound on drift is what the safety rests on: beyond it, the simulation must see two owners. */
    @Test
    void clocksBeyondTheBoundAreSeenToBreakIt() {
        assertTrue(IntStream.range(0, 300).parallel().anyMatch(seed -> {
            VirtualElection e = new VirtualElection(3, 0.45, seed);
            for (int i = 0; i < 20 && e.fault().isEmpty(); i++) {
                e.run(500);
                int owner = Math.max(0, e.owner());
                e.heal();
                for (int other = 0; other < 3; other++) {
                    if (other != owner) {
                        e.cut(owner, other);
                        e.cut(other, owner);
                    }
                }
                e.run(1000);
            }
            return e.fault().contains("may act");
        }));
    }

    @Test
    void aDeadOwnerIsFollowedWithinASecondAndThePreferredComesBackOnce() {
        for (int seed = 0; seed < 50; seed++) {
            VirtualElection e = new VirtualElection(3, 0.01, seed);
            e.run(2000);
            e.takeLongestUnowned();
            e.kill(e.owner());
            e.run(1500);
            long unowned = e.takeLongestUnowned();
            assertTrue(unowned < 1000, "seed " + seed + ": " + unowned + " ms");
            e.restart(0);
            int before = e.hops();
            e.run(30_000);
            assertEquals(0, e.owner(), "the preferred one, seed " + seed);
            assertTrue(e.hops() - before <= 3, "hops " + (e.hops() - before));
        }
    }

    @Test
    void aPlannedHandOverLeavesTheAddressUnownedForAMoment() {
        VirtualElection e = new VirtualElection(5, 0.01, 1);
        e.run(2000);
        e.takeLongestUnowned();
        int old = e.owner();
        e.giveUp(old, (old + 1) % 5);
        e.run(300);
        assertEquals((old + 1) % 5, e.owner());
        assertTrue(e.takeLongestUnowned() <= 10);
    }

    /** One whose lease runs out each time rests longer and longer: the address does not flap with it. */
    @Test
    void anOwnerThatFlapsIsTakenUpSeldom() {
        VirtualElection e = new VirtualElection(3, 0.01, 2);
        e.run(2000);
        int before = e.hops();
        for (int i = 0; i < 60; i++) {
            int owner = e.owner();
            if (owner >= 0) {
                e.pause(owner, 700);
            }
            e.run(1000);
        }
        assertTrue(e.hops() - before <= 40, "hops in a minute: " + (e.hops() - before));
    }
}

package maplespread.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.Consumer;
import maplespread.lab.fleet.VirtualFleet.Plan;
import maplespread.lab.fleet.VirtualFleet.Result;
import org.junit.jupiter.api.Test;

/** Whole fleets in virtual time: each part on, beside a control with it off that shows the harm. */
class FleetPlayTest {
    private static Result play(int n, int m, long seed, Consumer<Plan> with) {
        Plan p = Plan.of(n, m);
        p.seed = seed;
        p.load = 0.75;
        with.accept(p);
        Result r = new VirtualFleet(p).run();
        assertEquals(0, r.twice(), "an order ran twice");
        return r;
    }

    @Test
    void subsetsServeMoreAndProbeLess() {
        for (long seed = 1; seed <= 2; seed++) {
            Result all = play(40, 100, seed, p -> {});
            Result some = play(40, 100, seed, p -> p.sharers = 10);
            Result best = play(40, 100, seed, p -> p.oracle = true);
            assertTrue(
                    some.worth() > all.worth() && some.worth() > 0.95 * best.worth(),
                    some + " against " + all + " and " + best);
            assertTrue(some.probes() < all.probes() / 2, some + " against " + all);
            assertTrue(some.herd() < 6, some.toString());
        }
    }

    @Test
    void faultsCostLessAndNoColdWorkerFalls() {
        Result all = play(20, 50, 1, Plan::broken);
        Result some = play(20, 50, 1, p -> {
            p.broken();
            p.sharers = 5;
        });
        assertTrue(some.worth() > all.worth(), some + " against " + all);
        assertTrue(all.overshoot() <= 1 && some.overshoot() <= 1, some + ", " + all);
    }

    /** Most workers start at once under full load: what each takes for its part has to add up. */
    @Test
    void aColdFleetIsSharedOutAndNotOverrun() {
        Consumer<Plan> cold = p -> {
            p.cold = 0.9;
            p.load = 1.1;
        };
        Result right = play(20, 40, 2, cold);
        Result some = play(20, 40, 2, cold.andThen(p -> p.sharers = 5));
        Result alone = play(20, 40, 2, cold.andThen(p -> p.told = 1));
        assertTrue(right.overshoot() <= 1 && some.overshoot() <= 1, right + ", " + some);
        assertTrue(
                alone.overshoot() > Math.max(right.overshoot(), some.overshoot()),
                alone + " believes each to be alone");
    }

    @Test
    void aGreedyTenantLeavesTheOthersTheirShare() {
        Consumer<Plan> greedy = p -> {
            p.greedy = 2.5;
            p.seconds = 31;
            p.sharers = 10;
        };
        for (int n : new int[] {1, 5, 20}) {
            Result off = play(n, 50, 1, greedy);
            Result on = play(n, 50, 1, greedy.andThen(p -> p.fair = true));
            assertTrue(on.unfair() <= 0.05 && on.unfair() < off.unfair(), n + ": " + on + " against " + off);
        }
    }

    @Test
    void theSameSeedPlaysTheSame() {
        assertEquals(play(5, 20, 9, Plan::broken), play(5, 20, 9, Plan::broken));
    }
}

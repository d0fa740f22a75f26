package maplespread.lab.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import maplespread.lab.partition.OrderingStrategies.Figures;
import maplespread.lab.partition.OrderingStrategies.Way;
import org.junit.jupiter.api.Test;

/** The figures by which the way was chosen. */
class VirtualWaysTest {
    @Test
    void anOwnerCostsOneHopAndALockNeitherOrdersNorBearsAHotKey() {
        for (double rate : new double[] {200, 400, 600}) {
            for (Way way : Way.values()) {
                System.out.println(rate + " jobs/s, " + way + ": " + OrderingStrategies.play(way, rate, 1));
            }
        }
        Figures owner = OrderingStrategies.play(Way.OWNER, 400, 1);
        Figures lock = OrderingStrategies.play(Way.LOCK, 400, 1);
        assertEquals(0, owner.inversions());
        assertTrue(owner.p50() < 0.2 && owner.messagesAJob() < 2, owner.toString());
        assertTrue(
                lock.inversions() > 0.02 && lock.messagesAJob() > 15 && lock.hotP50() > 1.5 * owner.hotP50(),
                lock.toString());
        assertEquals(0.95, OrderingStrategies.play(Way.NAME, 400, 1).refused(), 0.01);
    }
}

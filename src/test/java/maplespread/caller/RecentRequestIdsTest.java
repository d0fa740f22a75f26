package maplespread.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import maplespread.caller.RecentRequestIds.Registration;
import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
    private static final long DEADLINE_MS = 3000;

    private final AtomicLong nanos = new AtomicLong();
    private final RecentRequestIds ids = new RecentRequestIds(() -> DEADLINE_MS, nanos::get);

    private Registration register(String id) {
        return ids.register(id, false);
    }

    private void pass(long ms) {
        nanos.addAndGet(ms * 1_000_000);
        ids.removeExpired();
    }

    /** Guards against a checkout that runs twice as a client of very many ids had another's id forgotten. */
    @Test
    void noIdIsForgottenUnderEverNewOnes() {
        assertEquals(Registration.REGISTERED, register("first"));
        for (int i = 0; i < 60_000; i++) {
            assertEquals(Registration.REGISTERED, register("n" + i));
            if (i % 1000 == 0) {
                pass(100);
            }
        }
        assertEquals(Registration.USED, register("first"));
        assertEquals(Registration.USED, register("n59999"));
    }

    /** Guards memory: where no more ids can be kept, requests are rejected, until the older ids' time is over. */
    @Test
    void aFullSetRejectsAndForgetsNothingInItsTime() {
        for (int i = 0; i < RecentRequestIds.MAX_IDS; i++) {
            assertEquals(Registration.REGISTERED, register("n" + i));
        }
        assertEquals(Registration.UNAVAILABLE, register("one more"));
        pass(ids.periodMs());
        assertEquals(Registration.REGISTERED, register("one more"));
        assertEquals(Registration.USED, register("n0"), "kept for at least one period");
        pass(ids.periodMs());
        assertEquals(Registration.REGISTERED, register("n0"));
    }

    /** An id that was not accepted may be used again, while the set grows and after. */
    @Test
    void anUnregisteredIdIsFree() {
        for (int i = 0; i < 5000; i++) {
            register("n" + i);
            if (i % 2 == 0) {
                ids.unregister("n" + i);
            }
        }
        for (int i = 0; i < 5000; i++) {
            assertEquals(i % 2 == 0 ? Registration.REGISTERED : Registration.USED, register("n" + i));
        }
    }

    /** Guards an upgrade: ids that another process may use are not taken where a repeat does harm. */
    @Test
    void unknownIdsOfOthersAreNotTaken() {
        ids.setOtherIdsUnknown(true);
        assertEquals(Registration.UNAVAILABLE, ids.register("a", false));
        assertEquals(Registration.REGISTERED, ids.register("a", true));
        ids.setOtherIdsUnknown(false);
        assertEquals(Registration.USED, ids.register("a", false));
        AtomicInteger claims = new AtomicInteger();
        assertTrue(ids.shareWith(new SharedRequestIds() {
            @Override
            public Claim claim(long hash) {
                return claims.incrementAndGet() == 1 ? Claim.CLAIMED : Claim.USED;
            }

            @Override
            public void release(long hash) {}
        }));
        assertEquals(1, claims.get(), "what was taken before is shared");
        assertEquals(Registration.USED, register("b"), "another process has it");
        ids.stopSharing();
        assertEquals(Registration.REGISTERED, register("b"));
    }
}

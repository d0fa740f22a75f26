package maplespread.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import maplespread.http.MemoryBudget.Reservation;
import maplespread.http.MemoryBudget.Use;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {
    private static final long MAX_BYTES = 400_000;
    private static final long LONG_MS = 60_000;

    private final MemoryBudget budget = new MemoryBudget(MAX_BYTES);

    private Reservation reserve(Use use, long bytes, MemoryBudget.Revocation revocation) throws InterruptedException {
        Reservation reservation = budget.open(use, revocation);
        assertTrue(reservation.grow(bytes, 0));
        return reservation;
    }

    /** Guards the heap: what is reserved never exceeds the bound, and a release makes room again. */
    @Test
    void neverMoreIsReservedThanTheBound() throws InterruptedException {
        Reservation held = reserve(Use.RESPONSE, MAX_BYTES, MemoryBudget.NEVER);
        assertFalse(budget.open(Use.RESPONSE, MemoryBudget.NEVER).grow(1, 0));
        held.shrinkTo(10);
        assertEquals(10, budget.reservedBytes());
        Reservation next = reserve(Use.RESPONSE, MAX_BYTES - 10, MemoryBudget.NEVER);
        next.release();
        next.release();
        held.release();
        assertEquals(0, budget.reservedBytes());
    }

    /** Guards against requests that wait for the responses that wait for them, and small ones that wait for large ones. */
    @Test
    void largeRequestsLeaveRoomForSmallOnesAndAllOfThemForResponses() throws InterruptedException {
        reserve(Use.REQUEST, MAX_BYTES / 2, MemoryBudget.NEVER);
        assertFalse(budget.open(Use.REQUEST, MemoryBudget.NEVER).grow(20_000, 0));
        Reservation small = reserve(Use.REQUEST, 5000, MemoryBudget.NEVER);
        assertFalse(small.growTo(10_000, 0), "it would be large");
        assertTrue(small.growTo(5000, 0), "it is reserved");
        reserve(Use.RESPONSE, MAX_BYTES / 4, MemoryBudget.NEVER);
    }

    /** Guards the others from the slow: the reservation held longest is revoked, then the next one, and no other. */
    @Test
    void theLongestHeldIsRevokedFirst() throws Exception {
        List<String> revoked = new ArrayList<>();
        List<Reservation> held = new ArrayList<>();
        for (String name : new String[] {"first", "second", "third"}) {
            int index = held.size();
            held.add(reserve(Use.REQUEST, 60_000, () -> {
                revoked.add(name);
                held.get(index).release();
                return true;
            }));
        }
        CompletableFuture<Boolean> waiting = CompletableFuture.supplyAsync(() -> {
            try {
                return budget.open(Use.REQUEST, MemoryBudget.NEVER).grow(130_000, LONG_MS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(waiting.get(LONG_MS, TimeUnit.MILLISECONDS));
        assertEquals(List.of("first", "second"), revoked);
        assertEquals(190_000, budget.reservedBytes());
    }

    /** Guards the threads of connections that are closed while they wait. */
    @Test
    void aWaitCanBeCancelled() throws Exception {
        reserve(Use.RESPONSE, MAX_BYTES, MemoryBudget.NEVER);
        Reservation waiting = budget.open(Use.RESPONSE, MemoryBudget.NEVER);
        CompletableFuture<Boolean> granted = CompletableFuture.supplyAsync(() -> {
            try {
                return waiting.grow(1, LONG_MS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        waiting.cancel();
        assertFalse(granted.get(LONG_MS / 2, TimeUnit.MILLISECONDS));
    }
}

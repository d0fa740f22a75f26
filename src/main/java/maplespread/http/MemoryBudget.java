package maplespread.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the memory that all messages in progress hold together. Whoever reads or keeps a message reserves its bytes
 * first. If they do not fit, the reservation that is held longest is revoked, so that a slow peer loses its place to
 * those that come after it. Requests may hold a part only: a response that waited for requests to end, which wait for
 * their responses, would wait in vain. Thread-safe.
 */
public final class MemoryBudget {
    /** What a reservation is for. */
    public enum Use {
        /** Limited to three quarters of the budget, and to half of it for large requests. */
        REQUEST(100),
        RESPONSE(500);

        /** Time in milliseconds for which a reservation is not revoked: a peer that needs less is not slow. */
        private final long minHoldMs;

        Use(long minHoldMs) {
            this.minHoldMs = minHoldMs;
        }
    }

    /** Ends the work of a reservation early. */
    public interface Revocation {
        /**
         * Makes the work end soon; its thread then releases the reservation.
         *
         * @return false if the work cannot be ended now
         */
        boolean revoke();
    }

    /** Revokes nothing. */
    public static final Revocation NEVER = () -> false;

    /** Interval in milliseconds at which a waiting reservation looks for others to revoke. */
    private static final long REVOKE_INTERVAL_MS = 10;

    /** Size up to which a request is small: it does not wait for memory that large ones may hold. */
    private static final long SMALL_REQUEST_BYTES = 8 * 1024;

    private static final long NANOS_PER_MS = 1_000_000;

    private final long maxBytes;
    private long requestBytes;
    private long responseBytes;
    /** The reservations that hold bytes, the longest held first. */
    private final Set<Reservation> holding = new LinkedHashSet<>();

    /** Creates a budget of which nothing is reserved. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The bytes that one message holds. Used by one thread at a time; {@link #release} by any thread. */
    public final class Reservation {
        private final Use use;
        private long bytes;
        private long sinceNanos;
        private volatile Revocation revocation;
        private volatile boolean cancelled;

        private Reservation(Use use, Revocation revocation) {
            this.use = use;
            this.revocation = revocation;
        }

        /** Returns the bytes reserved. */
        public long bytes() {
            return bytes;
        }

        /** Sets how the work is ended early from now on. */
        public void setRevocation(Revocation next) {
            revocation = next;
        }

        /**
         * Reserves further bytes; waits for them for at most {@code maxWaitMs} milliseconds.
         *
         * @return false if they are not available; nothing more is reserved then
         */
        public boolean grow(long more, long maxWaitMs) throws InterruptedException {
            long endNanos = System.nanoTime() + maxWaitMs * NANOS_PER_MS;
            while (!tryGrow(this, more)) {
                long leftMs = (endNanos - System.nanoTime()) / NANOS_PER_MS;
                if (leftMs <= 0 || cancelled) {
                    return false;
                }
                revokeLongestHeld(this);
                awaitRelease(Math.min(leftMs, REVOKE_INTERVAL_MS), this, more);
            }
            return true;
        }

        /** Ends a wait for further bytes, which are then not reserved. Called by any thread. */
        public void cancel() {
            cancelled = true;
            wakeWaiting();
        }

        /**
         * Reserves as many bytes as are missing up to {@code total}; waits for them for at most {@code maxWaitMs}
         * milliseconds.
         *
         * @return false if they are not available; nothing more is reserved then
         */
        public boolean growTo(long total, long maxWaitMs) throws InterruptedException {
            return total <= bytes || grow(total - bytes, maxWaitMs);
        }

        /** Releases all but {@code kept} bytes. */
        public void shrinkTo(long kept) {
            shrink(this, kept);
        }

        /** Releases all bytes. */
        public void release() {
            shrink(this, 0);
        }
    }

    /** Opens a reservation of no bytes. */
    public Reservation open(Use use, Revocation revocation) {
        return new Reservation(use, revocation);
    }

    /** Returns the bytes reserved at present. */
    public synchronized long reservedBytes() {
        return requestBytes + responseBytes;
    }

    private boolean fits(Reservation reservation, long more) {
        boolean withinPart =
                reservation.use == Use.RESPONSE || requestBytes + more <= maxRequestBytes(reservation, more);
        return withinPart && requestBytes + responseBytes + more <= maxBytes;
    }

    private long maxRequestBytes(Reservation reservation, long more) {
        boolean small = reservation.bytes + more <= SMALL_REQUEST_BYTES;
        return small ? maxBytes / 4 * 3 : maxBytes / 2;
    }

    private synchronized boolean tryGrow(Reservation reservation, long more) {
        if (!fits(reservation, more)) {
            return false;
        }
        if (reservation.bytes == 0) {
            reservation.sinceNanos = System.nanoTime();
            holding.add(reservation);
        }
        add(reservation, more);
        return true;
    }

    private void add(Reservation reservation, long more) {
        reservation.bytes += more;
        if (reservation.use == Use.REQUEST) {
            requestBytes += more;
        } else {
            responseBytes += more;
        }
    }

    private synchronized void shrink(Reservation reservation, long kept) {
        if (reservation.bytes <= kept) {
            return;
        }
        add(reservation, kept - reservation.bytes);
        if (kept == 0) {
            holding.remove(reservation);
        }
        notifyAll();
    }

    private synchronized void wakeWaiting() {
        notifyAll();
    }

    private synchronized void awaitRelease(long waitMs, Reservation reservation, long more)
            throws InterruptedException {
        if (!fits(reservation, more)) {
            wait(waitMs);
        }
    }

    /** Revokes the reservation held longest, of those that can be revoked, unless it is the caller's or a new one. */
    private void revokeLongestHeld(Reservation caller) {
        for (Reservation candidate : slowHolders(caller)) {
            if (candidate.revocation.revoke()) {
                candidate.revocation = NEVER; // it is ending
                return;
            }
        }
    }

    private synchronized List<Reservation> slowHolders(Reservation caller) {
        long nowNanos = System.nanoTime();
        List<Reservation> slow = new ArrayList<>();
        for (Reservation reservation : holding) {
            boolean isSlow = nowNanos - reservation.sinceNanos >= reservation.use.minHoldMs * NANOS_PER_MS;
            if (isSlow && reservation != caller && reservation.revocation != NEVER) {
                slow.add(reservation);
            }
        }
        return slow;
    }
}

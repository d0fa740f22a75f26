package maplespread.caller;

import maplespread.http.HttpParser;
import maplespread.http.MemoryBudget;
import maplespread.http.OutOfBudgetException;

/**
 * The memory of one request: its head as it is read, then the whole body before it is read, so that no request waits
 * for memory while it holds a part of its body. Used by the connection's thread; {@link #cancel} and {@link #release} by
 * any thread.
 */
final class RequestMemory {
    /** Memory in bytes that a request takes beside its head and body. */
    private static final long REQUEST_BYTES = 2048;
    /** Memory taken for each byte of a body: it is kept once, and copied for an attempt. */
    private static final long MEMORY_PER_BODY_BYTE = 2;
    /** Time limit in milliseconds for the wait until others release memory. */
    private static final long MAX_WAIT_MS = 250;

    private final MemoryBudget.Reservation reservation;

    /**
     * Reserves nothing yet.
     *
     * @param revocation ends the reading of the request when others need its memory
     */
    RequestMemory(MemoryBudget budget, MemoryBudget.Revocation revocation) {
        reservation = budget.open(MemoryBudget.Use.REQUEST, revocation);
    }

    /** Reserves what the head takes so far. */
    void reserveHead(HttpParser parser) throws OutOfBudgetException {
        growTo(bytesOf(parser, 0));
    }

    /** Reserves what the body will take; the largest one if its length is not known. */
    void reserveBody(HttpParser parser) throws OutOfBudgetException {
        growTo(bytesOf(parser, Math.min(parser.bodyLength(), HttpParser.MAX_BODY_BYTES)));
    }

    /** Releases what the body does not take after all. */
    void bodyRead(HttpParser parser, int length) {
        reservation.shrinkTo(bytesOf(parser, length));
    }

    /** Reserves further bytes. */
    void reserveMore(long bytes) throws OutOfBudgetException {
        growTo(reservation.bytes() + bytes);
    }

    private static long bytesOf(HttpParser parser, long bodyBytes) {
        return REQUEST_BYTES + parser.headMemoryBytes() + MEMORY_PER_BODY_BYTE * bodyBytes;
    }

    private void growTo(long totalBytes) throws OutOfBudgetException {
        try {
            if (reservation.growTo(totalBytes, MAX_WAIT_MS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new OutOfBudgetException();
    }

    /** Sets how the request is ended early from now on. */
    void setRevocation(MemoryBudget.Revocation revocation) {
        reservation.setRevocation(revocation);
    }

    /** Ends a wait for memory, as the connection is closing. */
    void cancel() {
        reservation.cancel();
    }

    void release() {
        reservation.release();
    }
}

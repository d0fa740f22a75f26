package maplespread.worker;

import java.net.SocketTimeoutException;
import maplespread.http.LineSplitter;
import maplespread.http.MemoryBudget;

/**
 * The memory of one worker's response. A line beyond {@link #SMALL_LINE_BYTES} reserves at once all that it may take, so
 * that no response waits for memory while it holds a part. Used by one thread.
 */
final class ResponseMemory {
    /** Length of a line up to which nothing is reserved: each attempt may take as much. */
    private static final int SMALL_LINE_BYTES = 8 * 1024;

    /** Reserved for a long line: the line while it grows, its parsed result, and the response to the client. */
    private static final long LONG_LINE_BYTES = 512 * 1024;

    /** Memory for each byte of a result until its response is written: the result, and the message that holds it. */
    private static final long MEMORY_PER_RESULT_BYTE = 2;

    private final MemoryBudget.Reservation reservation;
    private boolean reserved;

    ResponseMemory(MemoryBudget budget, MemoryBudget.Revocation revocation) {
        reservation = budget.open(MemoryBudget.Use.RESPONSE, revocation);
    }

    /**
     * Reserves memory for further bytes, which are in the pending line; waits until others have released it.
     *
     * @throws SocketTimeoutException if it is not available in time
     */
    void reserveFor(LineSplitter lines, int bytes, long maxWaitMs) throws SocketTimeoutException {
        if (reserved || lines.pendingBytes() + bytes <= SMALL_LINE_BYTES) {
            return;
        }
        try {
            reserved = reservation.grow(LONG_LINE_BYTES, maxWaitMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!reserved) {
            throw new SocketTimeoutException("no memory for the response in time");
        }
    }

    /** Releases the memory of a long line that is complete. */
    void lineComplete(LineSplitter lines) {
        if (reserved && lines.pendingBytes() == 0) {
            release();
        }
    }

    /** Keeps the memory of a result until its response is written, which is ended early by the revocation. */
    void keepResult(int resultBytes) {
        reservation.setRevocation(MemoryBudget.NEVER);
        reservation.shrinkTo(MEMORY_PER_RESULT_BYTE * resultBytes);
    }

    void setRevocation(MemoryBudget.Revocation revocation) {
        reservation.setRevocation(revocation);
    }

    void release() {
        reservation.release();
        reserved = false;
    }
}

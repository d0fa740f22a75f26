package maplespread.worker;

import java.io.ByteArrayOutputStream;
import maplespread.http.HttpException;
import maplespread.http.HttpParser;
import maplespread.http.MemoryBudget;

/**
 * Collects the body of a peer's response. A body beyond {@link #SMALL_BODY_BYTES} reserves at once the memory for all of
 * it, and waits until others have released it. Used by one thread.
 */
final class PeerResponseBody implements HttpParser.Body {
    /** Length of a body up to which nothing is reserved. */
    private static final int SMALL_BODY_BYTES = 8 * 1024;

    /** Memory for each byte until the response is written: the body, and the message that holds it. */
    private static final long MEMORY_PER_BYTE = 2;

    private static final long NANOS_PER_MS = 1_000_000;

    private final MemoryBudget.Reservation reservation;
    private final long maxBytes;
    private final long endNanos;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private HttpParser parser;

    /** {@code endNanos}: until when memory is waited for, on System.nanoTime. */
    PeerResponseBody(MemoryBudget.Reservation reservation, long maxBytes, long endNanos) {
        this.reservation = reservation;
        this.maxBytes = maxBytes;
        this.endNanos = endNanos;
    }

    /** Sets the parser that delivers the body, and knows its length. */
    void deliveredBy(HttpParser responseParser) {
        parser = responseParser;
    }

    @Override
    public void accept(byte[] from, int at, int length) throws HttpException {
        if (bytes.size() + length > SMALL_BODY_BYTES && reservation.bytes() == 0) {
            long declaredBytes = parser.bodyLength(); // 0 if it is not declared
            reserve(declaredBytes == 0 ? maxBytes : bytes.size() + declaredBytes);
        }
        bytes.write(from, at, length);
    }

    private void reserve(long bodyBytes) throws HttpException {
        boolean reserved = false;
        try {
            reserved = reservation.grow(MEMORY_PER_BYTE * bodyBytes, (endNanos - System.nanoTime()) / NANOS_PER_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!reserved) {
            throw new HttpException(502, "no memory for the response in time");
        }
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }
}

package maplespread.caller;

import java.io.IOException;
import maplespread.http.HttpConnection;

/** Discards what a client has sent beyond its last response. Stateless. */
final class UnreadBytes {
    /** Time limit in milliseconds: enough for 60 MB. */
    private static final long MAX_DISCARD_MS = 2000;
    /** Number of bytes between two pauses. */
    private static final int BYTES_PER_PAUSE = 64 * 1024;

    private static final long NANOS_PER_MS = 1_000_000;

    private UnreadBytes() {}

    /**
     * Discards unread bytes before the connection closes, as they would reset it before the response arrives. Pauses
     * between pieces: a client that sends at full speed must not keep a core from the others.
     */
    static void discard(HttpConnection connection) throws InterruptedException {
        long endNanos = System.nanoTime() + MAX_DISCARD_MS * NANOS_PER_MS;
        long discarded = 0;
        try {
            for (long nowNanos = System.nanoTime(); nowNanos < endNanos; nowNanos = System.nanoTime()) {
                connection.buffer().position(connection.buffer().limit());
                if (!connection.fill((endNanos - nowNanos) / NANOS_PER_MS)) {
                    return;
                }
                discarded += connection.buffer().remaining();
                if (discarded >= BYTES_PER_PAUSE) {
                    discarded = 0;
                    Thread.sleep(1);
                }
            }
        } catch (IOException e) {
            // the client has left or sends nothing more
        }
    }
}

package maplespread.lab.rig;

import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;
import maplespread.http.HttpConnection;

/** What lies between one dispatcher and one peer. Its state may change under connections that are open. */
final class FaultLink {
    /**
     * CUT: nothing comes in or goes out, and nobody is told; DEAF: what the peer answers is lost; RESET: a
     * connection ends when a request has come; LATE: answers take a while; SLOW: they come in pieces.
     */
    enum Fault {
        NONE,
        CUT,
        DEAF,
        RESET,
        LATE,
        SLOW
    }

    private static final long LATE_MS = 120;
    private static final int PIECE = 16;
    volatile Fault fault = Fault.NONE;
    volatile String last = ""; // the tenant whose jobs lie for a while first
    volatile long mostMs = Long.MAX_VALUE; // what is held longer by a cut is lost

    /** Waits until something may come in, or the limit is over; false: not before then. */
    boolean open(long limitMs) throws InterruptedException {
        long end = System.nanoTime() + Math.min(limitMs, mostMs) * 1_000_000;
        while (fault == Fault.CUT) {
            if (System.nanoTime() > end) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    /** Sends what the peer says, as the way lets it through. */
    void send(HttpConnection link, byte[] bytes) throws IOException, InterruptedException {
        switch (fault) {
            case CUT, DEAF -> {
                return;
            }
            case LATE -> Thread.sleep(ThreadLocalRandom.current().nextLong(LATE_MS));
            case SLOW -> {
                for (int at = 0; at < bytes.length; at += PIECE) {
                    link.send(java.util.Arrays.copyOfRange(bytes, at, Math.min(bytes.length, at + PIECE)));
                    Thread.sleep(2);
                }
                return;
            }
            default -> {}
        }
        link.send(bytes);
    }
}

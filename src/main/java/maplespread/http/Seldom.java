package maplespread.http;

import org.tinylog.Logger;

/** Warnings that a bad peer could cause without end: one a second at most. */
public final class Seldom {
    private long lastNanos = System.nanoTime() - 1_000_000_000L;
    private int held;

    public synchronized void warn(String text) {
        long now = System.nanoTime();
        if (now - lastNanos < 1_000_000_000L) {
            held++;
            return;
        }
        Logger.warn("{}{}", text, held > 0 ? " (and " + held + " like it)" : "");
        lastNanos = now;
        held = 0;
    }
}

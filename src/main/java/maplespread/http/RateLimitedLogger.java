package maplespread.http;

import java.util.function.Supplier;
import org.tinylog.Logger;

/** Lines that a bad peer or a bad hour could cause without end: one a second at most, and how many were held back. */
public final class RateLimitedLogger {
    private static final long PERIOD_NANOS = 1_000_000_000L;
    private long lastNanos = System.nanoTime() - PERIOD_NANOS;
    private int held;

    public void warn(String text) {
        String line = next(() -> text);
        if (line != null) {
            Logger.warn("{}", line);
        }
    }

    /** {@code line}: made only where it is written. */
    public void info(Supplier<?> line) {
        String text = next(line);
        if (text != null) {
            Logger.info("{}", text);
        }
    }

    /** The line with the count of those held back; null where it is held back too. */
    private synchronized String next(Supplier<?> line) {
        long now = System.nanoTime();
        if (now - lastNanos < PERIOD_NANOS) {
            held++;
            return null;
        }
        String more = held > 0 ? " (and " + held + " like it)" : "";
        lastNanos = now;
        held = 0;
        return line.get() + more;
    }
}

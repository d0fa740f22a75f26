package maplespread.http;

import java.util.function.Supplier;
import org.tinylog.Logger;

/** Logs lines that a faulty peer or an overload could cause without bound: at most one a second, counting the rest. */
public final class RateLimitedLogger {
    private static final long PERIOD_NANOS = 1_000_000_000L;
    private long lastNanos = System.nanoTime() - PERIOD_NANOS;
    private int suppressed;

    public void warn(String text) {
        String line = nextLine(() -> text);
        if (line != null) {
            Logger.warn("{}", line);
        }
    }

    /**
     * Logs a line unless it is suppressed.
     *
     * @param line evaluated only if the line is logged
     */
    public void info(Supplier<?> line) {
        String text = nextLine(line);
        if (text != null) {
            Logger.info("{}", text);
        }
    }

    /** Returns the line with the count of lines suppressed before it; null if the line is suppressed too. */
    private synchronized String nextLine(Supplier<?> line) {
        long now = System.nanoTime();
        if (now - lastNanos < PERIOD_NANOS) {
            suppressed++;
            return null;
        }
        String suffix = suppressed > 0 ? " (and " + suppressed + " like it)" : "";
        lastNanos = now;
        suppressed = 0;
        return line.get() + suffix;
    }
}

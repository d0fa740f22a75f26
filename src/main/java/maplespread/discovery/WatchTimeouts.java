package maplespread.discovery;

import java.util.SplittableRandom;

/**
 * How long a watch may be silent before it counts as broken. The platform counts what a silent watch missed as
 * notified six seconds after the silence began, whether or not it arrived: until then there is time to notice
 * the silence and for the call that follows it. Milliseconds.
 *
 * @param silenceMs without a line, at the least, from the call on
 * @param spreadMs drawn on top, anew for each watch: all dispatchers may fall silent in one instant, and
 *     discovery answers one call after another
 * @param renewMs for the first line of the watch that takes a silent one's place
 */
public record WatchTimeouts(long silenceMs, long spreadMs, long renewMs) {
    /** Between two lines of a watch while nothing changes, by the protocol. */
    private static final long LINE_INTERVAL_MS = 2000;

    /** From the beginning of a silence until what it hid counts as notified, by the protocol. */
    private static final long CHANGE_NOTIFIED_MS = 6000;

    /** What is left of that for the update to be taken in and obeyed. */
    private static final long SPARE_MS = 200;

    /** Lines may be late by one part in this many of what is left after a line's interval. */
    private static final int LATE_DIVISOR = 5;

    /** Checks that there is a time for silences and one for calls. */
    public WatchTimeouts {
        if (silenceMs < 1 || spreadMs < 0 || renewMs < 1) {
            throw new IllegalArgumentException("a time for silences and one for calls are needed");
        }
    }

    /** By the protocol's times. */
    public static WatchTimeouts ofProtocol() {
        long lateMs = (CHANGE_NOTIFIED_MS - LINE_INTERVAL_MS) / LATE_DIVISOR;
        long silenceMs = LINE_INTERVAL_MS + lateMs;
        long spreadMs = lateMs / 2;
        return new WatchTimeouts(silenceMs, spreadMs, CHANGE_NOTIFIED_MS - SPARE_MS - silenceMs - spreadMs);
    }

    /** How long the next watch may be silent. */
    long drawSilenceLimitMs(SplittableRandom random) {
        return silenceMs + random.nextLong(spreadMs + 1);
    }
}

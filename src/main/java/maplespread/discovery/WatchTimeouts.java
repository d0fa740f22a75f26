package maplespread.discovery;

import java.util.SplittableRandom;

/**
 * Limits in milliseconds after which a silent watch counts as failed. The platform counts a change that a silent
 * watch missed as notified six seconds after the silence began, whether or not the change arrived. Within this time
 * the dispatcher must detect the silence and open the next watch.
 *
 * @param silenceMs minimum time without a line, counted from the start of the connection or from the last line
 * @param spreadMs maximum of the random time added to {@code silenceMs} for each watch: the watches of all
 *     dispatchers may fall silent at the same instant, and discovery answers one request after another
 * @param renewMs time limit for the first line of a watch that replaces a silent one
 */
public record WatchTimeouts(long silenceMs, long spreadMs, long renewMs) {
    /** Interval between two lines of a watch while nothing changes, by the protocol. */
    private static final long LINE_INTERVAL_MS = 2000;

    /** Time from the start of a silence until the changes missed in it count as notified, by the protocol. */
    private static final long CHANGE_NOTIFIED_MS = 6000;

    /** Part of {@link #CHANGE_NOTIFIED_MS} reserved for processing and applying the update. */
    private static final long UPDATE_PROCESSING_MS = 200;

    /** Divisor of the time left after one line interval; the quotient is how late a line may be. */
    private static final int LATENESS_DIVISOR = 5;

    /** Checks that the limits are positive and the spread is not negative. */
    public WatchTimeouts {
        if (silenceMs < 1 || spreadMs < 0 || renewMs < 1) {
            throw new IllegalArgumentException("silenceMs and renewMs must be positive, spreadMs not negative");
        }
    }

    /** Returns the limits that follow from the times of the protocol. */
    public static WatchTimeouts ofProtocol() {
        long maxLatenessMs = (CHANGE_NOTIFIED_MS - LINE_INTERVAL_MS) / LATENESS_DIVISOR;
        long silenceMs = LINE_INTERVAL_MS + maxLatenessMs;
        long spreadMs = maxLatenessMs / 2;
        return new WatchTimeouts(silenceMs, spreadMs, CHANGE_NOTIFIED_MS - UPDATE_PROCESSING_MS - silenceMs - spreadMs);
    }

    /** Draws the time that the next watch may be silent, in milliseconds. */
    long drawSilenceLimitMs(SplittableRandom random) {
        return silenceMs + random.nextLong(spreadMs + 1);
    }
}

package maplespread.discovery;

import java.util.SplittableRandom;

/**
 * How long a watch may be silent before it is a broken one. The platform counts what a silent watch missed as
 * told {@code TOLD_MS} after the silence began, whether or not it arrived, so until then there is time to
 * find the silence and for the call that follows it. Milliseconds.
 *
 * @param silenceMs without a word, at the least, from the call on; {@code spreadMs}: drawn on top, anew for
 *     each watch, as all dispatchers may fall silent in one instant and discovery answers one call after
 *     another
 * @param renewMs for the first word of the watch that takes a silent one's place
 */
public record WatchTimeouts(long silenceMs, long spreadMs, long renewMs) {
    /** Between two lines of a watch while nothing changes, by the protocol. */
    private static final long LINE_MS = 2000;
    /** From the beginning of a silence until what it hid counts as told, by the protocol. */
    private static final long TOLD_MS = 6000;
    /** What is left of that for the news to be taken in and obeyed. */
    private static final long SPARE_MS = 200;

    public WatchTimeouts {
        if (silenceMs < 1 || spreadMs < 0 || renewMs < 1) {
            throw new IllegalArgumentException("a time for silences and one for calls are needed");
        }
    }

    /** By the protocol's figures: lines may be late by a fifth of what a silence leaves. */
    public static WatchTimeouts ofProtocol() {
        long late = (TOLD_MS - LINE_MS) / 5;
        long silence = LINE_MS + late;
        return new WatchTimeouts(silence, late / 2, TOLD_MS - SPARE_MS - silence - late / 2);
    }

    /** How long this watch may be silent. */
    long drawSilenceLimitMs(SplittableRandom random) {
        return silenceMs + random.nextLong(spreadMs + 1);
    }
}

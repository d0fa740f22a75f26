package maplespread.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * A suspicion that its subject may still refute. Each member that suspects the same on its own shortens the time until
 * the subject counts as dead (Lifeguard's LHA-Suspicion).
 */
final class Suspicion {
    /** Confirmations that shorten the time to its least. */
    private static final int MAX_CONFIRMATIONS = 3;

    private final Set<String> suspecters = new HashSet<>();
    private long since;

    Suspicion(String firstSuspecter, long now) {
        suspecters.add(firstSuspecter);
        since = now;
    }

    /** Whether this suspecter is an independent confirmation that still shortens the time. */
    boolean confirm(String suspecter) {
        return suspecters.size() <= MAX_CONFIRMATIONS && suspecters.add(suspecter);
    }

    /** Begins the wait anew. */
    void restart(long now) {
        since = now;
    }

    /**
     * When the subject counts as dead, in milliseconds.
     *
     * @param shortestMs the time with all confirmations
     * @param longestMs the time without any
     */
    long endsAt(double shortestMs, double longestMs) {
        double share = Math.log(suspecters.size()) / Math.log(MAX_CONFIRMATIONS + 1);
        return since + (long) Math.max(shortestMs, longestMs - (longestMs - shortestMs) * share);
    }
}

package maplespread.membership;

import java.util.HashSet;
import java.util.Set;
import maplespread.policy.ReproducibleMath;

/**
 * A suspicion that its subject may still refute. Each independent confirmation by another member shortens the time
 * until the subject is declared dead (Lifeguard's LHA-Suspicion).
 */
final class Suspicion {
    /** Number of confirmations after which the time is shortest. */
    private static final int MAX_CONFIRMATIONS = 3;

    private final Set<String> reporters = new HashSet<>();
    private long since;

    Suspicion(String firstReporter, long now) {
        reporters.add(firstReporter);
        since = now;
    }

    /** Whether this reporter is an independent confirmation that still shortens the time. */
    boolean confirm(String reporter) {
        return reporters.size() <= MAX_CONFIRMATIONS && reporters.add(reporter);
    }

    /** Restarts the timeout. */
    void restart(long now) {
        since = now;
    }

    /**
     * When the subject is declared dead, in milliseconds.
     *
     * @param shortestMs the time with all confirmations
     * @param longestMs the time without any
     */
    long endsAt(double shortestMs, double longestMs) {
        double share = ReproducibleMath.log(reporters.size()) / ReproducibleMath.log(MAX_CONFIRMATIONS + 1);
        return since + (long) Math.max(shortestMs, longestMs - (longestMs - shortestMs) * share);
    }
}

package maplespread.policy;

/**
 * How far the server list can be relied on, at any time of the process's life. One place holds the state, what
 * moves it, and whether a request may be sent by the list; docs/list-freshness.md weighs the ways. Times are
 * milliseconds on the module's clock.
 *
 * <p>The reason for all of it: a change counts as notified at the latest six seconds after discovery had it,
 * whether or not it arrived. What has not been confirmed for that long may name servers that have drained or gone.
 */
final class EndpointListFreshness {
    /** Hears of every change of the state. */
    interface Listener {
        void changed(EndpointListState from, EndpointListState to, double ageMs);
    }

    /** From a change until it counts as notified, by the protocol, whether or not it arrived. */
    static final double NOTIFIED_WITHIN_MS = 6000;

    /** The same for what another address of discovery has, from the moment when that address counts. */
    private static final double NOTIFIED_AFTER_MOVE_MS = 4000;

    /** Left of these for an attempt to leave the process, and for words that were late on their way. */
    private static final double MARGIN_MS = 500;

    private final Listener listener;
    private boolean agentPushesList;
    private double maxUnconfirmedMs;
    private EndpointListState state = EndpointListState.UNCONFIRMED;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double usableUntil = Double.NEGATIVE_INFINITY;
    private boolean outageLikely; // discovery ended the watch by itself
    private boolean gapless; // since the last confirmation there was no moment in which a change could be had unheard
    private boolean connectionRefusedSeen;

    EndpointListFreshness(Listener listener) {
        this.listener = listener;
    }

    /**
     * {@code pushed}: the list comes from an agent beside this process, which has no crowd of callers; {@code
     * askWithinMs}: for so long without a call the settings let a list stand, four times as long after a failed one.
     */
    void settings(boolean pushed, double askWithinMs) {
        this.agentPushesList = pushed;
        maxUnconfirmedMs = Math.min(NOTIFIED_WITHIN_MS, 4 * askWithinMs) - MARGIN_MS;
    }

    /** Discovery has said everything that it has, as of now, and goes on telling. */
    void confirmed(double now) {
        confirmedAt = now;
        usableUntil = Double.POSITIVE_INFINITY;
        move(EndpointListState.CONFIRMED, now);
    }

    /** The watch says nothing any more, last heard so long ago. */
    void silent(double now, double heardAgoMs) {
        if (state == EndpointListState.CONFIRMED) {
            doubt(now, now - heardAgoMs, false, false);
        }
    }

    /** Another address of discovery counts from now on; the list is as good as it was, for a shorter time. */
    void moved(double now) {
        if (usable(now)) {
            double until = Math.min(usableUntil, now + NOTIFIED_AFTER_MOVE_MS - MARGIN_MS);
            doubt(now, state == EndpointListState.CONFIRMED ? now : confirmedAt, false, true);
            usableUntil = until;
        }
    }

    /** There is no watch any more, or a call for one has failed, last heard so long ago. */
    void failed(double now, EndpointWatchFailure loss, double heardAgoMs) {
        if (state == EndpointListState.CONFIRMED && loss == EndpointWatchFailure.ENDED) {
            doubt(now, now, true, true); // watches end when discovery goes down, and what came before came whole
            return;
        }
        silent(now, heardAgoMs);
        if (!usable(now)) {
            return; // discovery may have been there meanwhile, with changes that are due by now
        }
        switch (loss) {
            case REFUSED -> refused(now);
            case ENDED, NO_ANSWER -> unanswered(now);
            case NOT_ASKED -> {} // the fault is this side's, and tells nothing
        }
    }

    private void doubt(double now, double since, boolean outage, boolean noGap) {
        confirmedAt = since;
        usableUntil = since + maxUnconfirmedMs;
        outageLikely = outage;
        gapless = noGap;
        connectionRefusedSeen = false;
        move(EndpointListState.RENEWING, now);
    }

    /**
     * A crowd before discovery and an outage look alike from here. After a watch that discovery itself has ended it is
     * taken for an outage, in which no change can be had; where refusals had shown the outage, it is over.
     */
    private void unanswered(double now) {
        if (agentPushesList || outageLikely && !connectionRefusedSeen) {
            usableUntil = Double.POSITIVE_INFINITY;
            move(EndpointListState.UNREACHABLE, now);
        } else {
            gapless = false;
            move(EndpointListState.RENEWING, now);
        }
    }

    /** Nobody is there to know of a change, and nobody was since the list was confirmed. */
    private void refused(double now) {
        if (agentPushesList || gapless) {
            connectionRefusedSeen = true;
            usableUntil = now + maxUnconfirmedMs;
            move(EndpointListState.UNREACHABLE, now);
        }
    }

    /** Whether a request may be sent by the list. */
    boolean usable(double now) {
        if (now >= usableUntil && state != EndpointListState.UNCONFIRMED) {
            move(EndpointListState.STALE, now);
        }
        return now < usableUntil;
    }

    private void move(EndpointListState to, double now) {
        if (to != state) {
            EndpointListState from = state;
            state = to;
            listener.changed(from, to, now - confirmedAt);
        }
    }
}

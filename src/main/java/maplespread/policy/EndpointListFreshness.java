package maplespread.policy;

/**
 * How far the endpoint list can be relied on, at any time of the process's life. One place holds the state, what moves
 * it, and whether a request may be sent by the list; docs/list-freshness.md weighs the alternatives. Times are ms on
 * the host's clock.
 *
 * <p>The reason for all of it: a change counts as notified at the latest six seconds after discovery had it, whether
 * or not it arrived. What has not been confirmed for that long may name workers that have drained or gone.
 */
final class EndpointListFreshness {
    /** Called at every change of the state. */
    interface Listener {
        /** The state has changed, so long after the list was last confirmed. */
        void changed(EndpointListState from, EndpointListState to, double ageMs);
    }

    /** From a change until it counts as notified, by the protocol, whether or not it arrived. */
    static final double NOTIFIED_WITHIN_MS = 6000;

    /** The same for what another address of discovery has, from the moment when that address counts. */
    private static final double NOTIFIED_AFTER_MOVE_MS = 4000;

    /** Left of these for an attempt to leave the process, and for messages that were late on their way. */
    private static final double MARGIN_MS = 500;

    /** After a failed call the list stands this many times as long as the settings let it stand without one. */
    private static final double FAILED_CALL_FACTOR = 4;

    private final Listener listener;
    private boolean agentPushesList;
    private double maxUnconfirmedMs;
    private EndpointListState state = EndpointListState.UNCONFIRMED;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;
    private double usableUntilMs = Double.NEGATIVE_INFINITY;

    /** Discovery ended the watch by itself, as it does when it goes down. */
    private boolean outageLikely;

    /** Since the list was confirmed this process has missed no moment in which discovery could have had a change. */
    private boolean gapless;

    private boolean connectionRefusedSeen;

    EndpointListFreshness(Listener listener) {
        this.listener = listener;
    }

    /**
     * Puts settings into force.
     *
     * @param pushed an agent beside this process pushes the list; no other caller competes for it
     * @param maxListAgeMs for so long without a call the settings let a list stand
     */
    void applySettings(boolean pushed, double maxListAgeMs) {
        agentPushesList = pushed;
        maxUnconfirmedMs = Math.min(NOTIFIED_WITHIN_MS, FAILED_CALL_FACTOR * maxListAgeMs) - MARGIN_MS;
    }

    /** Discovery has said everything that it has, as of now, and goes on telling. */
    void confirmed(double nowMs) {
        confirmedAtMs = nowMs;
        usableUntilMs = Double.POSITIVE_INFINITY;
        moveTo(EndpointListState.CONFIRMED, nowMs);
    }

    /** The watch is silent, its last message so long ago. */
    void silent(double nowMs, double lastMessageAgoMs) {
        if (state == EndpointListState.CONFIRMED) {
            startRenewing(nowMs, nowMs - lastMessageAgoMs, false, false);
        }
    }

    /** Another address of discovery counts from now on; the list is as good as it was, for a shorter time. */
    void moved(double nowMs) {
        if (usable(nowMs)) {
            double untilMs = Math.min(usableUntilMs, nowMs + NOTIFIED_AFTER_MOVE_MS - MARGIN_MS);
            startRenewing(nowMs, state == EndpointListState.CONFIRMED ? nowMs : confirmedAtMs, false, true);
            usableUntilMs = untilMs;
        }
    }

    /** The watch ended or a call for one failed, the last message so long ago. */
    void failed(double nowMs, EndpointWatchFailure failure, double lastMessageAgoMs) {
        if (state == EndpointListState.CONFIRMED && failure == EndpointWatchFailure.ENDED) {
            // Watches end when discovery goes down, and what came before came whole.
            startRenewing(nowMs, nowMs, true, true);
            return;
        }
        silent(nowMs, lastMessageAgoMs);
        if (!usable(nowMs)) {
            return; // discovery may have been there meanwhile, with changes that are due by now
        }
        switch (failure) {
            case REFUSED -> callRefused(nowMs);
            case ENDED, NO_ANSWER -> callUnanswered(nowMs);
            case NOT_ASKED -> {} // a local fault, no sign of discovery's state
        }
    }

    private void startRenewing(double nowMs, double lastMessageMs, boolean outage, boolean withoutGap) {
        confirmedAtMs = lastMessageMs;
        usableUntilMs = lastMessageMs + maxUnconfirmedMs;
        outageLikely = outage;
        gapless = withoutGap;
        connectionRefusedSeen = false;
        moveTo(EndpointListState.RENEWING, nowMs);
    }

    /**
     * An overloaded discovery and one that is down look alike from here. After a watch that discovery itself has ended
     * it is taken for an outage, in which no change can be had; where refusals had shown the outage, it is over.
     */
    private void callUnanswered(double nowMs) {
        if (agentPushesList || outageLikely && !connectionRefusedSeen) {
            usableUntilMs = Double.POSITIVE_INFINITY;
            moveTo(EndpointListState.UNREACHABLE, nowMs);
        } else {
            gapless = false;
            moveTo(EndpointListState.RENEWING, nowMs);
        }
    }

    /** Nothing listens at discovery: there is no change to know of, and was none since the list was confirmed. */
    private void callRefused(double nowMs) {
        if (agentPushesList || gapless) {
            connectionRefusedSeen = true;
            usableUntilMs = nowMs + maxUnconfirmedMs;
            moveTo(EndpointListState.UNREACHABLE, nowMs);
        }
    }

    /** Whether a request may be sent by the list. Notes, and reports to the listener, that it has become stale. */
    boolean usable(double nowMs) {
        if (nowMs >= usableUntilMs && state != EndpointListState.UNCONFIRMED) {
            moveTo(EndpointListState.STALE, nowMs);
        }
        return nowMs < usableUntilMs;
    }

    private void moveTo(EndpointListState next, double nowMs) {
        if (next != state) {
            EndpointListState before = state;
            state = next;
            listener.changed(before, next, nowMs - confirmedAtMs);
        }
    }
}

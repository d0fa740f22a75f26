package maplespread.policy;

/**
 * Decides whether the endpoint list may be used to send requests. This class holds the list's {@link
 * EndpointListState}, its transitions and that decision; docs/list-freshness.md weighs the alternatives. Times are ms
 * on the host's clock.
 *
 * <p>A change counts as notified at the latest six seconds after discovery had it, whether or not it arrived. A list
 * that has not been confirmed for that long may name workers that have drained or been removed.
 */
final class EndpointListFreshness {
    /** Receives every change of the state. */
    interface Listener {
        /**
         * The state has changed.
         *
         * @param ageMs time since the list was last confirmed
         */
        void changed(EndpointListState from, EndpointListState to, double ageMs);
    }

    /** Time after which a change counts as notified by the protocol, whether or not it arrived. */
    static final double NOTIFIED_WITHIN_MS = 6000;

    /** The same for changes known at a new address of discovery, from the moment when that address takes effect. */
    private static final double NOTIFIED_AFTER_ADDRESS_CHANGE_MS = 4000;

    /** Part of these times reserved for an attempt to leave the process and for messages delayed in transit. */
    private static final double SAFETY_MARGIN_MS = 500;

    /** After a failed call the list stays usable for this multiple of the maximum list age of the settings. */
    private static final double UNCONFIRMED_AGE_FACTOR = 4;

    private final Listener listener;
    private boolean agentPushesList;
    private double maxUnconfirmedMs;
    private EndpointListState state = EndpointListState.UNCONFIRMED;
    private double confirmedAtMs = Double.NEGATIVE_INFINITY;
    private double usableUntilMs = Double.NEGATIVE_INFINITY;

    /** Whether discovery itself ended the watch, as it does when it goes down. */
    private boolean outageLikely;

    /** Whether there was no moment since the list was confirmed in which this process could have missed a change. */
    private boolean noChangeMissed;

    private boolean connectionRefusedSeen;

    EndpointListFreshness(Listener listener) {
        this.listener = listener;
    }

    /**
     * Applies new settings.
     *
     * @param pushed whether a local agent pushes the list, so that no other subscriber competes for it
     * @param maxListAgeMs how long the settings allow a list to be used without a call to discovery
     */
    void applySettings(boolean pushed, double maxListAgeMs) {
        agentPushesList = pushed;
        maxUnconfirmedMs = Math.min(NOTIFIED_WITHIN_MS, UNCONFIRMED_AGE_FACTOR * maxListAgeMs) - SAFETY_MARGIN_MS;
    }

    /** Discovery has sent its full state as of now, and the watch reports further changes. */
    void confirmed(double nowMs) {
        confirmedAtMs = nowMs;
        usableUntilMs = Double.POSITIVE_INFINITY;
        transitionTo(EndpointListState.CONFIRMED, nowMs);
    }

    /** The watch is silent; its last message came {@code lastMessageAgoMs} ago. */
    void silent(double nowMs, double lastMessageAgoMs) {
        if (state == EndpointListState.CONFIRMED) {
            startRenewing(nowMs, nowMs - lastMessageAgoMs, false, false);
        }
    }

    /** Discovery has a new address from now on: a usable list stays usable, but for a shorter time. */
    void moved(double nowMs) {
        if (usable(nowMs)) {
            double untilMs = Math.min(usableUntilMs, nowMs + NOTIFIED_AFTER_ADDRESS_CHANGE_MS - SAFETY_MARGIN_MS);
            startRenewing(nowMs, state == EndpointListState.CONFIRMED ? nowMs : confirmedAtMs, false, true);
            usableUntilMs = untilMs;
        }
    }

    /** The watch ended or a call for one failed; the last message came {@code lastMessageAgoMs} ago. */
    void failed(double nowMs, EndpointWatchFailure failure, double lastMessageAgoMs) {
        if (state == EndpointListState.CONFIRMED && failure == EndpointWatchFailure.ENDED) {
            // Discovery ends its watches when it goes down, and all that it sent before has arrived.
            startRenewing(nowMs, nowMs, true, true);
            return;
        }
        silent(nowMs, lastMessageAgoMs);
        if (!usable(nowMs)) {
            return; // discovery may have been reachable meanwhile, with changes that count as notified by now
        }
        switch (failure) {
            case REFUSED -> callRefused(nowMs);
            case ENDED, NO_ANSWER -> callUnanswered(nowMs);
            case NOT_ASKED -> {} // a local fault, which says nothing about discovery
        }
    }

    private void startRenewing(double nowMs, double lastMessageMs, boolean watchEndedByDiscovery, boolean withoutGap) {
        confirmedAtMs = lastMessageMs;
        usableUntilMs = lastMessageMs + maxUnconfirmedMs;
        outageLikely = watchEndedByDiscovery;
        noChangeMissed = withoutGap;
        connectionRefusedSeen = false;
        transitionTo(EndpointListState.RENEWING, nowMs);
    }

    /**
     * Handles a call without an answer. This process cannot tell whether discovery is overloaded or down. After a watch
     * that discovery itself ended, it is assumed to be down and thus to have no changes. If connections were refused
     * since then, they showed the outage, and an unanswered call means that the outage is over.
     */
    private void callUnanswered(double nowMs) {
        if (agentPushesList || outageLikely && !connectionRefusedSeen) {
            usableUntilMs = Double.POSITIVE_INFINITY;
            transitionTo(EndpointListState.UNREACHABLE, nowMs);
        } else {
            noChangeMissed = false;
            transitionTo(EndpointListState.RENEWING, nowMs);
        }
    }

    /**
     * Handles a refused connection: nothing listens at discovery's address, so there is no change to learn of, and
     * there was none since the list was confirmed.
     */
    private void callRefused(double nowMs) {
        if (agentPushesList || noChangeMissed) {
            connectionRefusedSeen = true;
            usableUntilMs = nowMs + maxUnconfirmedMs;
            transitionTo(EndpointListState.UNREACHABLE, nowMs);
        }
    }

    /**
     * Whether the list may be used to send requests. When it may no longer be used, the state becomes stale and the
     * listener is called.
     */
    boolean usable(double nowMs) {
        if (nowMs >= usableUntilMs && state != EndpointListState.UNCONFIRMED) {
            transitionTo(EndpointListState.STALE, nowMs);
        }
        return nowMs < usableUntilMs;
    }

    private void transitionTo(EndpointListState next, double nowMs) {
        if (next != state) {
            EndpointListState previous = state;
            state = next;
            listener.changed(previous, next, nowMs - confirmedAtMs);
        }
    }
}

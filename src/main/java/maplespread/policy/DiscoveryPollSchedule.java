package maplespread.policy;

/**
 * When this dispatcher subscribes to the endpoint list, where it has to ask for it. Discovery answers one call after
 * another and works on for callers that have given up, so the calls of a large fleet are spread over time by the
 * dispatchers' indices; those of a small one are jittered and back off. docs/list-freshness.md has the figures.
 * Times are ms.
 */
final class DiscoveryPollSchedule {
    /** A change counts as notified this long after discovery had it, delivered or not. */
    private static final double CHANGE_NOTIFIED_MS = EndpointListFreshness.NOTIFIED_WITHIN_MS;

    /** The round in which each dispatcher of a large fleet has its turn: below the time in which changes must come. */
    private static final double FLEET_ROUND_MS = 5500;

    /** What discovery takes for one line of a full snapshot, with a margin. */
    private static final double LINE_COST_MS = 0.7;

    /** The first calls of a fleet are spread over at most this long. */
    private static final double MAX_FIRST_SPREAD_MS = CHANGE_NOTIFIED_MS * 2 / 3;

    /** Taken off the first spread, as a call is due at the tick after its time. */
    private static final double FIRST_SPREAD_MARGIN_MS = CHANGE_NOTIFIED_MS / 30;

    /** Longest backoff after a failed call, before the jitter. */
    private static final double MAX_BACKOFF_MS = CHANGE_NOTIFIED_MS / 5;

    /** A call that waited in vain counts with at most this in the backoff. */
    private static final double MAX_COUNTED_WAIT_MS = CHANGE_NOTIFIED_MS / 3;

    /** A fleet is large when all its full snapshots together take discovery longer than this. */
    private static final double LARGE_FLEET_MS = CHANGE_NOTIFIED_MS / 2;

    /** A call that took longer than this has waited in vain; a shorter one was refused. */
    private static final double WAITED_IN_VAIN_MS = CHANGE_NOTIFIED_MS / 6;

    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** No call is due: a list came, or none was ever lost. Any real time lies below. */
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final PolicyContext context;
    private double pollAtMs = NEVER;
    private double polledAtMs;
    private int failedCalls;

    DiscoveryPollSchedule(PolicyContext context) {
        this.context = context;
    }

    /** This dispatcher has started from a cached list: its first call has a place by its index. */
    void cachedSnapshotReceived(int endpoints) {
        double fleetMs = LINE_COST_MS * context.settings.dispatcherCount() * endpoints;
        double spreadMs = Math.min(MAX_FIRST_SPREAD_MS, fleetMs) - FIRST_SPREAD_MARGIN_MS;
        pollAtMs = context.nowMs + ownShareOf(Math.max(0, spreadMs));
    }

    /** Discovery has answered: no call is due until the watch fails. */
    void listReceived() {
        pollAtMs = NEVER;
        failedCalls = 0;
    }

    /** A call failed or the watch broke: schedules the next call, jittered, later with each failure in a row. */
    void watchFailed(int endpoints) {
        double maxBackoffMs = Math.min(context.rules.maxListAgeMs() / 4, MAX_BACKOFF_MS);
        double callTookMs = pollAtMs < NEVER ? context.nowMs - polledAtMs : 0;
        int doublings = Math.min(++failedCalls, MAX_BACKOFF_DOUBLINGS);
        double backoffMs = Math.min(maxBackoffMs, context.memoryMs / 20 * (1L << doublings));
        // At least as long as this call waited, since discovery works on for calls that have given up.
        double atLeastMs = Math.min(callTookMs, MAX_COUNTED_WAIT_MS);
        double jitter = 0.4 + 0.8 * context.random.nextDouble();
        pollAtMs = context.nowMs + Math.max(backoffMs, atLeastMs) * jitter;
        double fleetMs = LINE_COST_MS * context.settings.dispatcherCount() * endpoints;
        if (fleetMs > LARGE_FLEET_MS) {
            double nextTickMs = context.nowMs + context.tickPeriodMs;
            pollAtMs = callTookMs > WAITED_IN_VAIN_MS
                    ? nextTurnAfter(nextTickMs, Math.min(FLEET_ROUND_MS, fleetMs))
                    : nextTickMs + ownShareOf(LARGE_FLEET_MS);
        }
    }

    /** Subscribes if a call is due; without an answer by half the list's greatest age it is due again. */
    void pollIfDue() {
        if (context.nowMs >= pollAtMs && context.settings.pollsDiscovery()) {
            context.actions.watchEndpointList();
            polledAtMs = context.nowMs;
            pollAtMs = context.nowMs + context.rules.maxListAgeMs() / 2;
        }
    }

    /** This dispatcher's next turn in the fleet's round of calls, by the clock that all machines read. */
    private double nextTurnAfter(double fromMs, double roundMs) {
        return fromMs + Math.floorMod(Math.round(ownShareOf(roundMs) - fromMs), Math.round(roundMs));
    }

    /** This dispatcher's place, by its index, in a time that all share. */
    private double ownShareOf(double sharedMs) {
        int dispatchers = context.settings.dispatcherCount();
        return sharedMs * (context.settings.dispatcherIndex() % dispatchers) / dispatchers;
    }
}

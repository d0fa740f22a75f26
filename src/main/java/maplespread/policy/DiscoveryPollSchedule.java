package maplespread.policy;

/**
 * Decides when this dispatcher subscribes to the endpoint list, where it has to ask for the list. Discovery answers one
 * call after another and continues to work on calls that their callers have given up. The calls of a large fleet are
 * therefore spread over time by the dispatchers' indices; those of a small fleet have jitter and backoff.
 * docs/list-freshness.md has the figures. Times are ms.
 */
final class DiscoveryPollSchedule {
    /** Time after which a change that discovery has counts as notified, delivered or not. */
    private static final double CHANGE_NOTIFIED_MS = EndpointListFreshness.NOTIFIED_WITHIN_MS;

    /**
     * Longest round in which each dispatcher of a large fleet calls once: below the time until changes are notified.
     */
    private static final double MAX_FLEET_ROUND_MS = 5500;

    /** Time that discovery takes for one line of a full snapshot, with a margin. */
    private static final double LINE_COST_MS = 0.7;

    /** Longest time over which the first calls of a fleet are spread. */
    private static final double MAX_FIRST_SPREAD_MS = CHANGE_NOTIFIED_MS * 2 / 3;

    /** Part deducted from the first spread, as a call is made at the first tick after its scheduled time. */
    private static final double FIRST_SPREAD_MARGIN_MS = CHANGE_NOTIFIED_MS / 30;

    /** Longest backoff after a failed call, before jitter. */
    private static final double MAX_BACKOFF_MS = CHANGE_NOTIFIED_MS / 5;

    /** Longest duration of an unanswered call that counts in the backoff. */
    private static final double MAX_COUNTED_WAIT_MS = CHANGE_NOTIFIED_MS / 3;

    /** A fleet is large when its full snapshots together take discovery longer than this. */
    private static final double MIN_LARGE_FLEET_MS = CHANGE_NOTIFIED_MS / 2;

    /** A failed call that took longer than this was not answered; a shorter one was refused. */
    private static final double MAX_REFUSED_CALL_MS = CHANGE_NOTIFIED_MS / 6;

    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** Poll time while no call is due: the list is confirmed, or none was ever lost. Later than any real time. */
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final PolicyContext context;
    private double pollAtMs = NEVER;
    private double polledAtMs;
    private int failedCalls;

    DiscoveryPollSchedule(PolicyContext context) {
        this.context = context;
    }

    /** This dispatcher has started from a cached list: schedules its first call by its index. */
    void cachedSnapshotReceived(int endpoints) {
        double fleetSnapshotsMs = LINE_COST_MS * context.settings.dispatcherCount() * endpoints;
        double spreadMs = Math.min(MAX_FIRST_SPREAD_MS, fleetSnapshotsMs) - FIRST_SPREAD_MARGIN_MS;
        pollAtMs = context.nowMs + ownOffsetIn(Math.max(0, spreadMs));
    }

    /**
     * Discovery has answered: no call is due until the watch fails. A change that does not confirm the list, such as one
     * from an address that discovery has left, is no answer.
     */
    void listConfirmed() {
        pollAtMs = NEVER;
        failedCalls = 0;
    }

    /** A call failed or the watch broke: schedules the next call, jittered, later with each failure in a row. */
    void watchFailed(int endpoints) {
        double maxBackoffMs = Math.min(context.rules.maxListAgeMs() / 4, MAX_BACKOFF_MS);
        double callDurationMs = pollAtMs < NEVER ? context.nowMs - polledAtMs : 0;
        int doublings = Math.min(++failedCalls, MAX_BACKOFF_DOUBLINGS);
        double backoffMs = Math.min(maxBackoffMs, context.memoryMs / 20 * (1L << doublings));
        // At least as long as this call waited, since discovery continues to work on calls that were given up.
        double minBackoffMs = Math.min(callDurationMs, MAX_COUNTED_WAIT_MS);
        double jitter = 0.4 + 0.8 * context.random.nextDouble();
        pollAtMs = context.nowMs + Math.max(backoffMs, minBackoffMs) * jitter;
        double fleetSnapshotsMs = LINE_COST_MS * context.settings.dispatcherCount() * endpoints;
        if (fleetSnapshotsMs > MIN_LARGE_FLEET_MS) {
            double nextTickMs = context.nowMs + context.tickPeriodMs;
            pollAtMs = callDurationMs > MAX_REFUSED_CALL_MS
                    ? nextTurnAfter(nextTickMs, Math.min(MAX_FLEET_ROUND_MS, fleetSnapshotsMs))
                    : nextTickMs + ownOffsetIn(MIN_LARGE_FLEET_MS);
        }
    }

    /** Subscribes if a call is due. Without an answer the next call is due after half the maximum list age. */
    void pollIfDue() {
        if (context.nowMs >= pollAtMs && context.settings.pollsDiscovery()) {
            context.actions.watchEndpointList();
            polledAtMs = context.nowMs;
            pollAtMs = context.nowMs + context.rules.maxListAgeMs() / 2;
        }
    }

    /** This dispatcher's next turn in the fleet's round of calls, by the clock that all machines share. */
    private double nextTurnAfter(double fromMs, double roundMs) {
        return fromMs + Math.floorMod(Math.round(ownOffsetIn(roundMs) - fromMs), Math.round(roundMs));
    }

    /** This dispatcher's offset, by its index, in a time that all dispatchers share. */
    private double ownOffsetIn(double sharedMs) {
        int dispatchers = context.settings.dispatcherCount();
        return sharedMs * (context.settings.dispatcherIndex() % dispatchers) / dispatchers;
    }
}

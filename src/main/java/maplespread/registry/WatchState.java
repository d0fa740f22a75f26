package maplespread.registry;

/**
 * What the phases of one {@link RegistryWatcher} share: the settings, the followed targets, the view that is
 * kept up to date, and how far it has come. A target is one key prefix or service of {@code follow}; the
 * watcher's first one has the number {@code firstTarget} in that list. Not thread-safe.
 */
final class WatchState {
    final RegistrySettings settings;
    final int firstTarget;
    final int targets;
    final EndpointView view;
    final DecorrelatedJitter jitter;
    final RegistryServerSelector servers;
    final ReplicaPosition position;
    final FreshnessTracker freshness;
    final CallTimeout timeout;
    RegistryWatcher.Phase phase;
    /** Whether a call has failed since the last event that told of a watch or query that works. */
    boolean interrupted;

    private final RegistryListener listener;

    WatchState(
            RegistrySettings settings,
            int firstTarget,
            int targets,
            EndpointView view,
            DecorrelatedJitter jitter,
            long nowMs,
            RegistryListener listener) {
        this.settings = settings;
        this.firstTarget = firstTarget;
        this.targets = targets;
        this.view = view;
        this.jitter = jitter;
        this.listener = listener;
        servers = new RegistryServerSelector(settings.endpoints().size(), settings.preferAgainMs(), jitter);
        position = new ReplicaPosition(targets);
        freshness = new FreshnessTracker(settings.stalenessLimitMs(), targets, nowMs);
        timeout = new CallTimeout(settings, servers.size());
    }

    /** The address of the server that is called. */
    String serverName() {
        return settings.endpoints().get(servers.current());
    }

    /** At {@code thenMs} nothing was missing in any target; an answer that came now has shown it. */
    void confirmAll(long thenMs, long nowMs) {
        freshness.confirmAll(thenMs);
        timeout.recordAnswer(nowMs);
        settleFreshness(nowMs);
    }

    /** Nothing is missing in the target now. */
    void confirm(int target, long nowMs) {
        freshness.confirm(target, nowMs);
    }

    /** Acts on what has been confirmed: lets overdue workers go, and reports that the copy is fresh again. */
    void settleFreshness(long nowMs) {
        for (int target = 0; target < targets; target++) {
            view.releaseOrphans(firstTarget + target, freshness.confirmedAtMs(target));
        }
        if (freshness.becameFresh(nowMs)) {
            info("registry.fresh", "endpoint", serverName(), "revision", position.number());
        }
    }

    /** Reports once when the copy has become stale. */
    void reportStaleness(long nowMs) {
        if (!position.isEmpty() && freshness.becameStale(nowMs)) {
            warn(
                    "registry.stale",
                    "endpoint",
                    serverName(),
                    "revision",
                    position.number(),
                    "unheard_ms",
                    nowMs - freshness.confirmedAtMs());
        }
    }

    /** Reports that a watch or query works; {@code working} is the event where none had failed before. */
    void reportWorking(String working) {
        info(interrupted ? "registry.resumed" : working, "endpoint", serverName(), "revision", position.number());
        interrupted = false;
    }

    void info(String event, Object... pairs) {
        listener.eventOccurred(false, event, pairs);
    }

    void warn(String event, Object... pairs) {
        listener.eventOccurred(true, event, pairs);
    }
}

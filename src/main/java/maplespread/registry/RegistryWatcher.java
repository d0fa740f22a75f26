package maplespread.registry;

import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

/**
 * Follows one registry: says which call to make next, takes what came of it, and keeps its targets of the view
 * up to date. One call is out at a time. It does no input or output; the client that makes the calls passes the
 * time in. Not thread-safe: the client guards the watcher and the view with one lock.
 *
 * <p>The methods that take an answer return whether the call may go on; where they return false, the client
 * ends it and reports {@link CallOutcome#STOPPED}.
 */
public final class RegistryWatcher {
    /** What a watcher does at present. */
    public enum Phase {
        /** Every key is read, page by page, while the view held so far stays. */
        REBUILDING,
        /** A watch has ended; whether the registry's history is still the one that the view is of. */
        CHECKING,
        /** It is, and it has gone on: the changes since are read. */
        CATCHING_UP,
        /** Changes come as they are made, from the revision after the last whole one. */
        FOLLOWING
    }

    private final boolean fullSnapshots;
    private final WatchState state;
    private final RequestRateLimiter limiter;
    private final HistoryGuard guard;
    private final SnapshotRebuild rebuild;
    private final HistoryVerification verification;
    private final MissedChanges missedChanges;
    private final ChangeStream changeStream;
    private final SnapshotPolling polling;
    private RegistryCall currentCall;
    private boolean denied;

    /**
     * Follows {@code targets} targets of the settings from {@code firstTarget} on. {@code peers}: dispatchers
     * that share the registry, and so the rate of requests. {@code nowMs}: the watcher's first moment.
     */
    public RegistryWatcher(
            RegistrySettings settings,
            int firstTarget,
            int targets,
            int peers,
            EndpointView view,
            long seed,
            long nowMs,
            RegistryListener listener) {
        fullSnapshots = settings.dialect().returnsFullSnapshots();
        DecorrelatedJitter jitter = new DecorrelatedJitter(new SplittableRandom(seed));
        state = new WatchState(settings, firstTarget, targets, view, jitter, nowMs, listener);
        limiter = new RequestRateLimiter((double) settings.requestsPerS() / Math.max(1, peers));
        guard = new HistoryGuard(state);
        rebuild = new SnapshotRebuild(state, guard, peers);
        verification = new HistoryVerification(state);
        missedChanges = new MissedChanges(state);
        changeStream = new ChangeStream(state);
        polling = new SnapshotPolling(state);
        state.phase = fullSnapshots ? Phase.FOLLOWING : Phase.REBUILDING;
        if (!settings.rateKeepsStalenessLimit(peers)) {
            state.warn(
                    "registry.share_small",
                    "key",
                    "registry.requests_per_s",
                    "requests_per_s",
                    settings.requestsPerS(),
                    "dispatchers",
                    peers,
                    "answer_ms",
                    settings.answerMs());
        }
    }

    /** What the watcher does at present; a registry with full snapshots is always followed. */
    public Phase phase() {
        return state.phase;
    }

    /** When nothing was last missing from what is held, in the target that is worst off. */
    public long confirmedAtMs() {
        return state.freshness.confirmedAtMs();
    }

    /**
     * When the call that is out is silent: without its whole answer or, where a watch is on, without a line for
     * each of its targets.
     */
    public long callTimeoutAtMs() {
        if (currentCall instanceof RegistryCall.BlockingQuery query && query.index() > 0) {
            return state.timeout.blockingAnswerDueAtMs(query.waitMs());
        }
        return currentCall instanceof RegistryCall.Watch && changeStream.established()
                ? changeStream.silentAtMs()
                : state.timeout.answerDueAtMs();
    }

    /** Whether the registry refuses the token. */
    public boolean denied() {
        return denied;
    }

    /** The revision up to which everything is held; 0: nothing has been read yet. */
    public long revision() {
        return state.position.number();
    }

    // ------------------------------------------------------------ the next call

    /** The call to make now, or a pause. */
    public RegistryCall nextCall(long nowMs) {
        state.reportStaleness(nowMs);
        OptionalInt selected = state.servers.select(nowMs);
        if (selected.isEmpty()) {
            return new RegistryCall.Pause(Math.max(nowMs + 1, state.servers.earliestRetryAtMs()));
        }
        int server = selected.getAsInt();
        rebuild.requireServer(server);
        verification.requireServer(server);
        if (state.phase == Phase.REBUILDING && rebuild.backsOff(nowMs)) {
            return new RegistryCall.Pause(rebuild.notBeforeMs());
        }
        long permittedAtMs = limiter.acquire(nowMs);
        if (permittedAtMs > 0) {
            return new RegistryCall.Pause(permittedAtMs);
        }
        state.servers.callStarts(nowMs);
        state.timeout.callStarts(nowMs);
        currentCall = call(server, nowMs);
        return currentCall;
    }

    private RegistryCall call(int server, long nowMs) {
        if (fullSnapshots) {
            return polling.nextCall(server);
        }
        return switch (state.phase) {
            case REBUILDING -> rebuild.nextCall(server, nowMs);
            case CHECKING -> verification.nextCall(server);
            case CATCHING_UP -> missedChanges.nextCall(server);
            case FOLLOWING -> changeStream.nextCall(server);
        };
    }

    /** The token has changed: what was refused may be granted now. */
    public void onTokenChanged(long nowMs) {
        denied = false;
        state.servers.clearBackoffs(nowMs);
    }

    // ------------------------------------------------------------ answers

    /** A page of the present rebuild. {@code more}: keys are left behind its last one. */
    public boolean onPage(long nowMs, Revision answered, List<RegistryEntry> entries, boolean more) {
        if (!accepts(nowMs, answered)) {
            return false;
        }
        if (!rebuild.mayContinueAt(answered)) {
            return onFutureRevision(nowMs, answered); // the pages would be of two registries
        }
        rebuild.addPage(nowMs, answered, entries, more);
        return true;
    }

    /**
     * The answer to a verification: by target the number of keys and the key asked for (null: it is not there),
     * and whether the last deleted key is there.
     */
    public boolean onHistoryVerified(
            long nowMs, Revision answered, List<Long> counts, List<RegistryEntry> found, boolean deletedKeyFound) {
        if (!accepts(nowMs, answered)) {
            return false;
        }
        if (!verification.matchesView(counts, found, deletedKeyFound)) {
            guard.prove(answered, "the last changes held are not in it");
            rebuild.enterAtOnce(nowMs);
            return false;
        }
        verification.complete(nowMs, answered);
        return true;
    }

    /** By target how many keys it has at the answer's revision, and those changed since what is held. */
    public boolean onMissedChanges(
            long nowMs, Revision answered, List<Long> counts, List<List<RegistryEntry>> changed) {
        if (!accepts(nowMs, answered)) {
            return false;
        }
        if (missedChanges.includeDeletions(counts, changed)) {
            rebuild.enter();
        } else {
            missedChanges.apply(nowMs, answered, changed);
        }
        return true;
    }

    /** The revision that a page or a verification asked for has been compacted away. */
    public boolean onCompacted(long nowMs) {
        if (state.phase == Phase.CHECKING) {
            onHistoryLost(0); // nothing can be verified any more
        } else {
            rebuild.onCompacted();
        }
        return true;
    }

    private void onHistoryLost(long oldestRevision) {
        state.warn(
                "registry.compacted",
                "while",
                state.phase,
                "revision",
                state.position.number(),
                "oldest",
                oldestRevision);
        rebuild.enter();
    }

    /** The revision that was asked for lies ahead of this server; {@code answered} may be null. */
    public boolean onFutureRevision(long nowMs, Revision answered) {
        rebuild.dropPages();
        if (state.position.isEmpty()) {
            guard.leaveServerAlone(nowMs);
        } else {
            doubt(nowMs, answered == null ? Revision.UNKNOWN : answered);
        }
        return false;
    }

    /** The watch of a target is on. */
    public boolean onWatchCreated(long nowMs, Revision answered, int target) {
        if (!accepts(nowMs, answered)) {
            return false;
        }
        changeStream.onCreated(target);
        return true;
    }

    /**
     * Changes of a target. {@code more}: the answer is one of several that belong together, and the next holds
     * the rest. A revision is never split across answers in another way.
     */
    public boolean onChanges(long nowMs, Revision answered, int target, List<RegistryEntry> entries, boolean more) {
        if (!isOfHeldCluster(nowMs, answered)) {
            return false;
        }
        changeStream.onChanges(nowMs, answered, target, entries, more);
        return true;
    }

    /** Nothing that has not come has changed in this target up to the answer's revision. */
    public boolean onProgress(long nowMs, Revision answered, int target) {
        if (!isOfHeldCluster(nowMs, answered)) {
            return false;
        }
        changeStream.onProgress(nowMs, answered, target);
        return true;
    }

    private boolean isOfHeldCluster(long nowMs, Revision answered) {
        if (answered.clusterId().equals(state.position.held().clusterId())) {
            return true;
        }
        doubt(nowMs, answered);
        return false;
    }

    /** The registry has ended a watch. {@code compactRevision}: the oldest one left, if that is why; else 0. */
    public boolean onWatchCanceled(long nowMs, long compactRevision, String reason) {
        if (compactRevision > 0) {
            onHistoryLost(compactRevision);
        } else {
            state.warn("registry.canceled", "endpoint", state.serverName(), "why", reason);
            state.servers.recordFailure(nowMs, CallOutcome.ERROR);
            verification.enter();
        }
        return false;
    }

    /** The answer to a blocking query. {@code lastContactMs}: how long its server has not heard its leader. */
    public boolean onQueryResult(
            long nowMs, long index, boolean leaderKnown, long lastContactMs, List<RegistryEntry> entries) {
        return polling.onResult(nowMs, index, leaderKnown, lastContactMs, entries);
    }

    /** Whether an answer may follow what is held; where not, it changes nothing. */
    private boolean accepts(long nowMs, Revision answered) {
        HistoryGuard.Judgement judgement = guard.judge(nowMs, answered);
        rebuildIfOtherHistory(nowMs, judgement);
        return judgement == HistoryGuard.Judgement.ACCEPTED;
    }

    private void doubt(long nowMs, Revision answered) {
        rebuildIfOtherHistory(nowMs, guard.doubt(nowMs, answered));
    }

    private void rebuildIfOtherHistory(long nowMs, HistoryGuard.Judgement judgement) {
        if (judgement == HistoryGuard.Judgement.OTHER_HISTORY) {
            rebuild.enterAtOnce(nowMs);
        }
    }

    // ------------------------------------------------------------ the end of a call

    /** The call that was out is over. */
    public void onCallEnded(long nowMs, CallOutcome outcome) {
        denied = outcome == CallOutcome.DENIED;
        if (outcome.isConnectionLoss() && rebuild.hasPages()) {
            rebuild.startOver(); // another history may answer from now on
        }
        boolean silentWatch = outcome == CallOutcome.SILENT && watching() && changeStream.established();
        recordOutcome(nowMs, outcome, silentWatch);
        reportOutcome(nowMs, outcome, silentWatch);
        if (state.servers.returnToPreferred(nowMs)) {
            state.info("registry.prefer", "endpoint", state.serverName());
        }
        boolean watchEnded = watching() && state.phase == Phase.FOLLOWING;
        boolean catchUpEnded =
                currentCall instanceof RegistryCall.ReadMissedChanges && state.phase == Phase.CATCHING_UP;
        if (watchEnded || catchUpEnded) {
            verification.enter();
        }
    }

    private boolean watching() {
        return currentCall instanceof RegistryCall.Watch;
    }

    /** Decides how long the server is left alone, and whether the next answer must be smaller. */
    private void recordOutcome(long nowMs, CallOutcome outcome, boolean silentWatch) {
        switch (outcome) {
            case DONE -> {
                if (watching()) {
                    state.servers.recordNormalEnd(nowMs);
                } else {
                    state.servers.recordSuccess();
                }
            }
            case STOPPED -> {}
            case BROKEN -> recordBreak(nowMs);
            case SILENT -> {
                if (silentWatch) {
                    // A watch may rightly be silent; it is replaced all the same, at the same server first.
                    state.servers.recordNormalEnd(nowMs);
                } else {
                    state.timeout.recordSilence();
                    state.servers.recordFailure(nowMs, outcome);
                }
            }
            case TOO_LARGE -> recordTooLarge(nowMs);
            case REFUSED, ERROR, DENIED, MALFORMED -> state.servers.recordFailure(nowMs, outcome);
        }
    }

    /** A connection that was of use may break once without a longer backoff, so that resuming is quick. */
    private void recordBreak(long nowMs) {
        boolean wasOfUse = state.servers.hasSucceeded(state.servers.current());
        state.servers.recordFailure(nowMs, wasOfUse ? CallOutcome.REFUSED : CallOutcome.BROKEN);
    }

    private void recordTooLarge(long nowMs) {
        rebuild.shrinkPages();
        if (currentCall instanceof RegistryCall.RangePage) {
            state.servers.recordNormalEnd(nowMs);
        } else if (state.phase == Phase.CATCHING_UP) {
            rebuild.enter(); // in pages it is not too large
        } else {
            state.servers.recordFailure(nowMs, CallOutcome.TOO_LARGE);
        }
    }

    private void reportOutcome(long nowMs, CallOutcome outcome, boolean silentWatch) {
        if (silentWatch) {
            state.info("registry.silent", "endpoint", state.serverName(), "revision", revision());
        } else if (outcome != CallOutcome.DONE && outcome != CallOutcome.STOPPED) {
            state.warn(
                    denied ? "registry.denied" : "registry.broken",
                    "endpoint",
                    state.serverName(),
                    "how",
                    outcome,
                    "phase",
                    state.phase,
                    "revision",
                    revision(),
                    "unheard_ms",
                    nowMs - confirmedAtMs());
            state.interrupted = true;
        }
    }

    @Override
    public String toString() {
        return state.phase + " at " + state.position.reached() + (guard.inDoubt() ? ", in doubt" : "");
    }
}

package maplespread.policy;

import java.util.List;

/**
 * What a host reports to its policy; nothing else changes its state. The host calls from one thread at a time, in
 * order. Times are microseconds of the host's own clock, which must never run backwards.
 *
 * <p>Every method throws {@link IllegalArgumentException} if time runs backwards.
 */
public interface PolicyEvents {
    /**
     * Other settings are in force, for requests accepted from now on; what was learnt stays.
     *
     * @throws IllegalArgumentException if a class is missing: classes keep their index, and new ones come behind them
     */
    void settingsChanged(long nowUs, PolicySettings next);

    /** A message of the endpoint list has come. {@code version} only grows. */
    void endpointListReceived(long nowUs, EndpointListKind kind, long version, List<EndpointEntry> entries);

    /** Discovery has sent all that it has, and a watch reports changes from now on. */
    void endpointListConfirmed(long nowUs);

    /** The list is in doubt, the last message so long ago. The host subscribes again without being asked. */
    void endpointListUnconfirmed(long nowUs, EndpointListDoubt why, double lastMessageAgoMs);

    /** A watch or a call for one failed, or the watch broke, the last message so long ago. */
    void endpointWatchFailed(long nowUs, EndpointWatchFailure loss, double lastMessageAgoMs);

    /**
     * A request was accepted.
     *
     * @throws IllegalArgumentException if its class is unknown
     * @throws IllegalStateException if its id is in use
     */
    void requestAccepted(long nowUs, PolicyRequest request);

    /** The attempt has started ({@code share} is ignored), or has done this share of its work, 0 to 1. */
    void attemptProgressed(long nowUs, long id, int attempt, String worker, boolean started, double share);

    /** A streamed response has started: the request is not attempted again. */
    void responseStarted(long nowUs, long id, int attempt, String worker);

    /**
     * An attempt is over.
     *
     * @param lagMs from its sending to its end
     * @param ended the request has ended, by this attempt or earlier
     * @param report the load report that came with it; may be null
     */
    void attemptEnded(
            long nowUs,
            long id,
            int attempt,
            String worker,
            AttemptOutcome outcome,
            double lagMs,
            boolean ended,
            LoadReport report);

    /** Nobody waits for the request any more. */
    void requestAbandoned(long nowUs, long id);

    /** A timer set by {@link PolicyActions#scheduleTimer} is due. */
    void timerExpired(long nowUs, long label);

    /** A probe ended. {@code report} may be null. */
    void probeEnded(long nowUs, String worker, AttemptOutcome outcome, double lagMs, LoadReport report);
}

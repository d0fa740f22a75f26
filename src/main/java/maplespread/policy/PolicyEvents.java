package maplespread.policy;

import java.util.List;

/** What a host tells a node. Nothing else moves it. */
public interface PolicyEvents {
    /**
     * Other settings hold from now on, for requests taken from now on; what was learnt stays. Classes
     * keep their places: new ones stand behind those there were.
     */
    void settingsChanged(long nowUs, PolicySettings next);

    /** News of the worker list. {@code version} only grows. */
    void endpointListReceived(long nowUs, EndpointListKind kind, long version, List<EndpointEntry> entries);

    /** Discovery has told all that it has, and a watch goes on telling. */
    void endpointListConfirmed(long nowUs);

    /** The list is in doubt, last heard of so long ago; the host sees to a new watch without a word from here. */
    void endpointListUnconfirmed(long nowUs, EndpointListDoubt why, double heardAgoMs);

    /** A watch or fetch failed, or the watch broke, last heard so long ago. */
    void endpointWatchFailed(long nowUs, EndpointWatchFailure loss, double heardAgoMs);

    /** A request was taken. Its id must be new. */
    void requestAccepted(long nowUs, PolicyRequest request);

    /** The attempt has started (share 0) or has done this share of its work. */
    void attemptProgressed(long nowUs, long id, int attempt, String worker, boolean started, double share);

    /** A streamed answer has started. */
    void responseStarted(long nowUs, long id, int attempt, String worker);

    /**
     * An attempt is over. {@code ended}: the request has ended, by this or earlier. {@code report} may
     * be null.
     */
    void attemptEnded(
            long nowUs,
            long id,
            int attempt,
            String worker,
            AttemptOutcome verdict,
            double lagMs,
            boolean ended,
            LoadReport report);

    /** Nobody waits for the request any more. */
    void requestAbandoned(long nowUs, long id);

    /** A timer set with {@link PolicyActions#scheduleTimer} is due. */
    void timerExpired(long nowUs, long label);

    /** A probe ended. {@code report} may be null. */
    void probeEnded(long nowUs, String worker, AttemptOutcome verdict, double lagMs, LoadReport report);
}

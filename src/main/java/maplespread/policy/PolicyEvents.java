package maplespread.policy;

import java.util.List;

/**
 * Events that a host reports to its policy; nothing else changes the policy's state. The host calls from one thread at
 * a time, in order. Times are microseconds on the host's own clock, which must never run backwards.
 *
 * <p>Every method throws {@link IllegalArgumentException} if time runs backwards.
 */
public interface PolicyEvents {
    /**
     * New settings apply to requests accepted from now on; what the estimators have learned is kept.
     *
     * @throws IllegalArgumentException if a class is missing: classes keep their index, and new ones are added at
     *     the end
     */
    void settingsChanged(long nowUs, PolicySettings next);

    /** A message of the endpoint list has arrived. {@code version} only increases. */
    void endpointListReceived(long nowUs, EndpointListKind kind, long version, List<EndpointEntry> entries);

    /** Discovery has sent its full state, and a watch reports changes from now on. */
    void endpointListConfirmed(long nowUs);

    /**
     * A confirmed list may be out of date. The host subscribes again without being asked.
     *
     * @param lastMessageAgoMs time since discovery's last message
     */
    void endpointListUnconfirmed(long nowUs, EndpointListDoubt doubt, double lastMessageAgoMs);

    /**
     * A watch ended or broke, or a call for one failed.
     *
     * @param lastMessageAgoMs time since discovery's last message
     */
    void endpointWatchFailed(long nowUs, EndpointWatchFailure failure, double lastMessageAgoMs);

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
     * @param elapsedMs time from its sending to its end
     * @param ended whether the request has ended, by this attempt or earlier
     * @param report the load report that came with it; may be null
     */
    void attemptEnded(
            long nowUs,
            long id,
            int attempt,
            String worker,
            AttemptOutcome outcome,
            double elapsedMs,
            boolean ended,
            LoadReport report);

    /** The client no longer waits for the request. */
    void requestAbandoned(long nowUs, long id);

    /** A timer set by {@link PolicyActions#scheduleTimer} has expired. */
    void timerExpired(long nowUs, long label);

    /** A probe ended. {@code report} may be null. */
    void probeEnded(long nowUs, String worker, AttemptOutcome outcome, double elapsedMs, LoadReport report);
}

package maplespread.policy;

/**
 * What a policy asks of its host, called while it handles an event. None of these calls may call back into the
 * policy, nor block.
 */
public interface PolicyActions {
    /** Send the request to the worker: its next attempt, counted from 0. */
    void sendAttempt(long id, String worker);

    /** End the request; the client may safely try again, after {@code pauseMs} if above 0. */
    void reject(long id, double pauseMs, RejectionReason why);

    /** End the request with an error: it may have run, or its deadline has passed. */
    void fail(long id, RejectionReason why);

    /** Call off an attempt; it still gets its outcome. */
    void cancelAttempt(long id, int attempt);

    /** Probe a worker. */
    void probe(String worker);

    /** Subscribe to the endpoint list. */
    void watchEndpointList();

    /** Call {@link PolicyEvents#timerExpired} with this label after this long. */
    void scheduleTimer(double delayMs, long label);

    /** How far the endpoint list can be relied on has changed, so long after it was last confirmed. */
    void listStateChanged(EndpointListState from, EndpointListState to, double ageMs);

    /** A line for the operators. */
    void log(String line);
}

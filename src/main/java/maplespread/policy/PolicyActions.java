package maplespread.policy;

/**
 * Actions that a policy requests of its host while it handles an event. The implementations must neither call back into
 * the policy nor block.
 */
public interface PolicyActions {
    /** Sends the request to the worker as its next attempt; attempts are counted from 0. */
    void sendAttempt(long id, String worker);

    /** Rejects the request; the client may safely try again, after {@code retryAfterMs} if that is above 0. */
    void reject(long id, double retryAfterMs, RejectionReason reason);

    /** Ends the request with an error: it may have run, or its deadline has passed. */
    void fail(long id, RejectionReason reason);

    /** Cancels an attempt; its outcome is still reported. */
    void cancelAttempt(long id, int attempt);

    /** Probes a worker. */
    void probe(String worker);

    /** Subscribes to the endpoint list. */
    void watchEndpointList();

    /** Calls {@link PolicyEvents#timerExpired} with this label after this delay. */
    void scheduleTimer(double delayMs, long label);

    /** Reports a change of the endpoint list's state, {@code ageMs} after the list was last confirmed. */
    void listStateChanged(EndpointListState from, EndpointListState to, double ageMs);

    /** Logs a line for the operators. */
    void log(String line);
}

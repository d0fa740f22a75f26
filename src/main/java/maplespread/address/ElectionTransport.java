package maplespread.address;

/** Sends the messages and reports the events of an election. Invoked within calls to the election; must not call it. */
public interface ElectionTransport {
    /** Sends a message to another instance; it may be lost, delayed, duplicated or reordered. */
    void send(String receiver, ElectionMessage message);

    /** This instance owns the address from now on, under this term, while {@link LeaderElection#mayAct} holds. */
    void acquired(long term);

    /** This instance owns the address no longer; {@code successor} is the named successor, or empty. */
    void lost(long term, String successor);

    /** Reports an event for the log: its name, followed by alternating field names and values. */
    void event(boolean warning, String name, Object... pairs);
}

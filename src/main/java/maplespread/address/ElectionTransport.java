package maplespread.address;

/** Takes what an election sends and reports. Called during calls of the election; must not call it back. */
public interface ElectionTransport {
    /** Sends a message to another instance; it may be lost, delayed, repeated or overtaken. */
    void send(String receiver, ElectionMessage message);

    /** This instance owns the address from now on, under this term, while {@link LeaderElection#mayAct} holds. */
    void acquired(long term);

    /** This instance owns the address no longer; {@code successor}: who was asked to follow, or empty. */
    void lost(long term, String successor);

    /** Something for the log: its name, then names and values in turn. */
    void event(boolean warning, String name, Object... pairs);
}

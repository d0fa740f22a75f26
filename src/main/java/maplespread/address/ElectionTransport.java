package maplespread.address;

/** Where an election's words go; must not call back into it. */
public interface ElectionTransport {
    void send(String to, ElectionMessage ballot);

    /** This instance owns the address from now on, under this term, while {@link LeaderElection#mayAct} holds. */
    void acquired(long term);

    /** It does not any more. {@code successor}: who was asked to follow; empty where nobody was. */
    void lost(long term, String successor);

    void event(boolean warning, String name, Object... pairs);
}

package maplespread.address;

/** Where an election's words go; must not call back into it. */
public interface ElectionSink {
    void send(String to, Ballot ballot);

    /** This instance owns the address from now on, under this term, while {@link Election#mayAct} holds. */
    void owns(long term);

    /** It does not any more. {@code successor}: who was asked to follow; empty where nobody was. */
    void lost(long term, String successor);

    void event(boolean warning, String name, Object... pairs);
}

package maplespread.consensus;

/** Where an agreement's words and news go. */
public interface ConsensusTransport {
    void send(String to, ConsensusMessage word);

    /** A value was decided that is later than the one known so far. */
    void learned(VersionedValue value);

    void event(boolean warning, String name, Object... pairs);
}

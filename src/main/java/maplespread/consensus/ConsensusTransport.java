package maplespread.consensus;

/** Takes what a node sends and reports. Called during calls of the node; must not call it back. */
public interface ConsensusTransport {
    /** Sends a message to another member; it may be lost, delayed, repeated or overtaken. */
    void send(String receiver, ConsensusMessage message);

    /** A value is known to be decided that is later than the one known so far. */
    void learned(VersionedValue value);

    /** Something for the log: its name, then names and values in turn. */
    void event(boolean warning, String name, Object... pairs);
}

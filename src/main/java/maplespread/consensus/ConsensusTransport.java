package maplespread.consensus;

/** Receives the messages, values and events of a node. Called during calls of the node; must not call the node. */
public interface ConsensusTransport {
    /** Sends a message to another member. The message may be lost, delayed, duplicated or reordered. */
    void send(String receiver, ConsensusMessage message);

    /** Called when the node learns a decided value that is later than the one known before. */
    void learned(VersionedValue value);

    /**
     * Logs an event.
     *
     * @param pairs the names and values of the fields, alternating
     */
    void event(boolean warning, String name, Object... pairs);
}

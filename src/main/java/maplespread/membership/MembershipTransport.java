package maplespread.membership;

/** Sends the messages and reports the events of a member. Invoked within calls to the member; must not call it. */
public interface MembershipTransport {
    /** Sends a message to an address; it may be lost, delayed, duplicated or reordered. */
    void send(String address, SwimMessage message);

    /** A member's state has changed; {@code before} is null where the member was not known. */
    void changed(MemberUpdate before, MemberUpdate after);

    /** Reports an event for the log: its name, followed by alternating field names and values. */
    void event(boolean warning, String name, Object... pairs);
}

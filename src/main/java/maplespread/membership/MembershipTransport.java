package maplespread.membership;

/** Takes what a member sends and reports. Called during calls of the member; must not call it back. */
public interface MembershipTransport {
    /** Sends a message to an address; it may be lost, delayed, repeated or overtaken. */
    void send(String address, SwimMessage message);

    /** A member's state has changed; {@code before} is null where the member was not known. */
    void changed(MemberUpdate before, MemberUpdate after);

    /** Something for the log: its name, then names and values in turn. */
    void event(boolean warning, String name, Object... pairs);
}

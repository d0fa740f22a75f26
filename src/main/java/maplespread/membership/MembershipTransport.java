package maplespread.membership;

/** Where a core's words go; must not call back into it. */
public interface MembershipTransport {
    void send(String address, SwimMessage message);

    /** A member's state has changed; null before: it was not known. */
    void changed(MemberUpdate before, MemberUpdate now);

    /** Something that operators may want to know. */
    void event(boolean warning, String name, Object... pairs);
}

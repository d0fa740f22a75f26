package maplespread.membership;

/** Where a core's words go; must not call back into it. */
public interface MembershipSink {
    void send(String address, Message message);

    /** A member's state has changed; null before: it was not known. */
    void changed(Update before, Update now);

    /** Something that operators may want to know. */
    void event(boolean warning, String name, Object... pairs);
}

package maplespread.membership;

import java.util.List;

/**
 * What one member sends another.
 *
 * @param kind what it asks or answers
 * @param sequence the number of the probe that it belongs to
 * @param target in a ping: the member that it is meant for; in a request for one: the member to ping; else empty
 * @param targetAddress in a request for a ping: the target's address; else empty
 * @param updates gossip, or the whole group
 */
public record SwimMessage(Kind kind, long sequence, String target, String targetAddress, List<MemberUpdate> updates) {
    /** The kinds of messages; packets carry their order numbers. */
    public enum Kind {
        /** Asks the target for an ACK. */
        PING,
        /** Asks a helper to ping the target. */
        PING_REQ,
        /** The target, or the helper on its behalf, answers. */
        ACK,
        /** The helper has had no answer of the target yet. */
        NACK,
        /** Asks for SYNC. */
        JOIN,
        /** Brings the whole group, or a part of it. */
        SYNC
    }

    /** Copies the updates. */
    public SwimMessage {
        updates = List.copyOf(updates);
    }
}

package maplespread.membership;

import java.util.List;

/**
 * What one member sends another. {@code seq}: of the probe that it belongs to; {@code target}: PING: whom
 * it is meant for, PING_REQ: whom to probe, at {@code address}; {@code updates}: news that rides along, or
 * the group.
 */
public record SwimMessage(Kind kind, long sequence, String target, String targetAddress, List<MemberUpdate> updates) {
    /** NACK: the one that was to probe for another has had no answer yet. JOIN asks for SYNC. */
    public enum Kind {
        PING,
        PING_REQ,
        ACK,
        NACK,
        JOIN,
        SYNC
    }

    public SwimMessage {
        updates = List.copyOf(updates);
    }
}

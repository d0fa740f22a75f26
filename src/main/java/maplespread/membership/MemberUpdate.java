package maplespread.membership;

/**
 * One member's state as some member reports it.
 *
 * @param name the member's name
 * @param address where it receives packets, as host:port
 * @param state what is reported of it
 * @param processIncarnation Unix milliseconds at which its process began; tells two processes of one name apart
 * @param incarnation SWIM's number, which only the member itself raises, to refute a suspicion
 * @param suspectedBy the name of the member that suspects it or declared it dead; else empty
 */
public record MemberUpdate(
        String name, String address, State state, long processIncarnation, long incarnation, String suspectedBy) {
    /**
     * The states of a member; a later one overrides an earlier one of the same incarnation. Packets carry their order
     * numbers, and admin answers print their names.
     */
    public enum State {
        /** It answers. */
        ALIVE,
        /** It has not answered, and may yet refute the suspicion. */
        SUSPECT,
        /** It has not refuted the suspicion in time. */
        DEAD,
        /** It has left, as it said itself. */
        LEFT
    }

    /** Whether the member is dead or has left. */
    public boolean departed() {
        return state == State.DEAD || state == State.LEFT;
    }

    /** The same member in another state. */
    MemberUpdate withState(State next, String reporter) {
        return new MemberUpdate(name, address, next, processIncarnation, incarnation, reporter);
    }

    /** Whether this takes the place of what is known of the same member: SWIM's order of precedence. */
    boolean overrides(MemberUpdate known) {
        if (processIncarnation != known.processIncarnation) {
            return processIncarnation > known.processIncarnation;
        }
        if (known.state == State.LEFT) {
            return false; // that process never comes back
        }
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.ordinal() > known.state.ordinal();
    }
}

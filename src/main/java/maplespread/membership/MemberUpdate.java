package maplespread.membership;

/**
 * One member's state as somebody tells it. {@code boot}: when that run of it began, in Unix milliseconds,
 * which tells two runs of one name apart; {@code incarnation}: raised by the member itself alone; {@code
 * by}: who suspects it.
 */
public record MemberUpdate(
        String name, String address, State state, long processIncarnation, long incarnation, String suspectedBy) {
    /** SUSPECT: it has not answered, and may yet refute that. LEFT: it has said so itself. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    public boolean departed() {
        return state == State.DEAD || state == State.LEFT;
    }

    MemberUpdate withState(State next, String suspecter) {
        return new MemberUpdate(name, address, next, processIncarnation, incarnation, suspecter);
    }

    /** Whether this is news to one who holds the other: SWIM's order of precedence. */
    boolean overrides(MemberUpdate held) {
        if (processIncarnation != held.processIncarnation) {
            return processIncarnation > held.processIncarnation;
        }
        if (held.state == State.LEFT) {
            return false; // that run of it never comes back
        }
        if (incarnation != held.incarnation) {
            return incarnation > held.incarnation;
        }
        return state.ordinal() > held.state.ordinal();
    }
}

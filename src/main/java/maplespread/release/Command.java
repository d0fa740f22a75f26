package maplespread.release;

/** A change of the newest state, whoever proposes it and however late; pure. */
public interface Command {
    /** The state after it; the same one where nothing is to change. */
    State apply(State now) throws ReleaseRefused;
}

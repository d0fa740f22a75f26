package maplespread.release;

/** A change of the newest state, whoever proposes it and however late; pure. */
public interface ReleaseCommand {
    /** The state after it; the same one where nothing is to change. */
    RolloutState apply(RolloutState now) throws ReleaseRejectedException;
}

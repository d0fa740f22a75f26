package maplespread.release;

/**
 * A change proposed to the agreed state. A command is pure: its result depends only on the state that it is applied
 * to, so that it does not matter which instance proposes it, how often, or how late. It may be applied several times to
 * states that are never decided.
 */
@FunctionalInterface
public interface ReleaseCommand {
    /**
     * Returns the state after the change, or the same object where nothing changes.
     *
     * @throws ReleaseRejectedException where the state does not allow the change
     */
    RolloutState apply(RolloutState state) throws ReleaseRejectedException;
}

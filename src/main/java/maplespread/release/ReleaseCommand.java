package maplespread.release;

/**
 * A change proposed to the agreed state. Pure: it depends on the state that it is applied to alone, so that it does
 * not matter which instance proposes it, how often, or how late. May be applied several times to states that are never
 * decided.
 */
@FunctionalInterface
public interface ReleaseCommand {
    /**
     * Returns the state after the change, or the same instance where nothing is to change.
     *
     * @throws ReleaseRejectedException where the state does not allow the change; nothing has changed then
     */
    RolloutState apply(RolloutState state) throws ReleaseRejectedException;
}

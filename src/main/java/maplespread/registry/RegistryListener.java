package maplespread.registry;

import maplespread.facade.EndpointUpdate;

/**
 * Notified by a {@link RegistryWatcher} of what has changed, on the thread that reports an answer to it and under
 * the lock that guards it. Must not call back into the watcher.
 */
public interface RegistryListener {
    /** The workers have changed: a full snapshot once, when all targets have first been read, then deltas. */
    void endpointsChanged(EndpointUpdate update);

    /** Something for the operators' log; {@code pairs}: a key and its value, in turn. */
    void eventOccurred(boolean warning, String name, Object... pairs);
}

package maplespread.registry;

import maplespread.facade.EndpointUpdate;

/** Where a core's words go. Called while the core handles what it heard; must not call back into it. */
public interface RegistryListener {
    /** Whole once, when all parts have first been read; changes after that. */
    void endpointsChanged(EndpointUpdate news);

    /** Something that operators may want to know; {@code pairs}: a key and its value, in turn. */
    void eventOccurred(boolean warning, String name, Object... pairs);
}

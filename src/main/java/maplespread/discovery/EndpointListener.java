package maplespread.discovery;

import maplespread.facade.EndpointUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/** Notified of what an {@link EndpointSource} learns, on the source's threads, one call at a time. */
public interface EndpointListener {
    /** Called when the list, or a part of it, has changed. */
    void endpointsChanged(EndpointUpdate update);

    /**
     * Called when a watch that the policy requested could not be opened or has ended.
     *
     * @param lastReceivedAgoMs time since the last line, in milliseconds
     */
    void watchLost(EndpointWatchFailure failure, double lastReceivedAgoMs);

    /**
     * Called when the list may be out of date, which lasts until the next confirmed update.
     *
     * @param lastReceivedAgoMs time since the last line, in milliseconds
     */
    void listUnconfirmed(EndpointListDoubt doubt, double lastReceivedAgoMs);
}

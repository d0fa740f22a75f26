package maplespread.discovery;

import maplespread.facade.EndpointUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/** Notified of what an {@link EndpointSource} learns, on the source's threads, one call at a time. */
public interface EndpointListener {
    /** The list, or a part of it, has changed. */
    void endpointsChanged(EndpointUpdate update);

    /** A watch that the policy had asked for could not be opened or broke; the last line came so many ms ago. */
    void watchLost(EndpointWatchFailure failure, double lastReceivedAgoMs);

    /** The list may be out of date; the last line came so many ms ago, until an update comes that is confirmed. */
    void listUnconfirmed(EndpointListDoubt doubt, double lastReceivedAgoMs);
}

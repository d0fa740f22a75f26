package maplespread.discovery;

import maplespread.facade.EndpointUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/** Takes what a source learns. */
public interface EndpointListener {
    void endpointsChanged(EndpointUpdate news);

    /** A watch that the module had asked for could not be had or broke, last heard so long ago. */
    void watchLost(EndpointWatchFailure loss, double heardAgoMs);

    /** The list may be out of date, heard of last so long ago, until news comes that is current. */
    void listUnconfirmed(EndpointListDoubt why, double heardAgoMs);
}

package maplespread.routes;

import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;

/** Takes what a source learns. */
public interface RouteSink {
    void news(EndpointUpdate news);

    /** A watch that the module had asked for could not be had or broke, last heard so long ago. */
    void watchLost(Dispatch.ListLoss loss, double heardAgoMs);

    /** The list may be out of date, heard of last so long ago, until news comes that is current. */
    void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs);
}

package maplespread.feature;

import java.net.InetSocketAddress;
import maplespread.caller.RecentRequestIds;
import maplespread.config.Config;
import maplespread.metrics.Metrics;
import maplespread.worker.PeerForwarder;

/** What a feature may ask of the dispatcher that it belongs to. Every method may be called by any thread. */
public interface FeatureContext {
    /** The configuration as it was read last. */
    Config config();

    /** The dispatcher's metrics. */
    Metrics metrics();

    /** How many workers are listed, and how many of them get nothing new. */
    Metrics.HostCounts hostCounts();

    /** What a feature says of the settings has changed: the policy is given them anew. */
    void reapplySettings();

    /** Weights that a tenant's requests count with, by the tenant's index, from 1 up; tenants beyond its end: 1. */
    void setPriorityBoosts(double[] weights);

    /** Sends clients away; false outside of service. */
    boolean quiesce();

    /** Has clients come again; false outside of service. */
    boolean resume();

    /** Whether clients are to be sent here. */
    boolean isServing();

    /** Whether clients that come are accepted. */
    boolean isAccepting();

    /** The ids of the requests in flight and of recent ones. */
    RecentRequestIds requestIds();

    /** Where clients connect; null before the listener is bound. */
    InetSocketAddress listenAddress();

    /** Forwards requests to other dispatchers, on connections of the same pool as those to workers. */
    PeerForwarder peerForwarder();
}

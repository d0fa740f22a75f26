package maplespread.feature;

import java.net.InetSocketAddress;
import maplespread.config.Config;
import maplespread.metrics.Metrics;
import maplespread.worker.PeerForwarder;

/** What a part may ask of the dispatcher that it belongs to. */
public interface FeatureContext {
    Config config();

    Metrics metrics();

    /** Workers on the list, and those that get nothing new. */
    Metrics.HostCounts hostCounts();

    /** What a part says of the settings has changed: the module is given them anew. */
    void reapplySettings();

    /** What requests count for more, by tenant, from 1 up; tenants beyond its end: as they are. */
    void setPriorityBoosts(double[] weights);

    /** Sends clients away; false outside of service. */
    boolean quiesce();

    /** Has clients come again; false outside of service. */
    boolean resume();

    /** Whether clients are to be sent here. */
    boolean isServing();

    /** Whether clients that come are taken. */
    boolean isAccepting();

    /** Where clients are listened to; null: not yet. */
    InetSocketAddress listenAddress();

    /** What takes requests to other dispatchers, on the connections that are for workers too. */
    PeerForwarder peerForwarder();
}

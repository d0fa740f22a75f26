package maplespread.parts;

import java.net.InetSocketAddress;
import maplespread.config.Config;
import maplespread.figures.Figures;
import maplespread.worker.Relay;

/** What a part may ask of the dispatcher that it belongs to. */
public interface Host {
    Config config();

    Figures figures();

    /** Workers on the list, and those that get nothing new. */
    Figures.Hosts hosts();

    /** What a part says of the settings has changed: the module is given them anew. */
    void settle();

    /** What requests count for more, by tenant, from 1 up; tenants beyond its end: as they are. */
    void relief(double[] weights);

    /** Sends clients away; false outside of service. */
    boolean quiesce();

    /** Has clients come again; false outside of service. */
    boolean resume();

    /** Whether clients are to be sent here. */
    boolean serving();

    /** Whether clients that come are taken. */
    boolean accepting();

    /** Where clients are listened to; null: not yet. */
    InetSocketAddress listens();

    /** What takes requests to other dispatchers, on the connections that are for workers too. */
    Relay relay();
}

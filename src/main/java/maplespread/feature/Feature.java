package maplespread.feature;

import java.io.Closeable;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import maplespread.admin.AdminRoutes;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.facade.RequestListener;
import maplespread.metrics.Metrics;
import maplespread.policy.PolicySettings;

/** One optional part of a dispatcher. Each of its words is asked in the order in which the parts stand. */
public interface Feature extends Closeable {
    /** Begins, before anything is listened on; must not wait. */
    default void start() throws IOException {}

    /** The dispatcher serves from now on. */
    default void onServing() {}

    /** Takes up a file that has been read and checked whole: nothing may fail here. */
    default void reload(Config config, OperatorConfig next) {}

    /** What stands before the dispatcher on the route set's way. */
    default EndpointListener wrapListener(EndpointListener next) {
        return next;
    }

    /** The settings as the module is to have them. */
    default PolicySettings adjustSettings(PolicySettings told) {
        return told;
    }

    /** The workers as the figures show them. */
    default Metrics.HostCounts adjustHostCounts(Metrics.HostCounts told) {
        return told;
    }

    /** Who hears of each job; null: this part does not. */
    default RequestListener requestListener() {
        return null;
    }

    /** What stands between a job and the module; null: this part does not. */
    default RequestSequencer requestSequencer() {
        return null;
    }

    /** Addresses of other dispatchers to which connections are kept. */
    default Collection<String> peerAddresses() {
        return List.of();
    }

    /** Its calls on the console by method and path; one of a name that is there takes that one's place. */
    default Map<String, AdminRoutes.Call> adminRoutes() {
        return Map.of();
    }

    /** About every second; must be quick. */
    default void maintain() {}

    /** The dispatcher has been told to end, and goes on serving for a while. */
    default void beginShutdown() {}

    /** The dispatcher has answered all that it took. */
    @Override
    default void close() {}
}

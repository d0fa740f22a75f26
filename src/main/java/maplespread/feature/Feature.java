package maplespread.feature;

import java.io.Closeable;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.admin.AdminRoutes;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.facade.RequestListener;
import maplespread.metrics.Metrics;
import maplespread.policy.PolicySettings;

/**
 * One optional feature of a dispatcher. {@link Features} calls each method on all features that are on, in their order;
 * {@link #wrapListener} comes first of all, and {@link #close} in reverse order, last of all.
 */
interface Feature extends Closeable {
    /** Starts before the dispatcher listens for clients. Must not wait. */
    default void start() throws IOException {}

    /** The dispatcher is about to listen for clients. May wait for a bounded time. */
    default void beforeServing() throws InterruptedException {}

    /** The dispatcher serves clients from now on. */
    default void onServing() {}

    /** Takes up files that have been read and checked as a whole: nothing may fail here. */
    default void reload(Config config, OperatorConfig operator) {}

    /** The listener that gets endpoints in place of {@code next}, and passes on what is to reach the dispatcher. */
    default EndpointListener wrapListener(EndpointListener next) {
        return next;
    }

    /** The settings as the policy is to have them. */
    default PolicySettings adjustSettings(PolicySettings settings) {
        return settings;
    }

    /** The workers as the metrics show them. */
    default Metrics.HostCounts adjustHostCounts(Metrics.HostCounts counts) {
        return counts;
    }

    /** Notified of each request; empty: this feature needs none. */
    default Optional<RequestListener> requestListener() {
        return Optional.empty();
    }

    /** Decides when a request may be sent, before the policy does; empty: this feature needs none. */
    default Optional<RequestSequencer> requestSequencer() {
        return Optional.empty();
    }

    /** Addresses of other dispatchers to which connections are kept. */
    default Collection<String> peerAddresses() {
        return List.of();
    }

    /** Its admin calls by method and path; a call of the dispatcher under the same name is replaced. */
    default Map<String, AdminRoutes.Call> adminRoutes() {
        return Map.of();
    }

    /** Called about once a second. Must not block. */
    default void maintain() {}

    /** The dispatcher has been told to end, and goes on serving for a while. */
    default void beginShutdown() {}

    /** The dispatcher has answered all that it accepted. */
    @Override
    default void close() {}
}

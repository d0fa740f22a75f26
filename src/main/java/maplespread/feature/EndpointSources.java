package maplespread.feature;

import maplespread.config.Config;
import maplespread.discovery.DiscoveryClient;
import maplespread.discovery.EndpointParser;
import maplespread.discovery.EndpointSourceSwitch;
import maplespread.registry.RegistrySettings;
import maplespread.registry.client.RegistryEndpointSource;

/** Chooses where workers' endpoints are learned from. */
public final class EndpointSources {
    private EndpointSources() {}

    /** The source that the files name; {@code registry}: null for the discovery service of the configuration. */
    public static EndpointSourceSwitch.Factory create(Config config, RegistrySettings registry) {
        EndpointParser parser =
                new EndpointParser(config.names().zones(), config.names().kinds());
        if (registry == null) {
            return listener -> new DiscoveryClient(
                    config.discovery(),
                    parser,
                    config.cachedEndpoints().version(),
                    config.times().watchTimeouts(),
                    !config.settings().pollsDiscovery(),
                    config.seed(),
                    listener);
        }
        return listener -> new RegistryEndpointSource(
                registry, parser, config.settings().dispatcherCount(), config.seed(), listener);
    }
}

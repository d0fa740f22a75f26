package maplespread.feature;

import maplespread.config.Config;
import maplespread.discovery.DiscoveryClient;
import maplespread.discovery.EndpointParser;
import maplespread.discovery.EndpointSourceSwitch;
import maplespread.registry.RegistrySettings;
import maplespread.registry.client.RegistryEndpointSource;

/** Where the workers are learned from. */
public final class EndpointSources {
    private EndpointSources() {}

    /** {@code registry}: null where discovery has the word. */
    public static EndpointSourceSwitch.Factory create(Config config, RegistrySettings registry) {
        EndpointParser reader =
                new EndpointParser(config.names().zones(), config.names().kinds());
        if (registry == null) {
            return sink -> new DiscoveryClient(
                    config.discovery(),
                    reader,
                    config.cachedEndpoints().version(),
                    config.times().watchTimeouts(),
                    !config.settings().pollsDiscovery(),
                    config.seed(),
                    sink);
        }
        return sink ->
                new RegistryEndpointSource(registry, reader, config.settings().dispatcherCount(), config.seed(), sink);
    }
}

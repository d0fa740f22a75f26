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

    /** The first source, which goes on from the configuration's cached list. */
    public static EndpointSourceSwitch.Factory first(Config config, RegistrySettings registry) {
        return create(config, registry, config.cachedEndpoints().version());
    }

    /** A source that takes another one's place: it asks for the full list, as versions of another source mean nothing. */
    public static EndpointSourceSwitch.Factory replacement(Config config, RegistrySettings registry) {
        return create(config, registry, 0);
    }

    /** The source that the files name; {@code registry}: null for the discovery service of the configuration. */
    private static EndpointSourceSwitch.Factory create(Config config, RegistrySettings registry, long listVersion) {
        EndpointParser parser =
                new EndpointParser(config.names().zones(), config.names().kinds());
        if (registry == null) {
            return listener -> new DiscoveryClient(
                    config.discovery(),
                    parser,
                    listVersion,
                    config.times().watchTimeouts(),
                    !config.settings().pollsDiscovery(),
                    config.seed(),
                    listener);
        }
        return listener -> new RegistryEndpointSource(
                registry, parser, config.settings().dispatcherCount(), config.seed(), listener);
    }
}

package maplespread.parts;

import maplespread.config.Config;
import maplespread.registry.RegistrySettings;
import maplespread.registry.client.RegistrySource;
import maplespread.routes.DiscoveryClient;
import maplespread.routes.DiscoverySwitch;
import maplespread.routes.RouteReader;

/** Where the workers are learned from. */
public final class Sources {
    private Sources() {}

    /** {@code registry}: null where discovery has the word. */
    public static DiscoverySwitch.Maker of(Config config, RegistrySettings registry) {
        RouteReader reader =
                new RouteReader(config.names().zones(), config.names().kinds());
        if (registry == null) {
            return sink -> new DiscoveryClient(
                    config.discovery(),
                    reader,
                    config.known().generation(),
                    config.times().list(),
                    !config.settings().ask(),
                    config.seed(),
                    sink);
        }
        return sink -> new RegistrySource(registry, reader, config.settings().balancers(), config.seed(), sink);
    }
}

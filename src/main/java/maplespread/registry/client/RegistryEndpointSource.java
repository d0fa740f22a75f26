package maplespread.registry.client;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.EndpointParser;
import maplespread.discovery.EndpointSource;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.log.Event;
import maplespread.registry.EndpointView;
import maplespread.registry.EntryDecoder;
import maplespread.registry.RegistryListener;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistryWatcher;

/** Workers from a registry. One conversation for all of etcd's prefixes, one for each of Consul's names. */
public final class RegistryEndpointSource implements EndpointSource {
    private static final long STACK = 256 * 1024; // Gson recurses once a level
    private final RegistrySettings settings;
    private final EndpointView view;
    private final List<RegistryWatcher> cores = new ArrayList<>();
    private final List<RegistryClient> followers = new ArrayList<>();
    private final long startedAt = RegistryClient.nowMs();

    /** {@code peers}: dispatchers that share the registry. */
    public RegistryEndpointSource(
            RegistrySettings settings, EndpointParser reader, int peers, long seed, EndpointListener to) {
        this.settings = settings;
        RegistryListener sink = new RegistryListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {
                to.endpointsChanged(news);
            }

            @Override
            public void eventOccurred(boolean warning, String name, Object... pairs) {
                Event.write(warning, name, pairs);
            }
        };
        int parts = settings.follow().size();
        view = new EndpointView(parts, entryDecoder(reader), settings.forgetAfterMs(), sink);
        int each = settings.dialect().returnsFullSnapshots() ? 1 : parts;
        for (int first = 0; first < parts; first += each) {
            RegistryWatcher core =
                    new RegistryWatcher(settings, first, each, peers, view, seed + first, startedAt, sink);
            cores.add(core);
            followers.add(new RegistryClient(
                    settings, core, view, "registry " + settings.follow().get(first), STACK));
        }
    }

    /** A value is in discovery's form; where it names no worker, the key's last segment does. */
    public static EntryDecoder entryDecoder(EndpointParser reader) {
        return (key, text) -> {
            try {
                JsonObject o = JsonParser.parseString(text).getAsJsonObject();
                if (!o.has("instanceId")) {
                    o.addProperty("instanceId", key.substring(key.lastIndexOf('/') + 1));
                }
                Endpoint route = reader.parseEndpoint(o);
                if (route.state() == Endpoint.State.DELETED) {
                    throw new IllegalArgumentException("a key that is there cannot be DELETED");
                }
                if (route.worker().isEmpty()) {
                    throw new IllegalArgumentException("it names no worker");
                }
                return route;
            } catch (RuntimeException e) { // the text may be long, and not for the log
                throw new IllegalArgumentException(e.getClass().getSimpleName() + ": "
                        + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        };
    }

    @Override
    public void start() {
        followers.forEach(RegistryClient::start);
    }

    /** The core keeps its own pace. */
    @Override
    public void watch() {}

    @Override
    public boolean moveTo(InetSocketAddress address) {
        return false;
    }

    @Override
    public String notReadyReason() {
        long most = settings.notReadyAfterMs();
        synchronized (view) {
            for (RegistryWatcher core : cores) {
                long age = RegistryClient.nowMs() - core.confirmedAtMs();
                if (most > 0 && age > most) {
                    return "the registry has said nothing for " + age / 1000 + " s"
                            + (core.denied() ? ": it refuses the token" : "");
                }
            }
            return null;
        }
    }

    /** The revision up to which the first conversation holds all. */
    public long revision() {
        synchronized (view) {
            return cores.get(0).revision();
        }
    }

    @Override
    public void close() {
        followers.forEach(RegistryClient::close);
    }
}

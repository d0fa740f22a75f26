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

/**
 * Learns the workers from a registry: one conversation for all of etcd's prefixes, one for each of Consul's
 * names. The watchers share one view, whose monitor guards them all. Thread-safe.
 */
public final class RegistryEndpointSource implements EndpointSource {
    /** Gson recurses once for each level of a text. */
    private static final long STACK_BYTES = 256 * 1024;

    private static final long MS_PER_SECOND = 1000;
    private static final String WORKER_MEMBER = "instanceId";

    private final RegistrySettings settings;
    private final EndpointView view;
    private final List<RegistryWatcher> watchers = new ArrayList<>();
    private final List<RegistryClient> clients = new ArrayList<>();

    /** {@code peers}: dispatchers that share the registry; {@code listener}: notified from {@link #start} on. */
    public RegistryEndpointSource(
            RegistrySettings settings, EndpointParser parser, int peers, long seed, EndpointListener listener) {
        this.settings = settings;
        RegistryListener registryListener = logAndPassOn(listener);
        int targets = settings.follow().size();
        view = new EndpointView(targets, entryDecoder(parser), settings.forgetAfterMs(), registryListener);
        long nowMs = RegistryClient.nowMs();
        int targetsEach = settings.dialect().returnsFullSnapshots() ? 1 : targets;
        for (int first = 0; first < targets; first += targetsEach) {
            RegistryWatcher watcher = new RegistryWatcher(
                    settings, first, targetsEach, peers, view, seed + first, nowMs, registryListener);
            watchers.add(watcher);
            String threadName = "registry " + settings.follow().get(first);
            clients.add(new RegistryClient(settings, watcher, view, threadName, STACK_BYTES));
        }
    }

    private static RegistryListener logAndPassOn(EndpointListener listener) {
        return new RegistryListener() {
            @Override
            public void endpointsChanged(EndpointUpdate update) {
                listener.endpointsChanged(update);
            }

            @Override
            public void eventOccurred(boolean warning, String name, Object... pairs) {
                Event.write(warning, name, pairs);
            }
        };
    }

    /** Decodes values in discovery's form; where one names no worker, the key's last segment does. */
    public static EntryDecoder entryDecoder(EndpointParser parser) {
        return (key, value) -> {
            try {
                return decode(parser, key, value);
            } catch (RuntimeException e) { // the value may be long: only the first line is for the log
                String firstLine =
                        String.valueOf(e.getMessage()).lines().findFirst().orElse("");
                throw new IllegalArgumentException(e.getClass().getSimpleName() + ": " + firstLine);
            }
        };
    }

    private static Endpoint decode(EndpointParser parser, String key, String value) {
        JsonObject worker = JsonParser.parseString(value).getAsJsonObject();
        if (!worker.has(WORKER_MEMBER)) {
            worker.addProperty(WORKER_MEMBER, key.substring(key.lastIndexOf('/') + 1));
        }
        Endpoint endpoint = parser.parseEndpoint(worker);
        if (endpoint.state() == Endpoint.State.DELETED) {
            throw new IllegalArgumentException("a key that is there cannot be DELETED");
        }
        if (endpoint.worker().isEmpty()) {
            throw new IllegalArgumentException("it names no worker");
        }
        return endpoint;
    }

    @Override
    public void start() {
        clients.forEach(RegistryClient::start);
    }

    /** Does nothing: the watchers decide when to call. */
    @Override
    public void watch() {}

    @Override
    public boolean moveTo(InetSocketAddress address) {
        return false;
    }

    @Override
    public String notReadyReason() {
        long limitMs = settings.notReadyAfterMs();
        synchronized (view) {
            for (RegistryWatcher watcher : watchers) {
                long ageMs = RegistryClient.nowMs() - watcher.confirmedAtMs();
                if (limitMs > 0 && ageMs > limitMs) {
                    return "the registry has said nothing for " + ageMs / MS_PER_SECOND + " s"
                            + (watcher.denied() ? ": it refuses the token" : "");
                }
            }
            return null;
        }
    }

    /** The revision up to which the first conversation holds everything. */
    public long revision() {
        synchronized (view) {
            return watchers.get(0).revision();
        }
    }

    @Override
    public void close() {
        clients.forEach(RegistryClient::close);
    }
}

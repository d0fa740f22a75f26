package maplespread.registry.client;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Route;
import maplespread.log.Event;
import maplespread.registry.ClaimReader;
import maplespread.registry.RegistryCore;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySink;
import maplespread.registry.View;
import maplespread.routes.RouteReader;
import maplespread.routes.RouteSink;
import maplespread.routes.RouteSource;

/** Workers from a registry. One conversation for all of etcd's prefixes, one for each of Consul's names. */
public final class RegistrySource implements RouteSource {
    private static final long STACK = 256 * 1024; // Gson recurses once a level
    private final RegistrySettings settings;
    private final View view;
    private final List<RegistryCore> cores = new ArrayList<>();
    private final List<Follower> followers = new ArrayList<>();
    private final long startedAt = Follower.nowMs();

    /** {@code peers}: dispatchers that share the registry. */
    public RegistrySource(RegistrySettings settings, RouteReader reader, int peers, long seed, RouteSink to) {
        this.settings = settings;
        RegistrySink sink = new RegistrySink() {
            @Override
            public void news(EndpointUpdate news) {
                to.news(news);
            }

            @Override
            public void event(boolean warning, String name, Object... pairs) {
                Event.write(warning, name, pairs);
            }
        };
        int parts = settings.follow().size();
        view = new View(parts, claims(reader), settings.forgetAfterMs(), sink);
        int each = settings.dialect().wholeAnswers() ? 1 : parts;
        for (int first = 0; first < parts; first += each) {
            RegistryCore core = new RegistryCore(settings, first, each, peers, view, seed + first, startedAt, sink);
            cores.add(core);
            followers.add(new Follower(
                    settings, core, view, "registry " + settings.follow().get(first), STACK));
        }
    }

    /** A value is in discovery's form; where it names no worker, the key's last segment does. */
    public static ClaimReader claims(RouteReader reader) {
        return (key, text) -> {
            try {
                JsonObject o = JsonParser.parseString(text).getAsJsonObject();
                if (!o.has("instanceId")) {
                    o.addProperty("instanceId", key.substring(key.lastIndexOf('/') + 1));
                }
                Route route = reader.route(o);
                if (route.state() == Route.State.DELETED) {
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
        followers.forEach(Follower::start);
    }

    /** The core keeps its own pace. */
    @Override
    public void watch() {}

    @Override
    public boolean move(InetSocketAddress address) {
        return false;
    }

    @Override
    public String unready() {
        long most = settings.notReadyAfterMs();
        synchronized (view) {
            for (RegistryCore core : cores) {
                long age = Follower.nowMs() - core.heardAt();
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
        followers.forEach(Follower::close);
    }
}

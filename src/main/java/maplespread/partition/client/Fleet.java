package maplespread.partition.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import maplespread.config.Config;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Route;
import maplespread.partition.Partition;
import maplespread.partition.Partition.Worker;
import maplespread.routes.RouteSink;

/** The workers as the list shows them, and which of them are in a partition. */
public final class Fleet implements RouteSink {
    private final RouteSink next;
    private final Config.Names names;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<Partition, Members> members = new IdentityHashMap<>();
    private volatile long version;

    /** {@code next}: hears all of it, after this one. */
    public Fleet(RouteSink next, Config.Names names) {
        this.next = next;
        this.names = names;
    }

    /** The workers of one partition; found anew once the list has changed. */
    final class Members implements Predicate<String> {
        private final Partition of;
        private volatile Found found = new Found(-1, Set.of(), false);

        private Members(Partition of) {
            this.of = of;
        }

        private record Found(long version, Set<String> ids, boolean served) {}

        private Found found() {
            Found f = found;
            if (f.version != version) {
                synchronized (Fleet.this) {
                    Set<String> ids = new HashSet<>();
                    boolean served = false;
                    for (Route r : routes.values()) {
                        if (of.holds(worker(r))) {
                            ids.add(r.worker());
                            served |= r.state() == Route.State.SERVING;
                        }
                    }
                    f = new Found(version, ids, served);
                    found = f;
                }
            }
            return f;
        }

        @Override
        public boolean test(String worker) {
            return found().ids.contains(worker);
        }

        /** Whether any of them takes work. */
        boolean served() {
            return found().served;
        }
    }

    synchronized Members of(Partition p) {
        return members.computeIfAbsent(p, Members::new);
    }

    /** Only these are asked for from now on. */
    synchronized void keep(Set<Partition> partitions) {
        members.keySet().removeIf(p -> partitions.stream().noneMatch(k -> k == p));
    }

    private Worker worker(Route r) {
        return new Worker(r.worker(), name(names.zones(), r.zone()), name(names.kinds(), r.kind()), r.cell());
    }

    private static String name(List<String> names, int place) {
        return place < 0 || place >= names.size() ? "" : names.get(place);
    }

    synchronized List<Worker> workers() {
        return new ArrayList<>(routes.values().stream().map(this::worker).toList());
    }

    @Override
    public void news(EndpointUpdate news) {
        // Before the module: what it may pick is known here.
        synchronized (this) {
            if (news.kind() != EndpointUpdate.Kind.CHANGES) {
                routes.clear();
            }
            for (Route r : news.routes()) {
                if (r.state() == Route.State.DELETED) {
                    routes.remove(r.worker());
                } else {
                    routes.put(r.worker(), r);
                }
            }
            version++;
        }
        next.news(news);
    }

    @Override
    public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {
        next.watchLost(loss, heardAgoMs);
    }

    @Override
    public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {
        next.unconfirmed(why, heardAgoMs);
    }
}

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
import maplespread.discovery.EndpointListener;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.partition.Partition;
import maplespread.partition.Partition.Worker;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/** The workers as the list shows them, and which of them are in a partition. */
public final class PartitionEndpoints implements EndpointListener {
    private final EndpointListener next;
    private final Config.Names names;
    private final Map<String, Endpoint> routes = new HashMap<>();
    private final Map<Partition, PartitionWorkers> members = new IdentityHashMap<>();
    private volatile long version;

    /** {@code next}: hears all of it, after this one. */
    public PartitionEndpoints(EndpointListener next, Config.Names names) {
        this.next = next;
        this.names = names;
    }

    /** The workers of one partition; found anew once the list has changed. */
    final class PartitionWorkers implements Predicate<String> {
        private final Partition of;
        private volatile Snapshot found = new Snapshot(-1, Set.of(), false);

        private PartitionWorkers(Partition of) {
            this.of = of;
        }

        private record Snapshot(long version, Set<String> ids, boolean served) {}

        private Snapshot found() {
            Snapshot f = found;
            if (f.version != version) {
                synchronized (PartitionEndpoints.this) {
                    Set<String> ids = new HashSet<>();
                    boolean served = false;
                    for (Endpoint r : routes.values()) {
                        if (of.contains(worker(r))) {
                            ids.add(r.worker());
                            served |= r.state() == Endpoint.State.SERVING;
                        }
                    }
                    f = new Snapshot(version, ids, served);
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
        boolean hasServingWorker() {
            return found().served;
        }
    }

    synchronized PartitionWorkers workersOf(Partition p) {
        return members.computeIfAbsent(p, PartitionWorkers::new);
    }

    /** Only these are asked for from now on. */
    synchronized void retain(Set<Partition> partitions) {
        members.keySet().removeIf(p -> partitions.stream().noneMatch(k -> k == p));
    }

    private Worker worker(Endpoint r) {
        return new Worker(r.worker(), name(names.zones(), r.zone()), name(names.kinds(), r.kind()), r.cell());
    }

    private static String name(List<String> names, int place) {
        return place < 0 || place >= names.size() ? "" : names.get(place);
    }

    synchronized List<Worker> workers() {
        return new ArrayList<>(routes.values().stream().map(this::worker).toList());
    }

    @Override
    public void endpointsChanged(EndpointUpdate news) {
        // Before the module: what it may pick is known here.
        synchronized (this) {
            if (news.kind() != EndpointUpdate.Kind.DELTA) {
                routes.clear();
            }
            for (Endpoint r : news.endpoints()) {
                if (r.state() == Endpoint.State.DELETED) {
                    routes.remove(r.worker());
                } else {
                    routes.put(r.worker(), r);
                }
            }
            version++;
        }
        next.endpointsChanged(news);
    }

    @Override
    public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
        next.watchLost(loss, heardAgoMs);
    }

    @Override
    public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
        next.listUnconfirmed(why, heardAgoMs);
    }
}

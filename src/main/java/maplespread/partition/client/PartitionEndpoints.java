package maplespread.partition.client;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
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

/**
 * The workers as the endpoint list shows them, and which of them are in a partition. Updates come on the list's
 * thread, questions on requests' threads; what both use is guarded by this object's monitor or volatile.
 */
public final class PartitionEndpoints implements EndpointListener {
    private final EndpointListener next;
    private final Config.Names names;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** By identity: partitions of different tables may be equal. */
    private final IdentityHashMap<Partition, PartitionWorkers> workers = new IdentityHashMap<>();

    private volatile long version;

    /** {@code next}: is told all of it, after this one; {@code names}: of the site's zones and kinds. */
    public PartitionEndpoints(EndpointListener next, Config.Names names) {
        this.next = next;
        this.names = names;
    }

    /** The workers of one partition; determined anew once the list has changed. */
    final class PartitionWorkers implements Predicate<String> {
        private final Partition partition;
        private volatile Snapshot snapshot = new Snapshot(-1, Set.of(), false);

        private PartitionWorkers(Partition partition) {
            this.partition = partition;
        }

        private record Snapshot(long version, Set<String> ids, boolean hasServingWorker) {}

        private Snapshot current() {
            Snapshot current = snapshot;
            if (current.version != version) {
                synchronized (PartitionEndpoints.this) {
                    current = determine();
                    snapshot = current;
                }
            }
            return current;
        }

        private Snapshot determine() {
            Set<String> ids = new HashSet<>();
            boolean serving = false;
            for (Endpoint endpoint : endpoints.values()) {
                if (partition.contains(worker(endpoint))) {
                    ids.add(endpoint.worker());
                    serving |= endpoint.state() == Endpoint.State.SERVING;
                }
            }
            return new Snapshot(version, ids, serving);
        }

        /** Whether the worker of this id is one of them. */
        @Override
        public boolean test(String id) {
            return current().ids.contains(id);
        }

        /** Whether any of them takes requests. */
        boolean hasServingWorker() {
            return current().hasServingWorker;
        }
    }

    synchronized PartitionWorkers workersOf(Partition partition) {
        return workers.computeIfAbsent(partition, PartitionWorkers::new);
    }

    /** Only these very partitions are asked for from now on. */
    synchronized void retain(Collection<Partition> partitions) {
        Set<Partition> retained = Collections.newSetFromMap(new IdentityHashMap<>());
        retained.addAll(partitions);
        workers.keySet().removeIf(known -> !retained.contains(known));
    }

    private Worker worker(Endpoint endpoint) {
        return new Worker(
                endpoint.worker(),
                name(names.zones(), endpoint.zone()),
                name(names.kinds(), endpoint.kind()),
                endpoint.cell());
    }

    /** Empty where there is no name at that place. */
    private static String name(List<String> names, int place) {
        return place < 0 || place >= names.size() ? "" : names.get(place);
    }

    /** All that the list has at present. */
    synchronized List<Worker> workers() {
        return new ArrayList<>(endpoints.values().stream().map(this::worker).toList());
    }

    @Override
    public void endpointsChanged(EndpointUpdate update) {
        synchronized (this) { // before the policy is told: the workers that it may choose are known here
            if (update.kind() != EndpointUpdate.Kind.DELTA) {
                endpoints.clear();
            }
            for (Endpoint endpoint : update.endpoints()) {
                if (endpoint.state() == Endpoint.State.DELETED) {
                    endpoints.remove(endpoint.worker());
                } else {
                    endpoints.put(endpoint.worker(), endpoint);
                }
            }
            version++;
        }
        next.endpointsChanged(update);
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

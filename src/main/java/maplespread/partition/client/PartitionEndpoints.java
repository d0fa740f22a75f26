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
 * The workers on the endpoint list, and which of them belong to a partition. Updates arrive on the endpoint list's
 * thread, queries on request threads; state that both use is guarded by this object's monitor or volatile.
 */
public final class PartitionEndpoints implements EndpointListener {
    private final EndpointListener next;
    private final Config.Names names;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** Keyed by identity, as partitions of different tables may be equal. */
    private final IdentityHashMap<Partition, PartitionWorkers> workers = new IdentityHashMap<>();

    /** Incremented with each update of the endpoint list. */
    private volatile long version;

    /** {@code next} is notified of every update after this listener; {@code names} has the site's zones and kinds. */
    public PartitionEndpoints(EndpointListener next, Config.Names names) {
        this.next = next;
        this.names = names;
    }

    /** The workers of one partition, cached until the endpoint list changes. */
    final class PartitionWorkers implements Predicate<String> {
        private final Partition partition;
        /** Never null; of version -1 until the first query. */
        private volatile Snapshot snapshot = new Snapshot(-1, Set.of(), false);

        private PartitionWorkers(Partition partition) {
            this.partition = partition;
        }

        private record Snapshot(long version, Set<String> ids, boolean hasServingWorker) {}

        private Snapshot current() {
            Snapshot current = snapshot;
            if (current.version != version) {
                synchronized (PartitionEndpoints.this) {
                    current = createSnapshot();
                    snapshot = current;
                }
            }
            return current;
        }

        private Snapshot createSnapshot() {
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

        /** Whether the partition contains the worker with this id. */
        @Override
        public boolean test(String id) {
            return current().ids.contains(id);
        }

        /** Whether any worker of the partition is serving. */
        boolean hasServingWorker() {
            return current().hasServingWorker;
        }
    }

    synchronized PartitionWorkers workersOf(Partition partition) {
        return workers.computeIfAbsent(partition, PartitionWorkers::new);
    }

    /** Drops the cached workers of all partitions but these instances. */
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

    /** The name at an index; empty if the index is out of range. */
    private static String name(List<String> names, int index) {
        return index < 0 || index >= names.size() ? "" : names.get(index);
    }

    /** All workers that are currently on the endpoint list. */
    synchronized List<Worker> workers() {
        return new ArrayList<>(endpoints.values().stream().map(this::worker).toList());
    }

    @Override
    public void endpointsChanged(EndpointUpdate update) {
        synchronized (this) { // before the policy is notified, so that the workers it may choose are known here
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

package maplespread.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.subset.SubsetAssignment;

/**
 * Forwards the endpoints in this dispatcher's subset ({@link SubsetAssignment}) and reports how many dispatchers
 * share each of these workers. A draining worker leaves the subset at once, so that another worker takes its place;
 * the drain of a worker in use is always forwarded. A worker that leaves the subset without draining is forwarded as
 * deleted: it gets no new requests, and its requests in flight finish. Thread-safe.
 */
public final class SubsetFilter implements EndpointListener {
    private final EndpointListener listener;
    private final IntConsumer dispatchersPerWorker;
    private final SubsetAssignment assignment;
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();

    /** Workers that the listener knows of. */
    private Set<String> forwardedWorkers = Set.of();

    private long listVersion;
    private int lastDispatchersPerWorker;

    /**
     * Creates a filter with an empty list.
     *
     * @param dispatchersPerWorker notified of how many dispatchers share a worker, before the listener gets the
     *     list that this number applies to
     */
    public SubsetFilter(SubsetAssignment assignment, IntConsumer dispatchersPerWorker, EndpointListener listener) {
        this.assignment = assignment;
        this.dispatchersPerWorker = dispatchersPerWorker;
        this.listener = listener;
    }

    @Override
    public synchronized void endpointsChanged(EndpointUpdate update) {
        listVersion = update.version();
        if (update.kind() != EndpointUpdate.Kind.DELTA) {
            listed.clear();
            assignment.clear();
        }
        Map<String, Endpoint> changed = new LinkedHashMap<>();
        for (Endpoint endpoint : update.endpoints()) {
            changed.put(endpoint.worker(), endpoint);
            list(endpoint);
        }
        forward(update.kind(), changed, update.confirmed());
    }

    private void list(Endpoint endpoint) {
        if (endpoint.state() == Endpoint.State.DELETED) {
            listed.remove(endpoint.worker());
        } else {
            listed.put(endpoint.worker(), endpoint);
        }
        if (endpoint.state() == Endpoint.State.SERVING) {
            assignment.put(endpoint.worker(), endpoint.zone());
        } else {
            assignment.remove(endpoint.worker());
        }
    }

    /** Recomputes the subset for a new number of dispatchers and new settings. */
    public synchronized void resize(int dispatchers, SubsetAssignment.SubsetSettings settings) {
        assignment.resize(dispatchers, settings);
        forward(EndpointUpdate.Kind.DELTA, Map.of(), false); // discovery has not confirmed the list
    }

    private void forward(EndpointUpdate.Kind kind, Map<String, Endpoint> changed, boolean confirmed) {
        boolean full = kind != EndpointUpdate.Kind.DELTA;
        Set<String> used = assignment.workers();
        if (assignment.maxDispatchersPerWorker() != lastDispatchersPerWorker) {
            lastDispatchersPerWorker = assignment.maxDispatchersPerWorker();
            dispatchersPerWorker.accept(lastDispatchersPerWorker);
        }
        Set<String> next = new LinkedHashSet<>(used);
        List<Endpoint> endpoints = new ArrayList<>();
        for (String worker : used) {
            if (full || !forwardedWorkers.contains(worker) || changed.containsKey(worker)) {
                endpoints.add(listed.get(worker));
            }
        }
        for (String worker : forwardedWorkers) {
            if (used.contains(worker)) {
                continue;
            }
            Endpoint endpoint = listed.get(worker);
            if (endpoint != null && endpoint.state() == Endpoint.State.DRAINING) {
                next.add(worker); // its deletion is still to be forwarded
                if (full || changed.containsKey(worker)) {
                    endpoints.add(endpoint);
                }
            } else if (!full) {
                endpoints.add(endpoint == null ? changed.get(worker) : deleted(endpoint));
            }
        }
        forwardedWorkers = next;
        listener.endpointsChanged(new EndpointUpdate(kind, listVersion, endpoints, confirmed));
    }

    private static Endpoint deleted(Endpoint endpoint) {
        return new Endpoint(
                endpoint.worker(),
                endpoint.address(),
                Endpoint.State.DELETED,
                endpoint.weight(),
                endpoint.kind(),
                endpoint.cell(),
                endpoint.zone(),
                endpoint.startedAtMs());
    }

    /** Returns the number of workers on the full list. */
    public synchronized int listed() {
        return listed.size();
    }

    @Override
    public void watchLost(EndpointWatchFailure failure, double lastReceivedAgoMs) {
        listener.watchLost(failure, lastReceivedAgoMs);
    }

    @Override
    public void listUnconfirmed(EndpointListDoubt doubt, double lastReceivedAgoMs) {
        listener.listUnconfirmed(doubt, lastReceivedAgoMs);
    }
}

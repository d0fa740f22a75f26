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
 * Passes on of the endpoint list what lies in this dispatcher's subset ({@link SubsetAssignment}), and tells
 * among how many dispatchers each of these workers is shared. A worker that drains leaves the subset at once, so
 * that another one takes its place; the drain of one in use is always passed on. One that only falls out of the
 * subset is passed on as deleted: it gets no new request, and what it runs is finished. Thread-safe.
 */
public final class SubsetFilter implements EndpointListener {
    private final EndpointListener listener;
    private final IntConsumer dispatchersPerWorker;
    private final SubsetAssignment assignment;
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private Set<String> passedOn = Set.of(); // workers that the listener knows
    private long listVersion;
    private int lastDispatchersPerWorker;

    /**
     * {@code dispatchersPerWorker}: notified of how many dispatchers share a worker, before the list that this
     * goes with.
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
        passOn(update.kind(), changed, update.confirmed());
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

    /** So many dispatchers share the workers from now on, by these settings. */
    public synchronized void resize(int dispatchers, SubsetAssignment.SubsetSettings settings) {
        assignment.resize(dispatchers, settings);
        passOn(EndpointUpdate.Kind.DELTA, Map.of(), false); // nothing has confirmed the list
    }

    private void passOn(EndpointUpdate.Kind kind, Map<String, Endpoint> changed, boolean confirmed) {
        boolean full = kind != EndpointUpdate.Kind.DELTA;
        Set<String> used = assignment.workers();
        if (assignment.maxDispatchersPerWorker() != lastDispatchersPerWorker) {
            lastDispatchersPerWorker = assignment.maxDispatchersPerWorker();
            dispatchersPerWorker.accept(lastDispatchersPerWorker);
        }
        Set<String> next = new LinkedHashSet<>(used);
        List<Endpoint> endpoints = new ArrayList<>();
        for (String worker : used) {
            if (full || !passedOn.contains(worker) || changed.containsKey(worker)) {
                endpoints.add(listed.get(worker));
            }
        }
        for (String worker : passedOn) {
            if (used.contains(worker)) {
                continue;
            }
            Endpoint endpoint = listed.get(worker);
            if (endpoint != null && endpoint.state() == Endpoint.State.DRAINING) {
                next.add(worker); // its end is still to be passed on
                if (full || changed.containsKey(worker)) {
                    endpoints.add(endpoint);
                }
            } else if (!full) {
                endpoints.add(endpoint == null ? changed.get(worker) : deleted(endpoint));
            }
        }
        passedOn = next;
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

    /** How many workers the full list has. */
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

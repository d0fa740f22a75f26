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
 * Hands on of the route set what lies in this dispatcher's subset ({@link SubsetAssignment}), and says among how many
 * dispatchers each of these workers is shared. A worker that drains leaves the ring at once, so that another
 * one takes its place, and the drain of one in use is always handed on. One that falls out of the subset
 * alone is handed on as deleted: it gets nothing new, and what it runs is finished.
 */
public final class SubsetFilter implements EndpointListener {
    private final EndpointListener to;
    private final IntConsumer sharers;
    private final SubsetAssignment cut;
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private Set<String> shown = Set.of(); // what the dispatcher has been told of
    private long generation;
    private int told;

    /** {@code sharers}: hears how many dispatchers share a worker, before the list that this goes with. */
    public SubsetFilter(SubsetAssignment cut, IntConsumer sharers, EndpointListener to) {
        this.cut = cut;
        this.sharers = sharers;
        this.to = to;
    }

    @Override
    public synchronized void endpointsChanged(EndpointUpdate news) {
        generation = news.version();
        boolean whole = news.kind() != EndpointUpdate.Kind.DELTA;
        if (whole) {
            listed.clear();
            cut.clear();
        }
        Map<String, Endpoint> changed = new LinkedHashMap<>();
        for (Endpoint r : news.endpoints()) {
            changed.put(r.worker(), r);
            if (r.state() == Endpoint.State.DELETED) {
                listed.remove(r.worker());
            } else {
                listed.put(r.worker(), r);
            }
            if (r.state() == Endpoint.State.SERVING) {
                cut.put(r.worker(), r.zone());
            } else {
                cut.remove(r.worker());
            }
        }
        tell(news.kind(), changed, news.confirmed());
    }

    /** So many dispatchers there are from now on, and so they share the workers. */
    public synchronized void resize(int dispatchers, SubsetAssignment.SubsetSettings wish) {
        cut.resize(dispatchers, wish);
        tell(EndpointUpdate.Kind.DELTA, Map.of(), false); // nobody has said anything of the list
    }

    private void tell(EndpointUpdate.Kind kind, Map<String, Endpoint> changed, boolean current) {
        boolean whole = kind != EndpointUpdate.Kind.DELTA;
        Set<String> used = cut.workers();
        if (cut.maxDispatchersPerWorker() != told) {
            told = cut.maxDispatchersPerWorker();
            sharers.accept(told);
        }
        Set<String> next = new LinkedHashSet<>(used);
        List<Endpoint> on = new ArrayList<>();
        for (String worker : used) {
            if (whole || !shown.contains(worker) || changed.containsKey(worker)) {
                on.add(listed.get(worker));
            }
        }
        for (String worker : shown) {
            Endpoint left = listed.get(worker);
            if (used.contains(worker)) {
                continue;
            }
            if (left != null && left.state() == Endpoint.State.DRAINING) {
                next.add(worker); // its end is still to be told
                if (whole || changed.containsKey(worker)) {
                    on.add(left);
                }
            } else if (!whole) {
                on.add(left == null ? changed.get(worker) : gone(left));
            }
        }
        shown = next;
        to.endpointsChanged(new EndpointUpdate(kind, generation, on, current));
    }

    private static Endpoint gone(Endpoint r) {
        return new Endpoint(
                r.worker(),
                r.address(),
                Endpoint.State.DELETED,
                r.weight(),
                r.kind(),
                r.cell(),
                r.zone(),
                r.startedAtMs());
    }

    /** How many workers the whole list has. */
    public synchronized int listed() {
        return listed.size();
    }

    @Override
    public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
        to.watchLost(loss, heardAgoMs);
    }

    @Override
    public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
        to.listUnconfirmed(why, heardAgoMs);
    }
}

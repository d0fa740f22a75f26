package maplespread.routes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Route;
import maplespread.subset.Cut;

/**
 * Hands on of the route set what lies in this dispatcher's subset ({@link Cut}), and says among how many
 * dispatchers each of these workers is shared. A worker that drains leaves the ring at once, so that another
 * one takes its place, and the drain of one in use is always handed on. One that falls out of the subset
 * alone is handed on as deleted: it gets nothing new, and what it runs is finished.
 */
public final class SubsetFilter implements RouteSink {
    private final RouteSink to;
    private final IntConsumer sharers;
    private final Cut cut;
    private final Map<String, Route> listed = new LinkedHashMap<>();
    private Set<String> shown = Set.of(); // what the dispatcher has been told of
    private long generation;
    private int told;

    /** {@code sharers}: hears how many dispatchers share a worker, before the list that this goes with. */
    public SubsetFilter(Cut cut, IntConsumer sharers, RouteSink to) {
        this.cut = cut;
        this.sharers = sharers;
        this.to = to;
    }

    @Override
    public synchronized void news(EndpointUpdate news) {
        generation = news.generation();
        boolean whole = news.kind() != EndpointUpdate.Kind.CHANGES;
        if (whole) {
            listed.clear();
            cut.clear();
        }
        Map<String, Route> changed = new LinkedHashMap<>();
        for (Route r : news.routes()) {
            changed.put(r.worker(), r);
            if (r.state() == Route.State.DELETED) {
                listed.remove(r.worker());
            } else {
                listed.put(r.worker(), r);
            }
            if (r.state() == Route.State.SERVING) {
                cut.put(r.worker(), r.zone());
            } else {
                cut.remove(r.worker());
            }
        }
        tell(news.kind(), changed, news.current());
    }

    /** So many dispatchers there are from now on, and so they share the workers. */
    public synchronized void fleet(int dispatchers, Cut.Wish wish) {
        cut.fleet(dispatchers, wish);
        tell(EndpointUpdate.Kind.CHANGES, Map.of(), false); // nobody has said anything of the list
    }

    private void tell(EndpointUpdate.Kind kind, Map<String, Route> changed, boolean current) {
        boolean whole = kind != EndpointUpdate.Kind.CHANGES;
        Set<String> used = cut.workers();
        if (cut.sharers() != told) {
            told = cut.sharers();
            sharers.accept(told);
        }
        Set<String> next = new LinkedHashSet<>(used);
        List<Route> on = new ArrayList<>();
        for (String worker : used) {
            if (whole || !shown.contains(worker) || changed.containsKey(worker)) {
                on.add(listed.get(worker));
            }
        }
        for (String worker : shown) {
            Route left = listed.get(worker);
            if (used.contains(worker)) {
                continue;
            }
            if (left != null && left.state() == Route.State.DRAINING) {
                next.add(worker); // its end is still to be told
                if (whole || changed.containsKey(worker)) {
                    on.add(left);
                }
            } else if (!whole) {
                on.add(left == null ? changed.get(worker) : gone(left));
            }
        }
        shown = next;
        to.news(new EndpointUpdate(kind, generation, on, current));
    }

    private static Route gone(Route r) {
        return new Route(
                r.worker(),
                r.address(),
                Route.State.DELETED,
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
    public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {
        to.watchLost(loss, heardAgoMs);
    }

    @Override
    public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {
        to.unconfirmed(why, heardAgoMs);
    }
}

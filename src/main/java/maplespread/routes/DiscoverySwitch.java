package maplespread.routes;

import java.net.InetSocketAddress;
import java.util.function.Function;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.log.Event;

/**
 * One source at a time has the word, and another takes over when it has read the whole list: until then the
 * old one is still obeyed, so that no drain is missed and no moment is without a list.
 */
public final class DiscoverySwitch implements RouteSource {
    /** Makes a source that reports to the sink; it is started here. */
    public interface Maker extends Function<RouteSink, RouteSource> {}

    private final RouteSink to;
    private RouteSource newest;
    private RouteSource spoken;
    private boolean over;

    public DiscoverySwitch(Maker first, RouteSink to) {
        this.to = to;
        newest = make(first);
        spoken = newest;
    }

    private RouteSource make(Maker maker) {
        RouteSource[] made = new RouteSource[1];
        made[0] = maker.apply(new RouteSink() {
            @Override
            public void news(EndpointUpdate news) {
                DiscoverySwitch.this.news(made[0], news);
            }

            @Override
            public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {
                synchronized (DiscoverySwitch.this) {
                    if (speaks(made[0])) {
                        to.watchLost(loss, heardAgoMs);
                    }
                }
            }

            @Override
            public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {
                synchronized (DiscoverySwitch.this) {
                    if (speaks(made[0])) {
                        to.unconfirmed(why, heardAgoMs);
                    }
                }
            }
        });
        return made[0];
    }

    private boolean speaks(RouteSource source) {
        return !over && (source == newest || source == spoken);
    }

    /** Has another source take over once it speaks. */
    public void change(Maker next) {
        RouteSource before;
        RouteSource now;
        synchronized (this) {
            if (over) {
                return;
            }
            before = newest != spoken ? newest : null; // it never spoke
            now = make(next);
            newest = now;
        }
        if (before != null) {
            before.close();
        }
        now.start();
        now.watch();
    }

    private void news(RouteSource from, EndpointUpdate news) {
        RouteSource old = null;
        synchronized (this) {
            if (over || from != newest && from != spoken) {
                return;
            }
            if (from == newest && spoken != newest) {
                if (news.kind() == EndpointUpdate.Kind.CHANGES) {
                    return; // not yet all that there is
                }
                old = spoken;
                spoken = newest;
                Event.of("routes.handed_over", "revision", news.generation()).info();
            }
            to.news(news);
        }
        if (old != null) {
            RouteSource last = old;
            // From a thread of its own: the old one may hold its lock while it waits here to report.
            Thread closer = new Thread(last::close, "routes handed over");
            closer.setDaemon(true);
            closer.start();
        }
    }

    @Override
    public void start() {
        newest().start();
    }

    @Override
    public void watch() {
        newest().watch();
        spoken().watch();
    }

    @Override
    public boolean move(InetSocketAddress address) {
        return newest().move(address);
    }

    @Override
    public String unready() {
        return spoken().unready(); // not under the lock: it takes its own
    }

    private synchronized RouteSource spoken() {
        return spoken;
    }

    private synchronized RouteSource newest() {
        return newest;
    }

    @Override
    public void close() {
        RouteSource a;
        RouteSource b;
        synchronized (this) {
            over = true;
            a = newest;
            b = spoken;
        }
        a.close();
        b.close();
    }
}

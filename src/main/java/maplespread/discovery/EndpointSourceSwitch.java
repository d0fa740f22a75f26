package maplespread.discovery;

import java.net.InetSocketAddress;
import java.util.function.Function;
import maplespread.facade.EndpointUpdate;
import maplespread.log.Event;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/**
 * One source at a time has the word, and another takes over when it has read the whole list: until then the
 * old one is still obeyed, so that no drain is missed and no moment is without a list.
 */
public final class EndpointSourceSwitch implements EndpointSource {
    /** Makes a source that reports to the sink; it is started here. */
    public interface Factory extends Function<EndpointListener, EndpointSource> {}

    private final EndpointListener to;
    private EndpointSource newest;
    private EndpointSource spoken;
    private boolean over;

    public EndpointSourceSwitch(Factory first, EndpointListener to) {
        this.to = to;
        newest = make(first);
        spoken = newest;
    }

    private EndpointSource make(Factory maker) {
        EndpointSource[] made = new EndpointSource[1];
        made[0] = maker.apply(new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {
                EndpointSourceSwitch.this.news(made[0], news);
            }

            @Override
            public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
                synchronized (EndpointSourceSwitch.this) {
                    if (speaks(made[0])) {
                        to.watchLost(loss, heardAgoMs);
                    }
                }
            }

            @Override
            public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
                synchronized (EndpointSourceSwitch.this) {
                    if (speaks(made[0])) {
                        to.listUnconfirmed(why, heardAgoMs);
                    }
                }
            }
        });
        return made[0];
    }

    private boolean speaks(EndpointSource source) {
        return !over && (source == newest || source == spoken);
    }

    /** Has another source take over once it speaks. */
    public void switchTo(Factory next) {
        EndpointSource before;
        EndpointSource now;
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

    private void news(EndpointSource from, EndpointUpdate news) {
        EndpointSource old = null;
        synchronized (this) {
            if (over || from != newest && from != spoken) {
                return;
            }
            if (from == newest && spoken != newest) {
                if (news.kind() == EndpointUpdate.Kind.DELTA) {
                    return; // not yet all that there is
                }
                old = spoken;
                spoken = newest;
                Event.of("routes.handed_over", "revision", news.version()).info();
            }
            to.endpointsChanged(news);
        }
        if (old != null) {
            EndpointSource last = old;
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
    public boolean moveTo(InetSocketAddress address) {
        return newest().moveTo(address);
    }

    @Override
    public String notReadyReason() {
        return spoken().notReadyReason(); // not under the lock: it takes its own
    }

    private synchronized EndpointSource spoken() {
        return spoken;
    }

    private synchronized EndpointSource newest() {
        return newest;
    }

    @Override
    public void close() {
        EndpointSource a;
        EndpointSource b;
        synchronized (this) {
            over = true;
            a = newest;
            b = spoken;
        }
        a.close();
        b.close();
    }
}

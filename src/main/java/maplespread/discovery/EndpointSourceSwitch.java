package maplespread.discovery;

import java.net.InetSocketAddress;
import java.util.function.Function;
import maplespread.facade.EndpointUpdate;
import maplespread.log.Event;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/**
 * Passes on what one source at a time learns. Another source takes over when it has read the full list: until
 * then the old one still counts, so that no drain is missed and no moment is without a list. Thread-safe; the
 * listener is notified under this object's lock.
 */
public final class EndpointSourceSwitch implements EndpointSource {
    /** Makes a source that notifies the listener; it is started by the switch. */
    public interface Factory extends Function<EndpointListener, EndpointSource> {}

    /** Passes on what one source learns, while that source counts. */
    private final class SourceListener implements EndpointListener {
        private EndpointSource source; // set before the source is started

        @Override
        public void endpointsChanged(EndpointUpdate update) {
            onUpdate(source, update);
        }

        @Override
        public void watchLost(EndpointWatchFailure failure, double lastReceivedAgoMs) {
            synchronized (EndpointSourceSwitch.this) {
                if (counts(source)) {
                    listener.watchLost(failure, lastReceivedAgoMs);
                }
            }
        }

        @Override
        public void listUnconfirmed(EndpointListDoubt doubt, double lastReceivedAgoMs) {
            synchronized (EndpointSourceSwitch.this) {
                if (counts(source)) {
                    listener.listUnconfirmed(doubt, lastReceivedAgoMs);
                }
            }
        }
    }

    private final EndpointListener listener;
    private EndpointSource newest;
    private EndpointSource active; // the last one that has sent a full list
    private boolean closed;

    /** With a first source, which counts from the beginning. */
    public EndpointSourceSwitch(Factory first, EndpointListener listener) {
        this.listener = listener;
        newest = make(first);
        active = newest;
    }

    private EndpointSource make(Factory factory) {
        SourceListener sourceListener = new SourceListener();
        sourceListener.source = factory.apply(sourceListener);
        return sourceListener.source;
    }

    private boolean counts(EndpointSource source) {
        return !closed && (source == newest || source == active);
    }

    /** Has another source take over once it has sent a full list. */
    public void switchTo(Factory next) {
        EndpointSource superseded;
        EndpointSource started;
        synchronized (this) {
            if (closed) {
                return;
            }
            superseded = newest != active ? newest : null; // it never sent a list
            newest = make(next);
            started = newest;
        }
        if (superseded != null) {
            superseded.close();
        }
        started.start();
        started.watch();
    }

    private void onUpdate(EndpointSource source, EndpointUpdate update) {
        EndpointSource replaced = null;
        synchronized (this) {
            if (!counts(source)) {
                return;
            }
            if (source == newest && active != newest) {
                if (update.kind() == EndpointUpdate.Kind.DELTA) {
                    return; // not yet the full list
                }
                replaced = active;
                active = newest;
                Event.of("endpoints.source_switched", "revision", update.version())
                        .info();
            }
            listener.endpointsChanged(update);
        }
        if (replaced != null) {
            closeInBackground(replaced);
        }
    }

    /** On a thread of its own: the source may hold its lock while it waits here to notify. */
    private static void closeInBackground(EndpointSource source) {
        Thread closer = new Thread(source::close, "routes handed over");
        closer.setDaemon(true);
        closer.start();
    }

    @Override
    public void start() {
        newest().start();
    }

    @Override
    public void watch() {
        newest().watch();
        active().watch();
    }

    @Override
    public boolean moveTo(InetSocketAddress address) {
        return newest().moveTo(address);
    }

    @Override
    public String notReadyReason() {
        return active().notReadyReason(); // not under this lock: the source takes its own
    }

    private synchronized EndpointSource active() {
        return active;
    }

    private synchronized EndpointSource newest() {
        return newest;
    }

    @Override
    public void close() {
        EndpointSource newestSource;
        EndpointSource activeSource;
        synchronized (this) {
            closed = true;
            newestSource = newest;
            activeSource = active;
        }
        newestSource.close();
        activeSource.close();
    }
}

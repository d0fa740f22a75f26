package maplespread.discovery;

import java.net.InetSocketAddress;
import java.util.function.Function;
import maplespread.facade.EndpointUpdate;
import maplespread.log.Event;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;

/**
 * Forwards the updates of one source at a time. A new source takes over once it has read the full list; until then
 * the old source's updates are still forwarded, so that no drain is missed and a list is available at all times, but
 * do not confirm the list. Thread-safe; the listener is notified under this object's lock.
 */
public final class EndpointSourceSwitch implements EndpointSource {
    /** Creates a source that notifies the listener; the switch starts the source. */
    public interface Factory extends Function<EndpointListener, EndpointSource> {}

    /** Forwards the notifications of one source while that source is in use. */
    private final class SourceListener implements EndpointListener {
        private EndpointSource source; // set before the source starts

        @Override
        public void endpointsChanged(EndpointUpdate update) {
            onUpdate(source, update);
        }

        @Override
        public void watchLost(EndpointWatchFailure failure, double lastReceivedAgoMs) {
            synchronized (EndpointSourceSwitch.this) {
                if (isInUse(source)) {
                    listener.watchLost(failure, lastReceivedAgoMs);
                }
            }
        }

        @Override
        public void listUnconfirmed(EndpointListDoubt doubt, double lastReceivedAgoMs) {
            synchronized (EndpointSourceSwitch.this) {
                if (isInUse(source)) {
                    listener.listUnconfirmed(doubt, lastReceivedAgoMs);
                }
            }
        }
    }

    private final EndpointListener listener;
    private EndpointSource newest;
    private EndpointSource active; // the last source to send a full list; initially the first source
    private boolean closed;

    /** Creates the switch with a first source, whose updates are forwarded before it has sent a full list. */
    public EndpointSourceSwitch(Factory first, EndpointListener listener) {
        this.listener = listener;
        newest = create(first);
        active = newest;
    }

    private EndpointSource create(Factory factory) {
        SourceListener sourceListener = new SourceListener();
        sourceListener.source = factory.apply(sourceListener);
        return sourceListener.source;
    }

    private boolean isInUse(EndpointSource source) {
        return !closed && (source == newest || source == active);
    }

    /** Starts another source, which takes over once it has sent a full list. */
    public void switchTo(Factory next) {
        EndpointSource supersededSource;
        EndpointSource startedSource;
        synchronized (this) {
            if (closed) {
                return;
            }
            supersededSource = newest != active ? newest : null; // it has not sent a full list
            newest = create(next);
            startedSource = newest;
        }
        if (supersededSource != null) {
            supersededSource.close();
        }
        startedSource.start();
        startedSource.watch();
    }

    private void onUpdate(EndpointSource source, EndpointUpdate update) {
        EndpointSource replacedSource = null;
        synchronized (this) {
            if (!isInUse(source)) {
                return;
            }
            if (source == newest && active != newest) {
                if (update.kind() == EndpointUpdate.Kind.DELTA) {
                    return; // the new source has not sent the full list yet
                }
                replacedSource = active;
                active = newest;
                Event.of("endpoints.source_switched", "revision", update.version())
                        .info();
            }
            listener.endpointsChanged(source == newest ? update : update.unconfirmed());
        }
        if (replacedSource != null) {
            closeInBackground(replacedSource);
        }
    }

    /**
     * Closes on a separate thread: the source may hold its own lock while one of its notifications waits for this
     * object's lock.
     */
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
        return active().notReadyReason(); // not under this lock, since the source takes its own lock
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

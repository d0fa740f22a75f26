package maplespread.discovery;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import maplespread.facade.EndpointUpdate;
import maplespread.http.RateLimitedLogger;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import org.tinylog.Logger;

/**
 * Follows discovery's endpoint list, each address of discovery by a {@link DiscoveryWatch} with a thread of its
 * own. Where the list is asked for, the policy decides when to subscribe: each watch that ends is reported, and
 * the policy asks again after its jittered backoff. One that falls silent is opened anew at once, by
 * {@link WatchTimeouts}. Where an agent pushes the list, it is asked from the start on, and again and again while
 * it is unavailable. A new address is watched at once: until it has sent something, the last list holds and the
 * old watch still counts. Its monitor guards the state of its watches.
 */
public final class DiscoveryClient implements EndpointSource {
    /** Of a pushed list: between two calls while the agent is unavailable. */
    private static final long AGENT_RETRY_MS = 100;

    private final WatchTimeouts timeouts;
    private final boolean pushed;
    private final SplittableRandom random;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();
    private final EndpointListener listener;
    private final EndpointParser parser;
    private DiscoveryWatch newest; // of the address that is asked
    private DiscoveryWatch active; // the last one that has sent anything

    /** {@code listVersion}: of the list held; {@code pushed}: it comes from an agent that pushes it. */
    public DiscoveryClient(
            InetSocketAddress address,
            EndpointParser parser,
            long listVersion,
            WatchTimeouts timeouts,
            boolean pushed,
            long seed,
            EndpointListener listener) {
        this.parser = parser;
        this.timeouts = timeouts;
        this.pushed = pushed;
        this.listener = listener;
        random = new SplittableRandom(seed);
        newest = new DiscoveryWatch(this, address, listVersion);
        active = newest;
    }

    /** Begins; the first watch is opened when the policy asks, or at once where the list is pushed. */
    @Override
    public synchronized void start() {
        if (pushed) {
            newest.request();
        }
        newest.start();
    }

    /** Asks for a watch; does nothing while one is open. */
    @Override
    public synchronized void watch() {
        newest.request();
    }

    /** Discovery is at another address from now on; false where that is the one in use. */
    @Override
    public synchronized boolean moveTo(InetSocketAddress address) {
        if (newest.isClosed() || newest.address().equals(address)) {
            return false;
        }
        if (newest != active) {
            newest.close(); // it never sent anything
        }
        newest = new DiscoveryWatch(this, address, 0); // its versions may count otherwise
        listener.listUnconfirmed(EndpointListDoubt.MOVED, 0);
        newest.request();
        newest.start();
        return true;
    }

    /** Null: the list that came last holds, however old. */
    @Override
    public String notReadyReason() {
        return null;
    }

    /** Ends all watches. */
    @Override
    public synchronized void close() {
        newest.close();
        active.close();
    }

    // ------------------------------------------------------------ from the watches

    boolean isPushed() {
        return pushed;
    }

    EndpointParser parser() {
        return parser;
    }

    WatchTimeouts timeouts() {
        return timeouts;
    }

    long drawSilenceLimitMs() {
        return timeouts.drawSilenceLimitMs(random);
    }

    void warnRateLimited(String text) {
        rateLimitedLogger.warn(text);
    }

    synchronized boolean isNewest(DiscoveryWatch watch) {
        return watch == newest;
    }

    synchronized void onSilence(DiscoveryWatch watch, boolean hadSent, long silentForMs) {
        if (watch == newest && hadSent) {
            listener.listUnconfirmed(EndpointListDoubt.SILENT, silentForMs);
        }
    }

    /** A watch has ended, and was not closed; on its own thread. */
    void onWatchLost(DiscoveryWatch watch, EndpointWatchFailure failure, long lastReceivedAgoMs)
            throws InterruptedException {
        listener.watchLost(failure, lastReceivedAgoMs);
        if (pushed) {
            Thread.sleep(AGENT_RETRY_MS);
            synchronized (this) {
                watch.request();
            }
        }
    }

    /** Takes an update of a watch, unless a newer address has sent something since. */
    synchronized void onUpdate(DiscoveryWatch watch, EndpointUpdate update) {
        if (watch.isClosed()) {
            return;
        }
        if (watch == newest && active != newest) {
            active.close();
            active = newest;
            Logger.info("{} has spoken, and no other address is watched", watch.address());
        }
        watch.setListVersion(update.version());
        boolean current = watch == newest; // another address may know of changes that this one does not
        listener.endpointsChanged(
                current ? update : new EndpointUpdate(update.kind(), update.version(), update.endpoints(), false));
    }
}

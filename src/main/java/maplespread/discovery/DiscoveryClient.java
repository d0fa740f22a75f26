package maplespread.discovery;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import maplespread.facade.EndpointUpdate;
import maplespread.http.RateLimitedLogger;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import org.tinylog.Logger;

/**
 * Watches discovery's endpoint list. Each address of discovery has a {@link DiscoveryWatch} with its own thread.
 * Where the list is pulled, the policy decides when to subscribe: the client reports each watch that ends, and the
 * policy requests another one after its jittered backoff. A watch that falls silent is reopened at once, after the
 * times of {@link WatchTimeouts}. Where an agent pushes the list, the client opens a watch at the start and retries
 * while the agent is unavailable. A new address is watched at once; until it sends an update, the last list stays
 * valid and updates of the old watch are still applied. The client's monitor guards the state of its watches.
 */
public final class DiscoveryClient implements EndpointSource {
    /** Delay between two attempts to reach an unavailable agent that pushes the list, in milliseconds. */
    private static final long AGENT_RETRY_MS = 100;

    private final WatchTimeouts timeouts;
    private final boolean pushed;
    private final SplittableRandom random;
    private final RateLimitedLogger rateLimitedLogger = new RateLimitedLogger();
    private final EndpointListener listener;
    private final EndpointParser parser;

    /** Watch of the current address. */
    private DiscoveryWatch newest;

    /** Watch that last became the newest one to send an update; the same as {@code newest} at the start. */
    private DiscoveryWatch active;

    /**
     * Creates the client with a watch of the first address, not yet started.
     *
     * @param listVersion version of the list that the dispatcher already holds
     * @param pushed whether the list comes from an agent that pushes it
     */
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

    /** Starts the thread of the first watch, which opens when the policy requests it, or at once for a pushed list. */
    @Override
    public synchronized void start() {
        if (pushed) {
            newest.request();
        }
        newest.start();
    }

    /** Requests a watch; does nothing while one is open. */
    @Override
    public synchronized void watch() {
        newest.request();
    }

    /**
     * Watches discovery at another address from now on.
     *
     * @return false if the client is closed or already uses the address
     */
    @Override
    public synchronized boolean moveTo(InetSocketAddress address) {
        if (newest.isClosed() || newest.address().equals(address)) {
            return false;
        }
        if (newest != active) {
            newest.close(); // it has not sent an update yet
        }
        // Version 0, since the new address may number its versions differently.
        newest = new DiscoveryWatch(this, address, 0);
        listener.listUnconfirmed(EndpointListDoubt.MOVED, 0);
        newest.request();
        newest.start();
        return true;
    }

    /** Returns null: the last list received stays valid at any age. */
    @Override
    public String notReadyReason() {
        return null;
    }

    /** Closes all watches. */
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

    /** Reports a watch that ended without being closed; called on the thread of that watch. */
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

    /** Passes on an update of a watch, unless the watch was closed, as it is after a newer address sends an update. */
    synchronized void onUpdate(DiscoveryWatch watch, EndpointUpdate update) {
        if (watch.isClosed()) {
            return;
        }
        if (watch == newest && active != newest) {
            active.close();
            active = newest;
            Logger.info("{} sent its first update; the watch of the previous address is closed", watch.address());
        }
        watch.setListVersion(update.version());
        listener.endpointsChanged(watch == newest ? update : update.unconfirmed());
    }
}

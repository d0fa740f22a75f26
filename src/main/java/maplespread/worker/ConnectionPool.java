package maplespread.worker;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.discovery.EndpointParser;
import maplespread.http.HttpConnection;

/**
 * The connections to workers: each carries one request at a time; idle ones wait here for the next. Idle ones may use what
 * those in use leave of the descriptors that are for both, as a new connection costs a handshake, at the worker too; a new
 * one beyond that closes the one that has idled longest. Thread-safe; connects and closes outside its monitor.
 */
public final class ConnectionPool {
    /** A connection, and what the pool knows of it. */
    static final class PooledConnection {
        final HttpConnection connection;
        final String address;
        /** It has carried a request before. */
        boolean reused;
        /** It counts among those in use. */
        boolean inUse = true;

        long idleSinceNanos;
        /** How long it had idled before its present use. */
        long idledNanos;

        PooledConnection(HttpConnection connection, String address) {
            this.connection = connection;
            this.address = address;
        }
    }

    /** Makes connections: the system's way, or a test's that has them come late. */
    public interface Dialer {
        /** Connects within {@code limitMs} milliseconds. */
        HttpConnection dial(InetSocketAddress to, long limitMs) throws IOException;
    }

    private static final long NANOS_PER_MS = 1_000_000;
    private static final long MIN_TRUSTED_IDLE_NANOS = 100_000_000L;
    /** Share by which one use moves the estimate of how many reused connections break: about thirty uses count. */
    private static final double BREAK_ESTIMATE_STEP = 0.03;
    /** Share of broken reused connections from which on they are not used for what must not run twice. */
    private static final double MAX_TRUSTED_BREAK_SHARE = 0.01;
    /** The trusted idle time grows by one part in this many with each use that did not break. */
    private static final int TRUST_GROWTH_DIVISOR = 50;

    private final Supplier<Config> config;
    private final Supplier<Config.Limits> limits;
    private final Dialer dialer;
    private final Map<String, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private int idleCount;
    /** Those in use, or being connected. */
    private int inUseCount;
    /** How long an idle connection is trusted not to have been closed by the other side. */
    private long trustedIdleNanos;

    private double breakShare;

    /** {@code limits}: how much may be held at present. */
    public ConnectionPool(Supplier<Config> config, Supplier<Config.Limits> limits) {
        this(config, limits, HttpConnection::dial);
    }

    /** With another way to make connections. */
    public ConnectionPool(Supplier<Config> config, Supplier<Config.Limits> limits, Dialer dialer) {
        this.config = config;
        this.limits = limits;
        this.dialer = dialer;
        trustedIdleNanos = maxIdleNanos();
    }

    private long maxIdleNanos() {
        return config.get().times().workerIdleMs() * NANOS_PER_MS;
    }

    /**
     * An idle connection to the address, the one used last, or a new one; connects within {@code limitMs}. {@code
     * atMostOnce}: what it is for must not run twice, so a reused one will not do while such break under requests.
     */
    PooledConnection acquire(String address, long limitMs, boolean atMostOnce) throws IOException {
        PooledConnection reusable = takeUsable(address, atMostOnce);
        return reusable != null ? reusable : connect(address, limitMs);
    }

    private PooledConnection takeUsable(String address, boolean atMostOnce) {
        while (!(atMostOnce && reusedOnesBreak())) {
            PooledConnection found = takeIdle(address);
            if (found == null) {
                return null;
            }
            found.idledNanos = System.nanoTime() - found.idleSinceNanos;
            if (found.idledNanos < trustedIdleNanos() && !found.connection.stale()) {
                return found;
            }
            if (found.connection.buffer().hasRemaining()) {
                recordUnexpectedBytes();
            }
            close(found);
        }
        return null;
    }

    private PooledConnection connect(String address, long limitMs) throws IOException {
        InetSocketAddress target = EndpointParser.parseAddress(address);
        PooledConnection evicted = beginConnecting();
        if (evicted != null) {
            evicted.connection.close();
        }
        try {
            long dialMs = Math.min(limitMs, config.get().times().dialMs());
            return new PooledConnection(dialer.dial(target, dialMs), address);
        } catch (IOException | RuntimeException | Error e) {
            connectingFailed();
            throw e;
        }
    }

    private synchronized PooledConnection takeIdle(String address) {
        PooledConnection newest = removeIdle(address, false);
        if (newest != null) {
            newest.inUse = true;
            inUseCount++;
        }
        return newest;
    }

    private PooledConnection removeIdle(String address, boolean oldest) {
        ArrayDeque<PooledConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        PooledConnection removed = oldest ? connections.pollFirst() : connections.pollLast();
        if (removed == null) {
            return null;
        }
        idleCount--;
        if (connections.isEmpty()) {
            idle.remove(address);
        }
        return removed;
    }

    /** Counts a new connection; returns the longest idle one where there would be too many, to be closed for it. */
    private synchronized PooledConnection beginConnecting() {
        inUseCount++;
        if (idleCount <= idleCapacity()) {
            return null;
        }
        String address = null;
        long sinceNanos = 0;
        for (Map.Entry<String, ArrayDeque<PooledConnection>> entry : idle.entrySet()) {
            long oldestNanos = entry.getValue().peekFirst().idleSinceNanos;
            if (address == null || oldestNanos < sinceNanos) {
                address = entry.getKey();
                sinceNanos = oldestNanos;
            }
        }
        return address == null ? null : removeIdle(address, true);
    }

    /** How many may be idle beside those in use. */
    private int idleCapacity() {
        Config.Limits present = limits.get();
        return Math.max(present.idleWorkerConnections(), present.workerConnections() - inUseCount);
    }

    private synchronized void connectingFailed() {
        inUseCount--;
    }

    /** Closes a connection that {@link #acquire} gave and that carries no more; again, it does nothing. */
    void close(PooledConnection connection) {
        connection.connection.close();
        synchronized (this) {
            noLongerInUse(connection);
        }
    }

    private void noLongerInUse(PooledConnection connection) {
        inUseCount -= connection.inUse ? 1 : 0;
        connection.inUse = false;
    }

    private synchronized boolean reusedOnesBreak() {
        return breakShare > MAX_TRUSTED_BREAK_SHARE;
    }

    private synchronized long trustedIdleNanos() {
        return trustedIdleNanos;
    }

    /**
     * Learns from a request on a reused connection whether it broke before a byte came back. Workers, and machines
     * between, may close idle connections sooner than the settings say; such a request may have run. The trusted idle
     * time halves at a break and grows back slowly.
     */
    synchronized void recordUse(PooledConnection connection, boolean broke) {
        if (!connection.reused) {
            return;
        }
        breakShare = (1 - BREAK_ESTIMATE_STEP) * breakShare + (broke ? BREAK_ESTIMATE_STEP : 0);
        if (broke) {
            long halved = Math.min(trustedIdleNanos, connection.idledNanos / 2);
            trustedIdleNanos = Math.max(MIN_TRUSTED_IDLE_NANOS, halved);
        } else {
            long grown = trustedIdleNanos + trustedIdleNanos / TRUST_GROWTH_DIVISOR;
            trustedIdleNanos = Math.min(maxIdleNanos(), grown);
        }
    }

    /**
     * Bytes came on a reused connection that nobody had asked for. A rejection names no request: one that follows
     * another response, and comes a moment later, would prove of the next request that it never ran. So what must not
     * run twice gets new connections for a while, as where reused ones break.
     */
    synchronized void recordUnexpectedBytes() {
        breakShare = (1 - BREAK_ESTIMATE_STEP) * breakShare + BREAK_ESTIMATE_STEP;
    }

    /** Takes a connection back after a whole response. */
    void release(PooledConnection connection) {
        synchronized (this) {
            noLongerInUse(connection);
            if (idleCount < idleCapacity()) {
                connection.idleSinceNanos = System.nanoTime();
                connection.reused = true;
                idle.computeIfAbsent(connection.address, address -> new ArrayDeque<>())
                        .addLast(connection);
                idleCount++;
                return;
            }
        }
        connection.connection.close();
    }

    /**
     * Closes what has idled for two thirds of the time after which a worker's machine closes it (a request written after
     * that ends as a reset that may have run), and what leads to a worker no longer listed.
     */
    public void closeExpired(Collection<String> listedAddresses) {
        ArrayDeque<PooledConnection> expired = new ArrayDeque<>();
        long maxIdleNanos = maxIdleNanos();
        synchronized (this) {
            for (Iterator<Map.Entry<String, ArrayDeque<PooledConnection>>> entries =
                            idle.entrySet().iterator();
                    entries.hasNext(); ) {
                Map.Entry<String, ArrayDeque<PooledConnection>> entry = entries.next();
                boolean unlisted = !listedAddresses.contains(entry.getKey());
                ArrayDeque<PooledConnection> connections = entry.getValue();
                while (!connections.isEmpty()
                        && (unlisted || System.nanoTime() - connections.peekFirst().idleSinceNanos > maxIdleNanos)) {
                    expired.add(connections.removeFirst());
                    idleCount--;
                }
                if (connections.isEmpty()) {
                    entries.remove();
                }
            }
        }
        expired.forEach(connection -> connection.connection.close());
    }
}

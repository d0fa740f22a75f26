package maplespread.worker;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.discovery.EndpointParser;
import maplespread.http.HttpConnection;

/**
 * The connections to workers. Each connection carries one request at a time; idle connections are kept for the next
 * request, as a new connection costs a handshake, also at the worker. Connections in use and idle connections share a
 * limit on descriptors: idle connections may use what those in use leave, and a new connection beyond the limit closes
 * the one idle longest. Thread-safe; connects and closes outside its monitor.
 */
public final class ConnectionPool {
    /** A connection and its state in the pool. */
    static final class PooledConnection {
        final HttpConnection connection;
        final String address;
        /** Whether the connection has carried a request before. */
        boolean reused;
        /** Whether the connection counts as in use. */
        boolean inUse = true;

        /** The time at which the connection last became idle. */
        long idleSinceNanos;
        /** How long the connection was idle before its current use. */
        long idledNanos;

        PooledConnection(HttpConnection connection, String address) {
            this.connection = connection;
            this.address = address;
        }
    }

    /** Opens connections; tests substitute one that delays them. */
    public interface Dialer {
        /** Connects within {@code limitMs} milliseconds. */
        HttpConnection dial(InetSocketAddress to, long limitMs) throws IOException;
    }

    private static final long NANOS_PER_MS = 1_000_000;
    private static final long MIN_TRUSTED_IDLE_NANOS = 100_000_000L;
    /** Time after a response in which a worker may send a second one to the same request. */
    private static final long MAX_SECOND_RESPONSE_DELAY_NANOS = 100_000_000L;
    /** Weight of one use in the moving average of the break share, so that about thirty uses count. */
    private static final double BREAK_ESTIMATE_STEP = 0.03;
    /** Break share above which reused connections do not carry requests that must not run twice. */
    private static final double MAX_TRUSTED_BREAK_SHARE = 0.01;
    /** Divisor of the trusted idle time; the quotient is added to it after each use that did not break. */
    private static final int TRUST_GROWTH_DIVISOR = 50;

    private final Supplier<Config> config;
    private final Supplier<Config.Limits> limits;
    private final Dialer dialer;
    private final LongSupplier nanoTime;
    private final Map<String, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private int idleCount;
    /** Number of connections in use or being established. */
    private int inUseCount;
    /** How long an idle connection is assumed not to have been closed by the other side. */
    private long trustedIdleNanos;

    /** Moving average of the share of reused connections that broke, 0 to 1. */
    private double breakShare;

    /**
     * Creates an empty pool.
     *
     * @param limits the limits in force
     */
    public ConnectionPool(Supplier<Config> config, Supplier<Config.Limits> limits) {
        this(config, limits, HttpConnection::dial);
    }

    /** Creates an empty pool whose connections are opened by {@code dialer}. */
    public ConnectionPool(Supplier<Config> config, Supplier<Config.Limits> limits, Dialer dialer) {
        this(config, limits, dialer, System::nanoTime);
    }

    /** Creates an empty pool that reads the time from {@code nanoTime}, a clock as {@link System#nanoTime}. */
    public ConnectionPool(
            Supplier<Config> config, Supplier<Config.Limits> limits, Dialer dialer, LongSupplier nanoTime) {
        this.config = config;
        this.limits = limits;
        this.dialer = dialer;
        this.nanoTime = nanoTime;
        trustedIdleNanos = maxIdleNanos();
    }

    private long maxIdleNanos() {
        return config.get().times().workerIdleMs() * NANOS_PER_MS;
    }

    /**
     * Returns the most recently used idle connection to the address that may carry the request, or a new one.
     *
     * @param limitMs the time limit for connecting in milliseconds
     */
    PooledConnection acquire(String address, long limitMs, ConnectionReuse reuse) throws IOException {
        PooledConnection reusable = takeUsable(address, reuse);
        return reusable != null ? reusable : connect(address, limitMs);
    }

    private PooledConnection takeUsable(String address, ConnectionReuse reuse) {
        while (reuse == ConnectionReuse.ANY || !areReusedConnectionsUnreliable()) {
            PooledConnection candidate = takeIdle(address, reuse);
            if (candidate == null) {
                return null;
            }
            candidate.idledNanos = nanoTime.getAsLong() - candidate.idleSinceNanos;
            if (candidate.idledNanos < trustedIdleNanos() && !candidate.connection.stale()) {
                return candidate;
            }
            if (candidate.connection.buffer().hasRemaining()) {
                recordUnexpectedBytes();
            }
            close(candidate);
        }
        return null;
    }

    private PooledConnection connect(String address, long limitMs) throws IOException {
        InetSocketAddress target = EndpointParser.parseAddress(address);
        PooledConnection evicted = beginConnect();
        if (evicted != null) {
            evicted.connection.close();
        }
        try {
            long dialMs = Math.min(limitMs, config.get().times().dialMs());
            return new PooledConnection(dialer.dial(target, dialMs), address);
        } catch (IOException | RuntimeException | Error e) {
            connectFailed();
            throw e;
        }
    }

    /** Takes the most recently used of the address's idle connections that may carry the request, or null. */
    private synchronized PooledConnection takeIdle(String address, ConnectionReuse reuse) {
        ArrayDeque<PooledConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        long minIdleNanos = reuse == ConnectionReuse.IF_SETTLED ? MAX_SECOND_RESPONSE_DELAY_NANOS : 0;
        long nowNanos = nanoTime.getAsLong();
        for (Iterator<PooledConnection> newestFirst = connections.descendingIterator(); newestFirst.hasNext(); ) {
            PooledConnection candidate = newestFirst.next();
            if (nowNanos - candidate.idleSinceNanos >= minIdleNanos) {
                newestFirst.remove();
                removedIdle(address, connections);
                candidate.inUse = true;
                inUseCount++;
                return candidate;
            }
        }
        return null;
    }

    private void removedIdle(String address, ArrayDeque<PooledConnection> connections) {
        idleCount--;
        if (connections.isEmpty()) {
            idle.remove(address);
        }
    }

    /** Counts a new connection; returns the connection idle longest, to be closed, if there would be too many. */
    private synchronized PooledConnection beginConnect() {
        inUseCount++;
        if (idleCount <= idleCapacity()) {
            return null;
        }
        String address = null;
        long oldestSinceNanos = 0;
        for (Map.Entry<String, ArrayDeque<PooledConnection>> entry : idle.entrySet()) {
            long oldestNanos = entry.getValue().peekFirst().idleSinceNanos;
            if (address == null || oldestNanos < oldestSinceNanos) {
                address = entry.getKey();
                oldestSinceNanos = oldestNanos;
            }
        }
        if (address == null) {
            return null;
        }
        ArrayDeque<PooledConnection> connections = idle.get(address);
        PooledConnection longestIdle = connections.removeFirst();
        removedIdle(address, connections);
        return longestIdle;
    }

    /** Returns how many connections may be idle in addition to those in use. */
    private int idleCapacity() {
        Config.Limits currentLimits = limits.get();
        return Math.max(currentLimits.idleWorkerConnections(), currentLimits.workerConnections() - inUseCount);
    }

    private synchronized void connectFailed() {
        inUseCount--;
    }

    /** Closes a connection acquired with {@link #acquire}; without effect on a connection closed before. */
    void close(PooledConnection connection) {
        connection.connection.close();
        synchronized (this) {
            markUnused(connection);
        }
    }

    private void markUnused(PooledConnection connection) {
        inUseCount -= connection.inUse ? 1 : 0;
        connection.inUse = false;
    }

    private synchronized boolean areReusedConnectionsUnreliable() {
        return breakShare > MAX_TRUSTED_BREAK_SHARE;
    }

    private synchronized long trustedIdleNanos() {
        return trustedIdleNanos;
    }

    /**
     * Records whether a request on a reused connection broke before a byte of the response arrived. Workers and network
     * devices in between may close idle connections earlier than the settings say, and such a request may have run. The
     * trusted idle time is halved after a break and grows back slowly.
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
     * Records that unexpected bytes arrived on a reused connection. A rejection does not identify its request: a
     * rejection that arrives late, after another response, would be read as proof that the next request never ran.
     * Requests that must not run twice therefore get new connections for a while, as after breaks of reused
     * connections.
     */
    synchronized void recordUnexpectedBytes() {
        breakShare = (1 - BREAK_ESTIMATE_STEP) * breakShare + BREAK_ESTIMATE_STEP;
    }

    /** Returns a connection to the pool after a complete response. */
    void release(PooledConnection connection) {
        synchronized (this) {
            markUnused(connection);
            if (idleCount < idleCapacity()) {
                connection.idleSinceNanos = nanoTime.getAsLong();
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
     * Closes the connections to workers that are no longer listed, and those that have been idle for two thirds of the
     * time after which a worker's host closes them: a request written later ends in a reset after which it may have
     * run.
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
                        && (unlisted || nanoTime.getAsLong() - connections.peekFirst().idleSinceNanos > maxIdleNanos)) {
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

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
 * The connections to workers: each carries one request at a time; idle ones wait here for the next. Idle
 * ones have what branches leave of the descriptors that are for both: with more workers than a fixed pool
 * would hold, nearly each job would pay a handshake, at the worker too. A new connection beyond that ends the
 * longest idle.
 */
public final class ConnectionPool {
    /** One connection, and whether it has carried a request before. */
    static final class PooledConnection {
        final HttpConnection connection;
        final String address;
        boolean reused; // it has carried a request before
        boolean inUse = true; // counted in out
        long idleSince;
        long idled; // for how long, before this use

        PooledConnection(HttpConnection connection, String address) {
            this.connection = connection;
            this.address = address;
        }
    }

    /** Makes a connection within the limit, in milliseconds: the system, or a story that has it come late. */
    public interface Dialer {
        HttpConnection dial(InetSocketAddress to, long limitMs) throws IOException;
    }

    private static final long MIN_TRUSTED_IDLE_NANOS = 100_000_000L;
    private final Supplier<Config> config;
    private final Supplier<Config.Limits> sizes;
    private final Dialer dialer;
    private final Map<String, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private int idleCount;
    private int out; // in use, or being connected
    private long idleNanos; // how long an idle one is trusted
    private double broken; // share of kept ones that broke, of late

    /** {@code sizes}: how much may be held at present. */
    public ConnectionPool(Supplier<Config> config, Supplier<Config.Limits> sizes) {
        this(config, sizes, HttpConnection::dial);
    }

    /** With another way to make connections. */
    public ConnectionPool(Supplier<Config> config, Supplier<Config.Limits> sizes, Dialer dialer) {
        this.config = config;
        this.sizes = sizes;
        this.dialer = dialer;
        idleNanos = config.get().times().workerIdleMs() * 1_000_000;
    }

    /**
     * An idle connection to the address, the one used last, or a new one; connects within the limit. {@code
     * once}: what it is for must not run twice, so a kept one will not do while such break under requests.
     */
    PooledConnection acquire(String address, long limitMs, boolean once) throws IOException {
        PooledConnection link;
        while (!(once && distrusted()) && (link = takeIdle(address)) != null) {
            link.idled = System.nanoTime() - link.idleSince;
            if (link.idled < trustedNanos() && !link.connection.stale()) {
                return link;
            }
            if (link.connection.buffer().hasRemaining()) {
                recordUnexpectedBytes();
            }
            close(link);
        }
        InetSocketAddress to = EndpointParser.parseAddress(address);
        PooledConnection oldest = begin();
        if (oldest != null) {
            oldest.connection.close();
        }
        try {
            long dialMs = Math.min(limitMs, config.get().times().dialMs());
            return new PooledConnection(dialer.dial(to, dialMs), address);
        } catch (IOException | RuntimeException | Error e) {
            notMade();
            throw e;
        }
    }

    private synchronized PooledConnection takeIdle(String address) {
        PooledConnection link = poll(address, false);
        if (link != null) {
            link.inUse = true;
            out++;
        }
        return link;
    }

    private PooledConnection poll(String address, boolean oldest) {
        ArrayDeque<PooledConnection> links = idle.get(address);
        PooledConnection link = links == null ? null : oldest ? links.pollFirst() : links.pollLast();
        idleCount -= link == null ? 0 : 1;
        if (link != null && links.isEmpty()) {
            idle.remove(address);
        }
        return link;
    }

    /** Counts a new connection; the longest idle one where there would be too many, to be closed for it. */
    private synchronized PooledConnection begin() {
        out++;
        String longest = null;
        for (Map.Entry<String, ArrayDeque<PooledConnection>> e : idle.entrySet()) {
            if (idleCount > idleCapacity()
                    && (longest == null
                            || e.getValue().peekFirst().idleSince
                                    < idle.get(longest).peekFirst().idleSince)) {
                longest = e.getKey();
            }
        }
        return longest == null ? null : poll(longest, true);
    }

    /** How many may be idle beside those in use. */
    private int idleCapacity() {
        Config.Limits now = sizes.get();
        return Math.max(now.idleWorkerConnections(), now.workerConnections() - out);
    }

    private synchronized void notMade() {
        out--;
    }

    /** Closes a connection that {@link #acquire} gave and that carries no more; again, it does nothing. */
    void close(PooledConnection link) {
        link.connection.close();
        synchronized (this) {
            out -= link.inUse ? 1 : 0;
            link.inUse = false;
        }
    }

    private synchronized boolean distrusted() {
        return broken > 0.01;
    }

    private synchronized long trustedNanos() {
        return idleNanos;
    }

    /**
     * Learns from a request on a kept connection: whether it broke before a byte came back. Guards against
     * peers, and machines between, that drop idle connections sooner than the settings say, without
     * a word: such a request may have run. About thirty uses count; the trusted idle time grows back slowly.
     */
    synchronized void recordUse(PooledConnection link, boolean broke) {
        if (link.reused) {
            broken = 0.97 * broken + (broke ? 0.03 : 0);
            idleNanos = broke
                    ? Math.max(MIN_TRUSTED_IDLE_NANOS, Math.min(idleNanos, link.idled / 2))
                    : Math.min(config.get().times().workerIdleMs() * 1_000_000, idleNanos + idleNanos / 50);
        }
    }

    /**
     * Bytes came on a kept connection that nobody had asked for. A refusal names no job: one that follows
     * another answer, and comes a moment later, would prove of the next job that it never ran. So what must
     * not run twice gets new connections for a while, as where kept ones break.
     */
    synchronized void recordUnexpectedBytes() {
        broken = 0.97 * broken + 0.03;
    }

    /** Takes a connection back after a whole answer. */
    void release(PooledConnection link) {
        synchronized (this) {
            out -= link.inUse ? 1 : 0;
            link.inUse = false;
            if (idleCount < idleCapacity()) {
                link.idleSince = System.nanoTime();
                link.reused = true;
                idle.computeIfAbsent(link.address, a -> new ArrayDeque<>()).addLast(link);
                idleCount++;
                return;
            }
        }
        link.connection.close();
    }

    /**
     * Closes what has idled for two thirds of the time after which a worker's machine closes it (a request
     * written after that ends as a reset that may have run), and what leads to a worker no longer listed.
     */
    public void closeExpired(Collection<String> listed) {
        ArrayDeque<PooledConnection> old = new ArrayDeque<>();
        long limit = config.get().times().workerIdleMs() * 1_000_000;
        synchronized (this) {
            for (Iterator<Map.Entry<String, ArrayDeque<PooledConnection>>> i =
                            idle.entrySet().iterator();
                    i.hasNext(); ) {
                Map.Entry<String, ArrayDeque<PooledConnection>> e = i.next();
                boolean gone = !listed.contains(e.getKey());
                ArrayDeque<PooledConnection> links = e.getValue();
                while (!links.isEmpty() && (gone || System.nanoTime() - links.peekFirst().idleSince > limit)) {
                    old.add(links.removeFirst());
                    idleCount--;
                }
                if (links.isEmpty()) {
                    i.remove();
                }
            }
        }
        old.forEach(l -> l.connection.close());
    }
}

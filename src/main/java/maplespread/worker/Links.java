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
import maplespread.http.HttpConnection;
import maplespread.routes.RouteReader;

/**
 * The connections to workers: each carries one request at a time; idle ones wait here for the next. Idle
 * ones have what branches leave of the descriptors that are for both: with more workers than a fixed pool
 * would hold, nearly each job would pay a handshake, at the worker too. A new connection beyond that ends the
 * longest idle.
 */
public final class Links {
    /** One connection, and whether it has carried a request before. */
    static final class Link {
        final HttpConnection connection;
        final String address;
        boolean kept; // it has carried a request before
        boolean inUse = true; // counted in out
        long idleSince;
        long idled; // for how long, before this use

        Link(HttpConnection connection, String address) {
            this.connection = connection;
            this.address = address;
        }
    }

    /** Makes a connection within the limit, in milliseconds: the system, or a story that has it come late. */
    public interface Dialer {
        HttpConnection dial(InetSocketAddress to, long limitMs) throws IOException;
    }

    private static final long LEAST_IDLE_NANOS = 100_000_000L;
    private final Supplier<Config> config;
    private final Supplier<Config.Sizes> sizes;
    private final Dialer dialer;
    private final Map<String, ArrayDeque<Link>> idle = new HashMap<>();
    private int idleCount;
    private int out; // in use, or being connected
    private long idleNanos; // how long an idle one is trusted
    private double broken; // share of kept ones that broke, of late

    /** {@code sizes}: how much may be held at present. */
    public Links(Supplier<Config> config, Supplier<Config.Sizes> sizes) {
        this(config, sizes, HttpConnection::dial);
    }

    /** With another way to make connections. */
    public Links(Supplier<Config> config, Supplier<Config.Sizes> sizes, Dialer dialer) {
        this.config = config;
        this.sizes = sizes;
        this.dialer = dialer;
        idleNanos = config.get().times().linkIdleMs() * 1_000_000;
    }

    /**
     * An idle connection to the address, the one used last, or a new one; connects within the limit. {@code
     * once}: what it is for must not run twice, so a kept one will not do while such break under requests.
     */
    Link get(String address, long limitMs, boolean once) throws IOException {
        Link link;
        while (!(once && distrusted()) && (link = takeIdle(address)) != null) {
            link.idled = System.nanoTime() - link.idleSince;
            if (link.idled < trustedNanos() && !link.connection.stale()) {
                return link;
            }
            if (link.connection.buffer().hasRemaining()) {
                strayed();
            }
            close(link);
        }
        InetSocketAddress to = RouteReader.address(address);
        Link oldest = begin();
        if (oldest != null) {
            oldest.connection.close();
        }
        try {
            long dialMs = Math.min(limitMs, config.get().times().dialMs());
            return new Link(dialer.dial(to, dialMs), address);
        } catch (IOException | RuntimeException | Error e) {
            notMade();
            throw e;
        }
    }

    private synchronized Link takeIdle(String address) {
        Link link = poll(address, false);
        if (link != null) {
            link.inUse = true;
            out++;
        }
        return link;
    }

    private Link poll(String address, boolean oldest) {
        ArrayDeque<Link> links = idle.get(address);
        Link link = links == null ? null : oldest ? links.pollFirst() : links.pollLast();
        idleCount -= link == null ? 0 : 1;
        if (link != null && links.isEmpty()) {
            idle.remove(address);
        }
        return link;
    }

    /** Counts a new connection; the longest idle one where there would be too many, to be closed for it. */
    private synchronized Link begin() {
        out++;
        String longest = null;
        for (Map.Entry<String, ArrayDeque<Link>> e : idle.entrySet()) {
            if (idleCount > room()
                    && (longest == null
                            || e.getValue().peekFirst().idleSince
                                    < idle.get(longest).peekFirst().idleSince)) {
                longest = e.getKey();
            }
        }
        return longest == null ? null : poll(longest, true);
    }

    /** How many may be idle beside those in use. */
    private int room() {
        Config.Sizes now = sizes.get();
        return Math.max(now.idleLinks(), now.links() - out);
    }

    private synchronized void notMade() {
        out--;
    }

    /** Closes a connection that {@link #get} gave and that carries no more; again, it does nothing. */
    void close(Link link) {
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
    synchronized void used(Link link, boolean broke) {
        if (link.kept) {
            broken = 0.97 * broken + (broke ? 0.03 : 0);
            idleNanos = broke
                    ? Math.max(LEAST_IDLE_NANOS, Math.min(idleNanos, link.idled / 2))
                    : Math.min(config.get().times().linkIdleMs() * 1_000_000, idleNanos + idleNanos / 50);
        }
    }

    /**
     * Bytes came on a kept connection that nobody had asked for. A refusal names no job: one that follows
     * another answer, and comes a moment later, would prove of the next job that it never ran. So what must
     * not run twice gets new connections for a while, as where kept ones break.
     */
    synchronized void strayed() {
        broken = 0.97 * broken + 0.03;
    }

    /** Takes a connection back after a whole answer. */
    void release(Link link) {
        synchronized (this) {
            out -= link.inUse ? 1 : 0;
            link.inUse = false;
            if (idleCount < room()) {
                link.idleSince = System.nanoTime();
                link.kept = true;
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
    public void sweep(Collection<String> listed) {
        ArrayDeque<Link> old = new ArrayDeque<>();
        long limit = config.get().times().linkIdleMs() * 1_000_000;
        synchronized (this) {
            for (Iterator<Map.Entry<String, ArrayDeque<Link>>> i =
                            idle.entrySet().iterator();
                    i.hasNext(); ) {
                Map.Entry<String, ArrayDeque<Link>> e = i.next();
                boolean gone = !listed.contains(e.getKey());
                ArrayDeque<Link> links = e.getValue();
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

package maplespread.discovery;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import maplespread.facade.EndpointUpdate;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.LineSplitter;
import maplespread.http.RateLimitedLogger;
import maplespread.log.Event;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import org.tinylog.Logger;

/**
 * Follows discovery's list, each address of discovery on a thread of its own. Where the list is asked for,
 * when to subscribe is the module's word; each watch that ends is reported, and the module asks again after
 * its jittered back-off. One that falls silent is begun anew at once, by {@link WatchTimeouts}. Where the list is
 * pushed, what the agent holds counts whether or not it was asked: it is asked from the start on, and again
 * and again while it is out. A new address is watched at once: until it has spoken, the last list holds and
 * the old watch is still obeyed.
 */
public final class DiscoveryClient implements EndpointSource {
    private static final int LONGEST_LINE = 1 << 20;
    private static final long STACK = 144 * 1024;
    private static final long DIAL_MS = 2500;
    private static final long AGENT_AGAIN_MS = 100; // pushed: between two calls while it is out
    private final WatchTimeouts clock;
    private final boolean pushed;
    private final SplittableRandom random;
    private final RateLimitedLogger seldom = new RateLimitedLogger();
    private final EndpointListener to;
    private final EndpointParser reader;
    private Source newest; // the address that is asked
    private Source spoken; // the last one that has said anything

    /** {@code generation}: of the list held; {@code pushed}: it comes from an agent that pushes it. */
    public DiscoveryClient(
            InetSocketAddress address,
            EndpointParser reader,
            long generation,
            WatchTimeouts clock,
            boolean pushed,
            long seed,
            EndpointListener to) {
        this.reader = reader;
        this.clock = clock;
        this.pushed = pushed;
        this.to = to;
        random = new SplittableRandom(seed);
        newest = new Source(address, generation);
        spoken = newest;
    }

    /** Begins; the first watch is the module's word, unless the list is pushed. */
    @Override
    public synchronized void start() {
        if (pushed) {
            newest.watch();
        }
        newest.begin();
    }

    /** Asks for a watch; passed over while one is on. */
    @Override
    public synchronized void watch() {
        newest.watch();
    }

    /** Discovery is at another address from now on. False where that is the one in use. */
    @Override
    public synchronized boolean moveTo(InetSocketAddress address) {
        if (newest.over || newest.address.equals(address)) {
            return false;
        }
        if (newest != spoken) {
            newest.close(); // it never spoke
        }
        newest = new Source(address, 0); // its generations may count otherwise
        to.listUnconfirmed(EndpointListDoubt.MOVED, 0);
        newest.watch();
        newest.begin();
        return true;
    }

    /** The list last told holds, however old: the platform's rules ask for no more. */
    @Override
    public String notReadyReason() {
        return null;
    }

    /** Ends all watches. */
    @Override
    public synchronized void close() {
        newest.close();
        spoken.close();
    }

    private static long sinceMs(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private synchronized void fellSilent(Source source) {
        if (source == newest && source.spoke) {
            to.listUnconfirmed(EndpointListDoubt.SILENT, sinceMs(source.heardAt));
        }
    }

    private synchronized void watchAgain(Source source) {
        source.watch();
    }

    /** Takes a line's news, unless a newer address has spoken since. */
    private synchronized void news(Source from, EndpointUpdate news) {
        if (from.over) {
            return;
        }
        if (from == newest && spoken != newest) {
            spoken.close();
            spoken = newest;
            Logger.info("{} has spoken, and no other address is watched", from.address);
        }
        from.generation = news.version();
        boolean current = from == newest; // another address may know of changes that this one does not
        to.endpointsChanged(current ? news : new EndpointUpdate(news.kind(), news.version(), news.endpoints(), false));
    }

    /** How a watch came to its end. */
    private record End(String why, EndpointWatchFailure loss) {}

    /** One address of discovery. What is not final is guarded by the route set's lock. */
    private final class Source implements Runnable {
        final InetSocketAddress address;
        long generation;
        boolean heard; // news of the watch that is on
        boolean spoke; // a line of it; its own thread's
        long calledAt; // of the call that is out, in nanoseconds; its own thread's
        long connectedMs; // after the call its connection was up; -1: not
        long heardAt; // the last line, or the call
        boolean wanted;
        boolean following;
        boolean over;
        HttpConnection current;

        Source(InetSocketAddress address, long generation) {
            this.address = address;
            this.generation = generation;
        }

        void begin() {
            Thread t = new Thread(null, this, "routes " + address, STACK);
            t.setDaemon(true);
            t.start();
        }

        void watch() {
            wanted |= !following;
            DiscoveryClient.this.notifyAll();
        }

        void close() {
            over = true;
            if (current != null) {
                current.close();
            }
            DiscoveryClient.this.notifyAll();
        }

        @Override
        public void run() {
            try {
                while (awaitWanted()) {
                    End end = watched();
                    if (ended()) {
                        report(end);
                        to.watchLost(end.loss, sinceMs(heardAt));
                        if (pushed) {
                            Thread.sleep(AGENT_AGAIN_MS);
                            DiscoveryClient.this.watchAgain(this);
                        }
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /**
         * One watch, and those that take its place where one falls silent, were it before its first word;
         * returns why there is none. One that follows a silent one and says nothing is not followed at once.
         */
        private End watched() {
            boolean renewed = false;
            while (true) {
                long silence = clock.drawSilenceLimitMs(random);
                long first = renewed || pushed ? clock.renewMs() : silence;
                spoke = false;
                calledAt = System.nanoTime();
                heardAt = calledAt;
                connectedMs = -1;
                try {
                    follow(first, silence);
                    return new End(
                            "the watch ended", spoke ? EndpointWatchFailure.ENDED : EndpointWatchFailure.NO_ANSWER);
                } catch (SocketTimeoutException e) {
                    if (!spoke && (renewed || pushed)) {
                        return new End("no word within " + first + " ms", EndpointWatchFailure.NO_ANSWER);
                    }
                    fellSilent(this);
                    renewed = true;
                    heard = false;
                    seldom.warn(address + ": the watch is silent; it is begun anew");
                } catch (IOException e) {
                    return new End("the watch broke: " + e.getMessage(), loss(e));
                } catch (RuntimeException | Error e) { // without this thread drains would go unseen
                    Logger.error(e, "the watch failed");
                    return new End("the watch failed", EndpointWatchFailure.NOT_ASKED);
                }
            }
        }

        private EndpointWatchFailure loss(IOException e) {
            if (connectedMs < 0) {
                return e instanceof ConnectException ? EndpointWatchFailure.REFUSED : EndpointWatchFailure.NOT_ASKED;
            }
            // What cannot be read is no end of discovery's: it goes on, and its changes count.
            return spoke && !(e instanceof HttpException) ? EndpointWatchFailure.ENDED : EndpointWatchFailure.NO_ANSWER;
        }

        private void report(End end) {
            Event.of(
                            "discovery.watch_ended",
                            "endpoint",
                            address,
                            "why",
                            end.why,
                            "loss",
                            end.loss,
                            "took_ms",
                            sinceMs(calledAt),
                            "connected_ms",
                            connectedMs < 0 ? null : connectedMs,
                            "spoke",
                            spoke)
                    .warn();
        }

        private boolean awaitWanted() throws InterruptedException {
            synchronized (DiscoveryClient.this) {
                while (!wanted && !over) {
                    DiscoveryClient.this.wait();
                }
                wanted = false;
                following = true;
                heard = false;
                return !over;
            }
        }

        /** Before the report, which may make the module ask anew at once. False: nobody is to be told. */
        private boolean ended() {
            synchronized (DiscoveryClient.this) {
                following = false;
                over |= this != newest; // an address left behind is not asked again
                return !over;
            }
        }

        /**
         * One watch, until it ends; a {@link SocketTimeoutException} where it says nothing for too long.
         * Discovery sends a line every two seconds; a longer silence means that it or the way to it is gone
         * without a word, while drains go on unseen.
         */
        private void follow(long firstMs, long silenceMs) throws IOException {
            try (HttpConnection link = HttpConnection.dial(address, Math.min(firstMs, DIAL_MS))) {
                connectedMs = sinceMs(calledAt);
                long since;
                synchronized (DiscoveryClient.this) {
                    current = link;
                    since = generation;
                    if (over) {
                        return;
                    }
                }
                String host = address.getHostString() + ':' + address.getPort();
                link.send(HttpWriter.request("GET", "/v1/endpoints?follow=1&since=" + since, host)
                        .bytes());
                JsonObjectSplitter objects = new JsonObjectSplitter();
                HttpParser parser = HttpParser.response(
                        Long.MAX_VALUE, new LineSplitter(LONGEST_LINE, text -> line(objects, text)));
                long firstBy = System.nanoTime() + firstMs * 1_000_000;
                while (!parser.feed(link.buffer())) {
                    if (parser.headDone() && parser.head().status() != 200) {
                        throw new IOException(
                                "discovery answered " + parser.head().status());
                    }
                    if (!link.fill(spoke ? silenceMs : (firstBy - System.nanoTime()) / 1_000_000)) {
                        return;
                    }
                }
            }
        }

        private void line(JsonObjectSplitter objects, String text) throws HttpException {
            spoke = true;
            heardAt = System.nanoTime();
            EndpointUpdate news;
            try {
                String object = objects.add(text);
                if (object == null) {
                    return;
                }
                news = reader.parse(object);
            } catch (EndpointParser.MalformedListException e) {
                throw new HttpException(502, "malformed line: " + e.getMessage());
            }
            if (!heard) {
                Logger.info(
                        "the watch of {} is on, generation {}, {} with {} workers, {} ms after the call",
                        address,
                        news.version(),
                        news.kind(),
                        news.endpoints().size(),
                        sinceMs(calledAt));
            }
            heard = true;
            news(this, news);
        }
    }
}

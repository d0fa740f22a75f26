package maplespread.routes;

import java.io.IOException;
import java.net.InetSocketAddress;
import maplespread.facade.Dispatcher;
import maplespread.facade.RouteNews;
import maplespread.http.HttpConnection;
import maplespread.http.HttpError;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.Lines;
import maplespread.http.Seldom;
import org.tinylog.Logger;

/**
 * Follows discovery's list on one thread. When to subscribe is the module's word; each watch that ends is
 * reported, and the module asks again after its jittered back-off.
 */
public final class RouteSet implements Runnable {
    private static final int LONGEST_LINE = 1 << 20;
    private final InetSocketAddress address;
    private final long silenceMs;
    private final Seldom seldom = new Seldom();
    private final Dispatcher dispatcher;
    private final RouteReader reader;
    private long generation;
    private boolean heard;                                       // of the watch that is on
    private boolean wanted;
    private boolean following;
    private HttpConnection current;

    /** {@code generation}: of the list held; {@code silenceMs}: how long a live watch may be silent. */
    public RouteSet(InetSocketAddress address, RouteReader reader, long generation, long silenceMs,
            Dispatcher dispatcher) {
        this.address = address;
        this.reader = reader;
        this.generation = generation;
        this.silenceMs = silenceMs;
        this.dispatcher = dispatcher;
    }

    /** Asks for a watch; passed over while one is on. */
    public synchronized void watch() {
        wanted |= !following;
        notifyAll();
    }

    @Override public void run() {
        try {
            while (true) {
                synchronized (this) {
                    following = false;
                    while (!wanted) {
                        wait();
                    }
                    wanted = false;
                    following = true;
                }
                try {
                    follow();
                    Logger.info("the watch ended");
                } catch (IOException e) {
                    seldom.warn("the watch broke: " + e.getMessage());
                } catch (RuntimeException | Error e) {           // without this thread drains would go unseen
                    Logger.error(e, "the watch failed");
                }
                synchronized (this) {
                    following = false;                           // before the report: it may ask anew at once
                }
                dispatcher.reportWatchLost();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * One watch, until it ends. Discovery sends a line every two seconds; a longer silence means that it or
     * the way to it is gone without a word, while drains go on unseen.
     */
    private void follow() throws IOException {
        try (HttpConnection link = HttpConnection.dial(address, silenceMs / 2)) {
            begin(link);
            heard = false;
            String host = address.getHostString() + ':' + address.getPort();
            link.send(HttpWriter.request("GET", "/v1/endpoints?follow=1&since=" + generation, host).bytes());
            HttpParser parser = HttpParser.response(Long.MAX_VALUE, new Lines(LONGEST_LINE, this::line));
            while (!parser.feed(link.buffer())) {
                if (parser.headDone() && parser.head().status() != 200) {
                    throw new IOException("discovery answered " + parser.head().status());
                }
                if (!link.fill(silenceMs)) {
                    return;
                }
            }
        }
    }

    private synchronized void begin(HttpConnection link) {
        current = link;
    }

    /** Ends the watch that is on. */
    public synchronized void close() {
        if (current != null) {
            current.close();
        }
    }

    private void line(String text) throws HttpError {
        if (text.isEmpty()) {
            return;
        }
        RouteNews news;
        try {
            news = reader.read(text);
        } catch (RouteReader.Malformed e) {
            throw new HttpError(502, "malformed line: " + e.getMessage());
        }
        if (!heard) {
            Logger.info("the watch is on, generation {}", news.generation());
        }
        heard = true;
        generation = news.generation();
        dispatcher.report(news);
    }
}

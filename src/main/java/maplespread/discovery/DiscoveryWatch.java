package maplespread.discovery;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import maplespread.facade.EndpointUpdate;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.LineSplitter;
import maplespread.log.Event;
import maplespread.policy.EndpointWatchFailure;
import org.tinylog.Logger;

/**
 * Watches one address of discovery on a thread of its own, a connection after the other, as it is asked to. Its
 * owner's monitor guards the fields that other threads use.
 */
final class DiscoveryWatch implements Runnable {
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final long STACK_BYTES = 144 * 1024;
    private static final long MAX_DIAL_MS = 2500;
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final long NOT_CONNECTED = -1;

    /** How a watch came to its end. */
    private record WatchEnd(String reason, EndpointWatchFailure failure) {}

    private final DiscoveryClient owner;
    private final InetSocketAddress address;

    // Guarded by the owner's monitor:
    private long listVersion;
    private boolean requested;
    private boolean open;
    private boolean closed;
    private HttpConnection connection;

    // Of the watch's own thread:
    private boolean updateReceived; // of the watch that is open
    private boolean lineReceived; // of the present connection
    private long calledAtNanos;
    private long connectedAfterMs;
    private long receivedAtNanos; // the last line, or the call

    DiscoveryWatch(DiscoveryClient owner, InetSocketAddress address, long listVersion) {
        this.owner = owner;
        this.address = address;
        this.listVersion = listVersion;
    }

    InetSocketAddress address() {
        return address;
    }

    // ------------------------------------------------------------ under the owner's monitor

    void start() {
        Thread thread = new Thread(null, this, "routes " + address, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Has a watch opened; does nothing while one is open. */
    void request() {
        requested |= !open;
        owner.notifyAll();
    }

    void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
        owner.notifyAll();
    }

    boolean isClosed() {
        return closed;
    }

    /** The version of the list that the address has sent last. */
    void setListVersion(long version) {
        listVersion = version;
    }

    // ------------------------------------------------------------ on its own thread

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    @Override
    public void run() {
        try {
            while (awaitRequest()) {
                WatchEnd end = watch();
                if (markEnded()) {
                    report(end);
                    owner.onWatchLost(this, end.failure, msSince(receivedAtNanos));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a watch is to be opened; false where the address is to be watched no more. */
    private boolean awaitRequest() throws InterruptedException {
        synchronized (owner) {
            while (!requested && !closed) {
                owner.wait();
            }
            requested = false;
            open = true;
            updateReceived = false;
            return !closed;
        }
    }

    /**
     * Takes note of the end before it is reported, since the report may make the policy ask anew at once. False
     * where nobody is to be notified.
     */
    private boolean markEnded() {
        synchronized (owner) {
            open = false;
            closed |= !owner.isNewest(this); // an address left behind is not asked again
            return !closed;
        }
    }

    /**
     * Keeps one watch, and those that take its place where one falls silent, even before its first line; returns
     * why there is none. One that follows a silent one and sends nothing is not followed at once.
     */
    private WatchEnd watch() {
        boolean renewed = false;
        while (true) {
            long silenceMs = owner.drawSilenceLimitMs();
            boolean limitedStart = renewed || owner.isPushed();
            long firstLineMs = limitedStart ? owner.timeouts().renewMs() : silenceMs;
            lineReceived = false;
            calledAtNanos = System.nanoTime();
            receivedAtNanos = calledAtNanos;
            connectedAfterMs = NOT_CONNECTED;
            try {
                follow(firstLineMs, silenceMs);
                return new WatchEnd(
                        "the watch ended", lineReceived ? EndpointWatchFailure.ENDED : EndpointWatchFailure.NO_ANSWER);
            } catch (SocketTimeoutException e) {
                if (!lineReceived && limitedStart) {
                    return new WatchEnd("no word within " + firstLineMs + " ms", EndpointWatchFailure.NO_ANSWER);
                }
                owner.onSilence(this, lineReceived, msSince(receivedAtNanos));
                renewed = true;
                updateReceived = false;
                owner.warnRateLimited(address + ": the watch is silent; it is begun anew");
            } catch (IOException e) {
                return new WatchEnd("the watch broke: " + e.getMessage(), failureOf(e));
            } catch (RuntimeException | Error e) { // without this thread no drain would be seen
                Logger.error(e, "the watch failed");
                return new WatchEnd("the watch failed", EndpointWatchFailure.NOT_ASKED);
            }
        }
    }

    private EndpointWatchFailure failureOf(IOException cause) {
        if (connectedAfterMs < 0) {
            return cause instanceof ConnectException ? EndpointWatchFailure.REFUSED : EndpointWatchFailure.NOT_ASKED;
        }
        // A line that cannot be read is no end on discovery's side: it goes on, and its changes count.
        boolean ended = lineReceived && !(cause instanceof HttpException);
        return ended ? EndpointWatchFailure.ENDED : EndpointWatchFailure.NO_ANSWER;
    }

    private void report(WatchEnd end) {
        Event.of(
                        "discovery.watch_ended",
                        "endpoint",
                        address,
                        "why",
                        end.reason,
                        "loss",
                        end.failure,
                        "took_ms",
                        msSince(calledAtNanos),
                        "connected_ms",
                        connectedAfterMs < 0 ? null : connectedAfterMs,
                        "spoke",
                        lineReceived)
                .warn();
    }

    /**
     * Opens a watch and takes its lines until it ends; a {@link SocketTimeoutException} where it sends nothing
     * for too long. Discovery sends a line every two seconds; a longer silence means that it, or the way to it,
     * is gone unnoticed, and drains would go unseen.
     */
    private void follow(long firstLineMs, long silenceMs) throws IOException {
        try (HttpConnection opened = HttpConnection.dial(address, Math.min(firstLineMs, MAX_DIAL_MS))) {
            connectedAfterMs = msSince(calledAtNanos);
            long since;
            synchronized (owner) {
                connection = opened;
                since = listVersion;
                if (closed) {
                    return;
                }
            }
            String host = address.getHostString() + ':' + address.getPort();
            opened.send(HttpWriter.request("GET", "/v1/endpoints?follow=1&since=" + since, host)
                    .bytes());
            JsonObjectSplitter objects = new JsonObjectSplitter();
            HttpParser parser = HttpParser.response(
                    Long.MAX_VALUE, new LineSplitter(MAX_LINE_BYTES, text -> takeLine(objects, text)));
            long firstLineDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(firstLineMs);
            while (!parser.feed(opened.buffer())) {
                if (parser.headDone() && parser.head().status() != STATUS_OK) {
                    throw new IOException("discovery answered " + parser.head().status());
                }
                long waitMs =
                        lineReceived ? silenceMs : TimeUnit.NANOSECONDS.toMillis(firstLineDueNanos - System.nanoTime());
                if (!opened.fill(waitMs)) {
                    return;
                }
            }
        }
    }

    private void takeLine(JsonObjectSplitter objects, String text) throws HttpException {
        lineReceived = true;
        receivedAtNanos = System.nanoTime();
        EndpointUpdate update;
        try {
            String object = objects.add(text);
            if (object == null) {
                return;
            }
            update = owner.parser().parse(object);
        } catch (EndpointParser.MalformedListException e) {
            throw new HttpException(STATUS_BAD_GATEWAY, "malformed line: " + e.getMessage());
        }
        if (!updateReceived) {
            Logger.info(
                    "the watch of {} is on, generation {}, {} with {} workers, {} ms after the call",
                    address,
                    update.version(),
                    update.kind(),
                    update.endpoints().size(),
                    msSince(calledAtNanos));
        }
        updateReceived = true;
        owner.onUpdate(this, update);
    }
}

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
 * Watches one address of discovery on its own thread, over one connection at a time, whenever a watch is requested.
 * The owner's monitor guards the fields that other threads use.
 */
final class DiscoveryWatch implements Runnable {
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final long THREAD_STACK_BYTES = 144 * 1024;
    private static final long MAX_CONNECT_MS = 2500;
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final long NOT_CONNECTED = -1;

    /** Why a watch ended: the text for the log and the failure for the policy. */
    private record WatchEnd(String reason, EndpointWatchFailure failure) {}

    private final DiscoveryClient owner;
    private final InetSocketAddress address;

    // Guarded by the owner's monitor:
    private long listVersion;
    private boolean requested;
    private boolean open;
    private boolean closed;
    private HttpConnection connection;

    // Used only by the thread of this watch:

    /** Whether the open watch has received an update since it was opened or reopened. */
    private boolean updateReceived;

    /** Whether the current connection has received a line. */
    private boolean lineReceived;

    private long connectStartedAtNanos;

    /** Time taken to connect, in milliseconds; {@link #NOT_CONNECTED} until then. */
    private long connectedAfterMs;

    /** When the last line arrived; before the first line, when the connection was started. */
    private long lastReceivedAtNanos;

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
        Thread thread = new Thread(null, this, "routes " + address, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Requests that a watch be opened; does nothing while one is open. */
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

    /** Sets the version of the list that the address sent last. */
    void setListVersion(long version) {
        listVersion = version;
    }

    // ------------------------------------------------------------ on the thread of this watch

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
                    owner.onWatchLost(this, end.failure, msSince(lastReceivedAtNanos));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until a watch is requested or this object is closed.
     *
     * @return false if closed
     */
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
     * Records that the watch ended. This precedes the report, which may make the policy request a watch at once.
     *
     * @return false if the end is not to be reported because the address is no longer watched
     */
    private boolean markEnded() {
        synchronized (owner) {
            open = false;
            closed |= !owner.isNewest(this); // a replaced address is not watched again
            return !closed;
        }
    }

    /**
     * Runs a watch and reopens it at once when it falls silent, even before its first line. A reopened watch that
     * sends no line is not reopened again.
     *
     * @return why no watch is open any more
     */
    private WatchEnd watch() {
        boolean reopened = false;
        while (true) {
            long silenceLimitMs = owner.drawSilenceLimitMs();
            boolean usesRenewTimeout = reopened || owner.isPushed();
            long firstLineTimeoutMs = usesRenewTimeout ? owner.timeouts().renewMs() : silenceLimitMs;
            lineReceived = false;
            connectStartedAtNanos = System.nanoTime();
            lastReceivedAtNanos = connectStartedAtNanos;
            connectedAfterMs = NOT_CONNECTED;
            try {
                follow(firstLineTimeoutMs, silenceLimitMs);
                return new WatchEnd(
                        "the watch ended", lineReceived ? EndpointWatchFailure.ENDED : EndpointWatchFailure.NO_ANSWER);
            } catch (SocketTimeoutException e) {
                if (!lineReceived && usesRenewTimeout) {
                    return new WatchEnd("no line within " + firstLineTimeoutMs + " ms", EndpointWatchFailure.NO_ANSWER);
                }
                owner.onSilence(this, lineReceived, msSince(lastReceivedAtNanos));
                reopened = true;
                updateReceived = false;
                owner.warnRateLimited(address + ": no line within the silence limit; reopening the watch");
            } catch (IOException e) {
                return new WatchEnd("the watch broke: " + e.getMessage(), failureOf(e));
            } catch (RuntimeException | Error e) { // keeps the thread alive: without it drains would be missed
                Logger.error(e, "unexpected error in the endpoint watch");
                return new WatchEnd("the watch failed", EndpointWatchFailure.NOT_ASKED);
            }
        }
    }

    private EndpointWatchFailure failureOf(IOException cause) {
        if (connectedAfterMs < 0) {
            return cause instanceof ConnectException ? EndpointWatchFailure.REFUSED : EndpointWatchFailure.NOT_ASKED;
        }
        // After a malformed line discovery still considers the watch open and its changes notified.
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
                        msSince(connectStartedAtNanos),
                        "connected_ms",
                        connectedAfterMs < 0 ? null : connectedAfterMs,
                        "spoke",
                        lineReceived)
                .warn();
    }

    /**
     * Opens a watch and processes its lines until it ends. Discovery sends a line every two seconds; a longer silence
     * means that discovery or the network path to it failed without closing the connection, and drains would be
     * missed.
     *
     * @throws SocketTimeoutException if no line arrives in time
     */
    private void follow(long firstLineTimeoutMs, long silenceLimitMs) throws IOException {
        try (HttpConnection opened = HttpConnection.dial(address, Math.min(firstLineTimeoutMs, MAX_CONNECT_MS))) {
            connectedAfterMs = msSince(connectStartedAtNanos);
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
                    Long.MAX_VALUE, new LineSplitter(MAX_LINE_BYTES, text -> processLine(objects, text)));
            long firstLineDueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(firstLineTimeoutMs);
            while (!parser.feed(opened.buffer())) {
                if (parser.headDone() && parser.head().status() != STATUS_OK) {
                    throw new IOException("discovery answered " + parser.head().status());
                }
                long waitMs = lineReceived
                        ? silenceLimitMs
                        : TimeUnit.NANOSECONDS.toMillis(firstLineDueNanos - System.nanoTime());
                if (!opened.fill(waitMs)) {
                    return;
                }
            }
        }
    }

    private void processLine(JsonObjectSplitter objects, String text) throws HttpException {
        lineReceived = true;
        lastReceivedAtNanos = System.nanoTime();
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
                    "watch of {} opened: generation {}, {} with {} workers, {} ms after the connection was started",
                    address,
                    update.version(),
                    update.kind(),
                    update.endpoints().size(),
                    msSince(connectStartedAtNanos));
        }
        updateReceived = true;
        owner.onUpdate(this, update);
    }
}

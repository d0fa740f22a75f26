package maplespread.caller;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import maplespread.config.Config;
import maplespread.facade.DecisionService;
import maplespread.facade.InFlightRequest;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import org.tinylog.Logger;

/**
 * One client connection. Its own thread reads requests one after the other and goes on reading while one is in flight, so
 * that a client's leaving is seen; the request itself runs on a thread of its own ({@link RequestExecution}). Other threads
 * may end it: the one that accepts, the ticker and the shutdown's.
 */
final class ClientConnection implements Runnable {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long POLL_MS = 1000;
    /** The same while the process ends or drains. */
    private static final long DRAINING_POLL_MS = 200;
    /** For the one request of a connection beyond the limit. */
    private static final long OVER_LIMIT_READ_MS = 200;
    /** For the client's unread bytes before the close: enough to pass over 60 MB. */
    private static final long LINGER_MS = 2000;
    /**
     * Retry-After of what is rejected for lack of capacity here (connections, requests, threads, large bodies) without
     * asking the policy; such rejections have no reason in the metrics.
     */
    private static final double NO_CAPACITY_RETRY_AFTER_MS = 250;
    /** Unacceptable requests in a row, after which the connection ends. */
    private static final int MAX_CONSECUTIVE_FAULTS = 4;
    /** The pause after an unacceptable request, doubled with each in a row. */
    private static final long FAULT_PAUSE_MS = 25;

    private static final int READ_BUFFER_BYTES = 256;

    /** What the connection holds, for the threads that may end it. */
    private enum Phase {
        /** No byte of a request has been read. */
        IDLE,
        /** A request has begun and is not whole. */
        READING,
        /** A whole request is held. */
        IN_FLIGHT,
        /** It makes room for another connection: what it has brought is rejected, and no more is read. */
        CLOSING
    }

    private final HttpConnection connection;
    private final ServingContext context;
    private final DecisionService decisions;
    private final Config.Times times;
    private final boolean overLimit;
    private final long connectedNanos = System.nanoTime();
    /** When it last had anything to do. */
    private volatile long quietSinceNanos = connectedNanos;
    /** It has brought an acceptable request. */
    private volatile boolean useful;
    /** The response owed; null where no whole request is held. */
    private volatile ClientResponse current;
    /** It closes by itself, between requests. */
    private volatile boolean closesWhenIdle;
    /** Guarded by this connection's monitor, with the response owed. */
    private Phase phase = Phase.IDLE;

    private boolean answeredBefore;
    /** The request's bytes had come before they were waited for. */
    private boolean requestWaited;

    private int consecutiveFaults;

    /** {@code overLimit}: beyond the number of connections, so its one request is rejected. */
    ClientConnection(HttpConnection connection, ServingContext context, boolean overLimit) {
        this.connection = connection;
        this.context = context;
        this.decisions = context.dispatcher();
        this.times = context.config().times();
        this.overLimit = overLimit;
    }

    // ------------------------------------------------------------ for other threads

    /** Whether it has ever brought a request that was acceptable. */
    boolean useful() {
        return useful;
    }

    /** Whether it may yet turn out to bring nothing acceptable. */
    boolean untried() {
        Phase present = phase();
        return !useful && (present == Phase.IDLE || present == Phase.READING);
    }

    boolean closing() {
        return phase() == Phase.CLOSING;
    }

    /** With its response a request is over, though this connection's thread may still wait for its client's bytes. */
    private synchronized Phase phase() {
        return phase == Phase.IN_FLIGHT && current.given() ? Phase.IDLE : phase;
    }

    /** False where it is closing. */
    private synchronized boolean enter(Phase next, ClientResponse owed) {
        if (phase == Phase.CLOSING) {
            return false;
        }
        phase = next;
        current = owed;
        return true;
    }

    long quietSinceNanos() {
        return quietSinceNanos;
    }

    /** Whether nothing has come on it that waits to be read, and no part of a useful client's request. */
    boolean silent() {
        return (phase() == Phase.IDLE || untried()) && !connection.pending();
    }

    /** Whether no part of a request has come: it may end with nobody the worse for it. */
    boolean quiet() {
        return phase() == Phase.IDLE && !connection.pending();
    }

    /** Ends a response that the client does not take in. */
    void cutIfStuck() {
        connection.cutIfStuck(times.clientReadMs());
    }

    /**
     * Has it close when it next waits for a request and nothing of one has come. Its own thread sees to that: what comes at
     * this moment, in pieces too, is read whole and answered. To end its reading from outside would leave the rest of such
     * a request unread.
     */
    void closeWhenIdle() {
        closesWhenIdle = true;
    }

    /**
     * Closes it at once to make room for another; false where a request has come meanwhile. What crosses it is unread, or
     * rejected: once its reading has ended here, a client's leaving could not be seen.
     */
    synchronized boolean closeNow() {
        Phase present = phase();
        if (present != Phase.IDLE && (useful || present != Phase.READING)) {
            return false;
        }
        phase = Phase.CLOSING;
        connection.endReading();
        return true;
    }

    /** Fails the request that it holds: it may have run, and its end will not be seen here. */
    void fail() {
        ClientResponse owed = current;
        if (owed != null && !owed.given()) {
            owed.failed(502, "the dispatcher ends");
        }
    }

    /** Rejects whatever it brings, unread: for when no thread is left that could read it. */
    void rejectUnread() {
        context.metrics().connectionRejectedUnread();
        new ClientResponse(connection, () -> true, context.metrics()).rejected(NO_CAPACITY_RETRY_AFTER_MS);
        connection.close();
    }

    // ------------------------------------------------------------ its own thread

    @Override
    public void run() {
        try {
            boolean stays = true;
            while (stays) {
                stays = handleNext();
            }
        } catch (IOException e) {
            // the client has gone, and nothing was owed to it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) { // one failing connection must not end the process
            Logger.error(e, "a client connection failed");
        } finally {
            connection.close();
        }
    }

    /** Reads one request and sees to its response; whether the connection goes on. */
    private boolean handleNext() throws IOException, InterruptedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(READ_BUFFER_BYTES);
        HttpParser parser = HttpParser.request(body::write);
        requestWaited = connection.buffer().hasRemaining();
        if (!awaitFirstByte()) {
            return false;
        }
        // The first request is to be whole soon after connecting, whatever the client does in between.
        long beginNanos = answeredBefore ? System.nanoTime() : connectedNanos;
        long wholeByNanos = beginNanos + readMs() * NANOS_PER_MS;
        ClientResponse response =
                new ClientResponse(connection, () -> !parser.done() || closesAfter(parser.head()), context.metrics());
        quietSinceNanos = System.nanoTime();
        if (!readAndAnswer(parser, body, wholeByNanos, response)) {
            return false;
        }
        boolean stays = enter(Phase.IDLE, null);
        if (response.closed()) {
            linger();
            return false;
        }
        answeredBefore = true;
        quietSinceNanos = System.nanoTime();
        return stays || connection.buffer().hasRemaining(); // what has been read is answered
    }

    /** False where the connection is to end at once. */
    private boolean readAndAnswer(
            HttpParser parser, ByteArrayOutputStream body, long wholeByNanos, ClientResponse response)
            throws IOException, InterruptedException {
        boolean largePermit = false;
        try {
            if (!enter(Phase.READING, null)) {
                response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
                return false;
            }
            connection.receiveBy(parser, wholeByNanos, true);
            if (parser.bodyLength() > ServingContext.LARGE_BODY_BYTES) {
                largePermit = context.largeBodyPermits().tryAcquire();
                if (!largePermit) {
                    rejectLargeBody(parser.head(), response);
                    return false;
                }
            }
            if (!parser.done() && parser.head().lists("Expect", "100-continue")) {
                connection.send(HttpWriter.response(100).bytes());
            }
            connection.receiveBy(parser, wholeByNanos, false);
            if (!enter(Phase.IN_FLIGHT, response)) {
                response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
                return false;
            }
            answerWhole(parser.head(), body, response);
        } catch (HttpException e) {
            // After malformed framing nothing on the connection can be trusted; a mere wrong value may go on.
            rejectFaulty(response, e.status(), e.getMessage());
        } catch (SocketTimeoutException e) {
            response.plain(408, "request not whole in time");
        } catch (EOFException e) {
            if (!closing()) {
                throw e; // its client has left
            }
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
        } finally {
            if (largePermit) {
                context.largeBodyPermits().release();
            }
        }
        return true;
    }

    /** The body stays unread, so the connection ends with the response. */
    private void rejectLargeBody(HttpHead head, ClientResponse response) {
        String requestClass = head.get("X-Lane");
        if (context.config().names().place(requestClass) >= 0) {
            response.accepted(requestClass);
        }
        response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
        linger();
    }

    private void answerWhole(HttpHead head, ByteArrayOutputStream body, ClientResponse response)
            throws IOException, InterruptedException {
        long lastByteUs = decisions.nowUs();
        requestWaited |= connection.stood();
        if (hasUnexpectedBytes()) {
            failFraming(response);
        } else if (!answerReadiness(head, response)) {
            accept(new ClientRequest(context, head, body.toByteArray(), lastByteUs), response);
        }
    }

    /** Answers a request that no worker may see. */
    private void rejectFaulty(ClientResponse response, int status, String why) {
        consecutiveFaults++;
        context.metrics().faultyRequest();
        response.failed(status, why);
    }

    /** Ends the connection on bytes out of turn; false where the request had its response before. */
    private boolean failFraming(ClientResponse response) {
        boolean first = response.framingBroken("one request at a time");
        if (first) {
            context.metrics().faultyRequest();
        }
        return first;
    }

    private long readMs() {
        return overLimit ? OVER_LIMIT_READ_MS : times.clientReadMs();
    }

    private boolean closesAfter(HttpHead head) {
        return overLimit
                || closing()
                || closesWhenIdle
                || consecutiveFaults >= MAX_CONSECUTIVE_FAULTS
                || !head.keepsAlive()
                || context.state().closingConnections().getAsBoolean();
    }

    /**
     * Waits for a request's first byte. A connection that has brought nothing acceptable yet is not waited for as long as
     * a useful one: crowds that connect, or ask once, and stay would take all the room.
     */
    private boolean awaitFirstByte() throws IOException, InterruptedException {
        if (consecutiveFaults > 0) {
            Thread.sleep(FAULT_PAUSE_MS << consecutiveFaults);
        }
        if (connection.buffer().hasRemaining()) {
            return true; // what has been read is taken, closing or not
        }
        long waitMs = idleMs();
        long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
        for (long leftMs = waitMs; leftMs > 0; leftMs = (endNanos - System.nanoTime()) / NANOS_PER_MS) {
            if ((closing() || closesWhenIdle) && !connection.pending()) {
                return false;
            }
            try {
                return connection.fill(Math.min(leftMs, pollMs()));
            } catch (SocketTimeoutException e) {
                // look again
            }
        }
        return false;
    }

    private long idleMs() {
        if (overLimit) {
            return OVER_LIMIT_READ_MS;
        }
        return useful ? times.clientIdleMs() : times.clientReadMs();
    }

    private long pollMs() {
        return context.state().serving().getAsBoolean() ? POLL_MS : DRAINING_POLL_MS;
    }

    /**
     * Whether bytes have come beyond the request. The protocol has one at a time, so either the client floods, or it means
     * another length than it stated: then neither part is what it seems. Empty lines are passed over, as some clients end
     * their bodies with one.
     */
    private boolean hasUnexpectedBytes() throws IOException {
        do {
            ByteBuffer buffer = connection.buffer();
            while (buffer.hasRemaining()) {
                byte next = buffer.get(buffer.position());
                if (next != '\r' && next != '\n') {
                    return true;
                }
                buffer.get();
            }
        } while (connection.pending() && connection.fill(POLL_MS));
        return false;
    }

    /**
     * Answers a readiness check; false where the request is none. A cached list that discovery has not confirmed counts as
     * ready, though requests are rejected by it until it is confirmed.
     */
    private boolean answerReadiness(HttpHead head, ClientResponse response) {
        if (!head.target().equals("/ready")) {
            return false;
        }
        if (!head.method().equals("GET")) {
            response.failed(405, "GET only");
        } else if (!context.state().serving().getAsBoolean() || !decisions.canServe()) {
            response.plain(503, "not ready");
        } else {
            String why = context.state().notReadyReason().get();
            response.plain(why == null ? 200 : 503, why == null ? "ready" : "not ready: " + why);
        }
        return true;
    }

    /** Admits the request, hands it to a thread of its own and watches the client until it has its response. */
    private void accept(ClientRequest request, ClientResponse response) throws IOException, InterruptedException {
        if (overLimit || !context.requestPermits().tryAcquire()) {
            response.accepted(request, context.hooks().listener());
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
            return;
        }
        String requestId = request.message.id();
        if (!context.recentIds().register(requestId)) { // the same request may not run twice
            context.requestPermits().release();
            rejectFaulty(response, 409, "this X-Txn was used before");
            return;
        }
        useful = true;
        consecutiveFaults = 0;
        if (requestWaited && connection.ended()) { // watching would see it too late
            response.drop();
            complete(requestId);
            return;
        }
        // A forwarded request's wait began at the dispatcher that has its client.
        response.accepted(
                request, request.isForwarded() ? null : context.hooks().listener());
        RequestExecution execution = new RequestExecution(context, request, response);
        try {
            context.requestThreads().execute(() -> {
                try {
                    execution.run();
                } finally {
                    complete(requestId);
                }
            });
        } catch (RejectedExecutionException | OutOfMemoryError e) { // no thread is to be had
            complete(requestId);
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
            return;
        }
        watchClient(request.inFlight, response);
    }

    private void complete(String requestId) {
        context.recentIds().complete(requestId);
        context.requestPermits().release();
    }

    /** Reads on while the request is in flight: an end here means that the client has left. */
    private void watchClient(InFlightRequest request, ClientResponse response)
            throws IOException, InterruptedException {
        while (!response.given()) {
            try {
                if (!connection.fill(pollMs())) {
                    clientLeft(request, response);
                    return;
                }
                if (hasUnexpectedBytes()) {
                    if (failFraming(response)) {
                        reportClientLeft(request);
                    }
                    response.awaitGiven(); // else it was on its way: this is the next request
                    return;
                }
            } catch (SocketTimeoutException e) {
                // look again
            } catch (IOException e) {
                clientLeft(request, response);
                return;
            }
        }
    }

    private void clientLeft(InFlightRequest request, ClientResponse response) {
        if (!response.given()) {
            response.drop();
            reportClientLeft(request);
        }
        connection.close();
    }

    private void reportClientLeft(InFlightRequest request) {
        if (context.hooks().sequencer() != null) {
            context.hooks().sequencer().clientLeft(request);
        }
        decisions.reportClientLeft(request);
    }

    /** Lets the response arrive before the connection closes: unread bytes would reset it. */
    private void linger() {
        long endNanos = System.nanoTime() + LINGER_MS * NANOS_PER_MS;
        try {
            for (long nowNanos = System.nanoTime(); nowNanos < endNanos; nowNanos = System.nanoTime()) {
                connection.buffer().position(connection.buffer().limit());
                if (!connection.fill((endNanos - nowNanos) / NANOS_PER_MS)) {
                    return;
                }
            }
        } catch (IOException e) {
            // gone or silent
        }
    }
}

package maplespread.caller;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import maplespread.config.Config;
import maplespread.facade.DecisionService;
import maplespread.facade.InFlightRequest;
import maplespread.http.BodyBuffer;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.OutOfBudgetException;
import org.tinylog.Logger;

/**
 * One client connection. Its own thread reads requests one after the other and keeps reading while a request is in
 * flight, to detect that the client has left; the request itself runs on another thread ({@link RequestExecution}). The
 * listener, the ticker and the shutdown may close the connection from their own threads.
 */
final class ClientConnection implements Runnable, EvictionPolicy.Candidate {
    private static final long NANOS_PER_MS = 1_000_000;
    /** Interval in milliseconds at which a waiting connection checks whether it should close. */
    private static final long POLL_MS = 1000;
    /** The same interval while the dispatcher drains or shuts down. */
    private static final long DRAINING_POLL_MS = 200;
    /** Time limit in milliseconds for the only request of a connection beyond the limit. */
    private static final long OVER_LIMIT_READ_MS = 200;
    /**
     * Retry-After, in milliseconds, of requests that are rejected without a policy decision because this dispatcher
     * lacks connections, request permits, threads or permits for large bodies. The metrics count no reason for such
     * rejections.
     */
    private static final double NO_CAPACITY_RETRY_AFTER_MS = 250;
    /** Number of consecutive unacceptable requests after which the connection is closed. */
    private static final int MAX_CONSECUTIVE_FAULTS = 4;
    /**
     * Half the delay, in milliseconds, after the first unacceptable request; the delay doubles with each consecutive
     * one.
     */
    private static final long FAULT_DELAY_MS = 25;

    /** Maximum length of the empty lines after a request that are skipped. */
    private static final int MAX_SKIPPED_BYTES = 64;
    /** Time in milliseconds from which on a request that is still being read is a slow one. */
    private static final long SLOW_READ_MS = 200;

    /** The connection's phase, for the threads that may close the connection. */
    private enum Phase {
        /** No byte of the next request has been read. */
        IDLE,
        /** A request has been read in part. */
        READING,
        /** A complete request is held. */
        IN_FLIGHT,
        /** The connection is evicted: a request read so far is rejected, and nothing more is read. */
        CLOSING
    }

    private final HttpConnection connection;
    private final ServingContext context;
    private final DecisionService decisions;
    private final Config.Times times;
    private final boolean overLimit;
    private final long connectedNanos = System.nanoTime();
    /** The time at which a request last began or ended, or the connection was accepted. */
    private volatile long lastActivityNanos = connectedNanos;
    /** Whether the connection has brought an acceptable request. */
    private volatile boolean validated;
    /** The response to the request held; null if no complete request is held. */
    private volatile ClientResponse current;
    /** Whether the connection's thread closes the connection between two requests. */
    private volatile boolean closesWhenIdle;
    /** The connection's phase. Guarded, together with {@link #current}, by this connection's monitor. */
    private Phase phase = Phase.IDLE;

    private boolean answeredBefore;
    /** The memory of the request being read; null if none was. Guarded by this connection's monitor. */
    private RequestMemory requestMemory;
    /** Whether the memory of the request being read has been taken back. Guarded by this connection's monitor. */
    private boolean memoryRevoked;
    /** Whether the request's thread releases the memory of the request. */
    private boolean memoryHandedOver;
    /** Whether bytes of the request had arrived before the connection waited for them. */
    private boolean arrivedEarly;

    private int consecutiveFaults;

    /**
     * Creates a connection that {@link #run} serves.
     *
     * @param overLimit whether the connection exceeds the limit, so that its only request is rejected
     */
    ClientConnection(HttpConnection connection, ServingContext context, boolean overLimit) {
        this.connection = connection;
        this.context = context;
        this.decisions = context.decisions();
        this.times = context.config().times();
        this.overLimit = overLimit;
    }

    // ------------------------------------------------------------ called by other threads

    @Override
    public boolean isValidated() {
        return validated;
    }

    /** Whether the connection has brought no acceptable request so far and holds no complete request. */
    boolean awaitsFirstRequest() {
        Phase currentPhase = phase();
        return !validated && (currentPhase == Phase.IDLE || currentPhase == Phase.READING);
    }

    boolean closing() {
        return phase() == Phase.CLOSING;
    }

    /** Returns the phase; IDLE once the response is written, even if the connection's thread still waits for bytes. */
    private synchronized Phase phase() {
        return phase == Phase.IN_FLIGHT && current.completed() ? Phase.IDLE : phase;
    }

    /** Enters a phase; false if the connection is closing. */
    private synchronized boolean enter(Phase next, ClientResponse response) {
        if (phase == Phase.CLOSING || memoryRevoked) {
            return false;
        }
        phase = next;
        current = response;
        return true;
    }

    @Override
    public long lastActivityNanos() {
        return lastActivityNanos;
    }

    /**
     * Whether the connection is either idle or reading a request but not validated, and has no unread bytes, or has
     * them while it has been reading for long: it waits for memory, or its client sends more than others do.
     */
    @Override
    public boolean isEvictable() {
        if (phase() != Phase.IDLE && !awaitsFirstRequest()) {
            return false;
        }
        boolean slow = System.nanoTime() - lastActivityNanos > SLOW_READ_MS * NANOS_PER_MS;
        return !connection.pending() || slow && phase() == Phase.READING;
    }

    /** Whether no part of a request has arrived, so that closing the connection loses none. */
    boolean isIdle() {
        return phase() == Phase.IDLE && !connection.pending();
    }

    /** Closes the connection if the client does not read its response. */
    void closeIfWriteStalled() {
        connection.closeIfWriteStalled(times.clientReadMs());
    }

    /**
     * Requests that the connection close when it next waits for a request and no byte of one has arrived. The
     * connection's own thread closes it, so a request that arrives at this moment, even in pieces, is read completely
     * and answered. Ending the reading from another thread would leave the rest of such a request unread.
     */
    void closeWhenIdle() {
        closesWhenIdle = true;
    }

    /**
     * Closes the connection at once to make room for another. Bytes that arrive at the same time stay unread, or their
     * request is rejected: once reading has ended, a client that leaves could not be detected.
     *
     * @return false if a request has arrived meanwhile
     */
    synchronized boolean closeNow() {
        Phase currentPhase = phase();
        if (currentPhase != Phase.IDLE && (validated || currentPhase != Phase.READING)) {
            return false;
        }
        phase = Phase.CLOSING;
        notifyAll();
        if (requestMemory != null) {
            requestMemory.cancel();
        }
        connection.endReading();
        return true;
    }

    /**
     * Ends the reading of a request whose memory others need; the request is rejected when its time is over.
     *
     * @return false if none is being read
     */
    private synchronized boolean revokeMemory() {
        if (phase != Phase.READING || memoryRevoked) {
            return false;
        }
        memoryRevoked = true;
        connection.endReading();
        return true;
    }

    private synchronized boolean memoryRevoked() {
        return memoryRevoked;
    }

    /**
     * Waits, without the request's memory, until the time for the request is over or the connection is evicted: a client
     * that is sent away at once would come back at once.
     */
    private synchronized void awaitEndOfReading(long completeByNanos) throws InterruptedException {
        while (phase != Phase.CLOSING) {
            long leftMs = (completeByNanos - System.nanoTime()) / NANOS_PER_MS;
            if (leftMs <= 0) {
                return;
            }
            wait(leftMs);
        }
    }

    /** Fails the current request: it may have run, and this process will not learn how it ends. */
    void fail() {
        ClientResponse response = current;
        if (response != null && !response.completed()) {
            response.failed(502, "the dispatcher ends");
        }
    }

    /** Rejects the next request without reading it, as no thread is available to read it. */
    void rejectUnread() {
        context.metrics().connectionRejectedUnread();
        new ClientResponse(connection, () -> true, context.metrics()).rejected(NO_CAPACITY_RETRY_AFTER_MS);
        connection.close();
    }

    // ------------------------------------------------------------ called by the connection's own thread

    @Override
    public void run() {
        try {
            boolean keepOpen = true;
            while (keepOpen) {
                keepOpen = handleNext();
            }
        } catch (IOException e) {
            // the client has left, and no response is due
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) { // one failing connection must not end the process
            Logger.error(e, "a client connection failed");
        } finally {
            connection.close();
        }
    }

    /** Reads one request and has it answered; returns whether the connection stays open. */
    private boolean handleNext() throws IOException, InterruptedException {
        BodyBuffer body = new BodyBuffer();
        HttpParser parser = HttpParser.request(ClientRequest.FIELD_NAMES, body);
        arrivedEarly = connection.buffer().hasRemaining();
        if (!awaitFirstByte()) {
            return false;
        }
        // The time limit of the first request starts when the client connects, not at the request's first byte.
        long beginNanos = answeredBefore ? System.nanoTime() : connectedNanos;
        long completeByNanos = beginNanos + readMs() * NANOS_PER_MS;
        ClientResponse response =
                new ClientResponse(connection, () -> !parser.done() || closesAfter(parser.head()), context.metrics());
        lastActivityNanos = System.nanoTime();
        if (!readAndAnswer(parser, body, completeByNanos, response)) {
            return false;
        }
        boolean keepOpen = enter(Phase.IDLE, null);
        if (response.closed()) {
            UnreadBytes.discard(connection);
            return false;
        }
        answeredBefore = true;
        lastActivityNanos = System.nanoTime();
        return keepOpen || connection.buffer().hasRemaining(); // a request that has been read is answered
    }

    /** Reads a request and answers it; false if the connection must close at once. */
    private boolean readAndAnswer(HttpParser parser, BodyBuffer body, long completeByNanos, ClientResponse response)
            throws IOException, InterruptedException {
        RequestMemory memory = openRequestMemory();
        memoryHandedOver = false;
        try {
            if (!enter(Phase.READING, null)) {
                response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
                return false;
            }
            memory.reserveHead(parser);
            connection.receiveHeadBy(parser, completeByNanos, () -> memory.reserveHead(parser));
            memory.reserveBody(parser);
            if (!parser.done() && parser.head().lists("Expect", "100-continue")) {
                connection.send(HttpWriter.response(100).bytes());
            }
            connection.receiveBy(parser, completeByNanos);
            if (!enter(Phase.IN_FLIGHT, response)) {
                response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
                return false;
            }
            byte[] wholeBody = body.take();
            memory.bodyRead(parser, wholeBody.length);
            answerComplete(parser.head(), wholeBody, response, memory);
        } catch (OutOfBudgetException e) {
            rejectOutOfBudget(parser, response);
        } catch (HttpException e) {
            // After malformed framing the connection cannot be used further; after an invalid value it can.
            rejectFaulty(response, e.status(), e.getMessage());
        } catch (SocketTimeoutException e) {
            response.plainText(408, "request not whole in time");
        } catch (EOFException e) {
            if (memoryRevoked()) {
                parser.discard();
                body.take();
                memory.release();
                awaitEndOfReading(completeByNanos);
            } else if (!closing()) {
                throw e; // the client has left
            }
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
        } finally {
            if (!memoryHandedOver) {
                memory.release();
            }
        }
        return true;
    }

    private synchronized RequestMemory openRequestMemory() {
        requestMemory = new RequestMemory(context.memory(), this::revokeMemory);
        return requestMemory;
    }

    /** Rejects a request that there is no memory for. What is unread of it stays unread, and the connection closes. */
    private void rejectOutOfBudget(HttpParser parser, ClientResponse response) {
        String requestClass = parser.headDone() ? parser.head().get("X-Lane") : null;
        if (requestClass != null && context.config().names().place(requestClass) >= 0) {
            response.accepted(requestClass);
        }
        response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
    }

    private void answerComplete(HttpHead head, byte[] body, ClientResponse response, RequestMemory memory)
            throws IOException, InterruptedException {
        long lastByteUs = decisions.nowUs();
        arrivedEarly |= connection.dataWasWaiting();
        if (hasUnexpectedBytes()) {
            failFraming(response);
        } else if (!answerReadiness(head, response)) {
            ClientRequest request = new ClientRequest(context, head, body, lastByteUs);
            if (context.hooks().sequencer() != null) {
                memory.reserveMore(request.labelBytes());
            }
            accept(request, response, memory);
        }
    }

    /** Answers a request that must not reach a worker. */
    private void rejectFaulty(ClientResponse response, int status, String message) {
        consecutiveFaults++;
        context.metrics().faultyRequest();
        response.failed(status, message);
    }

    /** Answers unexpected bytes with an error and closes the connection; false if the response was written before. */
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
     * Waits for a request's first byte. The wait is shorter for a connection that is not validated: many clients that
     * stay connected without sending an acceptable request would exhaust the connection limit.
     */
    private boolean awaitFirstByte() throws IOException, InterruptedException {
        if (consecutiveFaults > 0) {
            Thread.sleep(FAULT_DELAY_MS << consecutiveFaults);
        }
        if (connection.buffer().hasRemaining()) {
            return true; // bytes that have been read are handled even if the connection is closing
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
                // check again whether to close
            }
        }
        return false;
    }

    private long idleMs() {
        if (overLimit) {
            return OVER_LIMIT_READ_MS;
        }
        return validated ? times.clientIdleMs() : times.clientReadMs();
    }

    private long pollMs() {
        return context.state().serving().getAsBoolean() ? POLL_MS : DRAINING_POLL_MS;
    }

    /**
     * Whether bytes have arrived beyond the request. The protocol allows one request at a time, so either the client
     * floods the connection, or the body has another length than stated and neither part can be trusted. Empty lines
     * are skipped, as some clients end their bodies with one; without end they are a flood like others.
     */
    private boolean hasUnexpectedBytes() throws IOException {
        int skipped = 0;
        do {
            ByteBuffer buffer = connection.buffer();
            while (buffer.hasRemaining()) {
                byte next = buffer.get(buffer.position());
                if (next != '\r' && next != '\n' || ++skipped > MAX_SKIPPED_BYTES) {
                    return true;
                }
                buffer.get();
            }
        } while (connection.pending() && connection.fill(POLL_MS));
        return false;
    }

    /**
     * Answers a readiness check; false if the request is not one. The dispatcher counts as ready with a cached list
     * that discovery has not confirmed, though it rejects requests until the list is confirmed.
     */
    private boolean answerReadiness(HttpHead head, ClientResponse response) {
        if (!head.target().equals("/ready")) {
            return false;
        }
        if (!head.method().equals("GET")) {
            response.failed(405, "GET only");
        } else if (!context.state().serving().getAsBoolean() || !decisions.canServe()) {
            response.plainText(503, "not ready");
        } else {
            String reason = context.state().notReadyReason().get();
            response.plainText(reason == null ? 200 : 503, reason == null ? "ready" : "not ready: " + reason);
        }
        return true;
    }

    /** Admits the request, runs it on a request thread and watches the client until the response is written. */
    private void accept(ClientRequest request, ClientResponse response, RequestMemory memory)
            throws IOException, InterruptedException {
        if (overLimit || !context.requestPermits().tryAcquire()) {
            response.accepted(request, context.hooks().listener());
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
            return;
        }
        String requestId = request.message.id();
        RecentRequestIds.Registration registration = context.recentIds().register(requestId, request.mayRunTwice());
        if (registration != RecentRequestIds.Registration.REGISTERED) {
            context.requestPermits().release();
            rejectUnregistered(registration, request, response);
            return;
        }
        validated = true;
        consecutiveFaults = 0;
        if (arrivedEarly && connection.peerHasClosed()) { // the watch would detect too late that the client has left
            response.drop();
            complete(memory);
            return;
        }
        if (connection.buffer().hasRemaining() && hasUnexpectedBytes()) { // the client's close may be behind them
            failFraming(response);
            complete(memory);
            return;
        }
        // The dispatcher that holds the client's connection records a forwarded request's waiting time.
        response.accepted(
                request, request.isForwarded() ? null : context.hooks().listener());
        RequestExecution execution = new RequestExecution(context, request, response);
        memory.setRevocation(response::abandonStalledWrite);
        memoryHandedOver = true;
        try {
            context.requestThreads().execute(() -> {
                try {
                    execution.run();
                } finally {
                    complete(memory);
                }
            });
        } catch (RejectedExecutionException | OutOfMemoryError e) { // no thread is available
            complete(memory);
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
            return;
        }
        watchClient(request.inFlight, response);
    }

    /** Rejects a request whose id was used before, or may have been. */
    private void rejectUnregistered(
            RecentRequestIds.Registration registration, ClientRequest request, ClientResponse response) {
        if (registration == RecentRequestIds.Registration.USED) {
            rejectFaulty(response, 409, "this X-Txn was used before");
        } else {
            response.accepted(request, context.hooks().listener());
            response.rejected(NO_CAPACITY_RETRY_AFTER_MS);
        }
    }

    private void complete(RequestMemory memory) {
        memory.release();
        context.requestPermits().release();
    }

    /** Keeps reading while the request is in flight: the end of the stream means that the client has left. */
    private void watchClient(InFlightRequest request, ClientResponse response)
            throws IOException, InterruptedException {
        while (!response.completed()) {
            try {
                if (!connection.fill(pollMs())) {
                    clientLeft(request, response);
                    return;
                }
                if (hasUnexpectedBytes()) {
                    if (failFraming(response)) {
                        reportClientLeft(request);
                    }
                    response.awaitCompleted(); // if the response was being written, the bytes are the next request
                    return;
                }
            } catch (SocketTimeoutException e) {
                // check again for the response
            } catch (IOException e) {
                clientLeft(request, response);
                return;
            }
        }
    }

    private void clientLeft(InFlightRequest request, ClientResponse response) {
        if (!response.completed()) {
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
}

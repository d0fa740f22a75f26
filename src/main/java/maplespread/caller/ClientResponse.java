package maplespread.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import maplespread.facade.RequestListener;
import maplespread.http.HttpConnection;
import maplespread.http.HttpWriter;
import maplespread.metrics.Metrics;
import maplespread.metrics.Metrics.ResponseCode;

/**
 * The final response to a request. Any thread may write it: the first thread to claim it does, and all later calls are
 * without effect.
 */
final class ClientResponse {
    /** Duration in milliseconds of a write after which its memory may be taken back for others. */
    private static final long STALLED_WRITE_MS = 250;

    private final HttpConnection connection;
    private final BooleanSupplier closesConnection;
    private final Metrics metrics;
    private final AtomicBoolean claimed = new AtomicBoolean();
    private final CountDownLatch completion = new CountDownLatch(1);
    private volatile boolean connectionClosed;
    /** The class of the accepted request; null if no request was accepted. */
    private volatile String acceptedClass;

    /** The worker that the request was last sent to; null if it was sent to none. */
    private volatile String lastWorker;
    /** The listener to notify, once, of the request's completion, or null. */
    private volatile RequestListener listener;
    /** The handle that the listener returned for the request. */
    private volatile long listenerHandle;
    /** The time at which the request was accepted. Written before {@link #acceptedClass}, which publishes it. */
    private long acceptedNanos;

    /**
     * Creates the response to one request.
     *
     * @param closesConnection whether the connection closes after this response; evaluated when the response is written
     */
    ClientResponse(HttpConnection connection, BooleanSupplier closesConnection, Metrics metrics) {
        this.connection = connection;
        this.closesConnection = closesConnection;
        this.metrics = metrics;
    }

    /** Records that a request of this class has been accepted; its completion is counted once, with the response. */
    void accepted(String requestClass) {
        acceptedNanos = System.nanoTime();
        acceptedClass = requestClass;
        metrics.requestAccepted();
    }

    /**
     * Records that the request has been accepted.
     *
     * @param notified notified of the request and of its completion, or null
     */
    void accepted(ClientRequest request, RequestListener notified) {
        accepted(request.message.requestClass());
        listener = notified;
        listenerHandle = notified == null ? 0 : notified.requestAccepted(request.inFlight);
    }

    /** Records that the request is being sent to this worker. */
    void attempted(String worker) {
        lastWorker = worker;
    }

    private void notifyCompleted(RequestListener.Result result) {
        RequestListener notified = listener;
        listener = null; // notified once, even if closing the connection fails
        if (notified != null) {
            notified.requestCompleted(listenerHandle, result, lastWorker);
        }
    }

    /** Writes a 200 with the worker's result. */
    void served(byte[] result) {
        write(ResponseCode.SUCCESS, HttpWriter.response(200), result);
    }

    /**
     * Writes a 503, which states that a retry is safe.
     *
     * @param retryAfterMs the delay before the retry in milliseconds; 0 for none
     */
    void rejected(double retryAfterMs) {
        HttpWriter head = HttpWriter.response(503);
        if (retryAfterMs > 0) {
            head.field("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }
        write(ResponseCode.BUSY, head, line("busy"));
    }

    /** Writes an error with a message. */
    void failed(int status, String message) {
        HttpWriter head = HttpWriter.response(status);
        if (status == 405) {
            head.field("Allow", message.contains("POST") ? "POST" : "GET");
        }
        write(ResponseCode.FAILURE, head, line(message));
    }

    /** Writes a 502 for a request that may have run or may still run. */
    void inDoubt(String message) {
        HttpWriter head = HttpWriter.response(502).field(RequestSequencer.ORDER_REASON_HEADER, "in-doubt");
        write(ResponseCode.FAILURE, head, line(message));
    }

    /** Writes the response of another dispatcher or of the sequencer, unchanged. */
    void relayed(RequestSequencer.FinalResponse finalResponse) {
        HttpWriter head = HttpWriter.response(finalResponse.status());
        finalResponse.fields().forEach(field -> head.field(field[0], field[1]));
        write(codeOf(finalResponse.status()), head, finalResponse.body());
    }

    private static ResponseCode codeOf(int status) {
        return switch (status) {
            case 200 -> ResponseCode.SUCCESS;
            case 503 -> ResponseCode.BUSY;
            default -> ResponseCode.FAILURE;
        };
    }

    /** Writes a line of text with a status. */
    void plainText(int status, String text) {
        write(ResponseCode.FAILURE, HttpWriter.response(status), line(text));
    }

    /** Writes a 400 for malformed framing and closes the connection; false if a response was written before. */
    boolean framingBroken(String message) {
        return write(ResponseCode.FAILURE, HttpWriter.response(400), line(message), true);
    }

    /** Completes the request without a response, as the client has left. */
    void drop() {
        if (claimed.compareAndSet(false, true)) {
            metrics.clientLeft();
            notifyCompleted(RequestListener.Result.CLIENT_LEFT);
            complete();
        }
    }

    /** Closes the connection if the client has not read its response for a while; returns whether it was closed. */
    boolean abandonStalledWrite() {
        return connection.closeIfWriteStalled(STALLED_WRITE_MS);
    }

    /** Whether the response has been written or dropped. */
    boolean completed() {
        return completion.getCount() == 0;
    }

    /** Whether the connection closes after the response. */
    boolean closed() {
        return connectionClosed;
    }

    /** Blocks until the response has been written or dropped. */
    void awaitCompleted() throws InterruptedException {
        completion.await();
    }

    private void write(ResponseCode code, HttpWriter head, byte[] body) {
        write(code, head, body, false);
    }

    private boolean write(ResponseCode code, HttpWriter head, byte[] body, boolean forceClose) {
        if (!claimed.compareAndSet(false, true)) {
            return false;
        }
        boolean close = forceClose || closesConnection.getAsBoolean();
        connectionClosed = close;
        boolean written = false;
        try {
            connection.send((close ? head.field("Connection", "close") : head).body(body));
            if (acceptedClass != null) {
                metrics.responseWritten(acceptedClass, code, System.nanoTime() - acceptedNanos);
            }
            written = true;
            notifyCompleted(resultOf(code));
            if (close) {
                connection.endSending();
            }
        } catch (IOException e) { // the client has left
            notifyCompleted(RequestListener.Result.CLIENT_LEFT);
        } finally {
            if (!written) { // the client must not wait for the rest
                connection.close();
            }
            complete();
        }
        return true;
    }

    private static RequestListener.Result resultOf(ResponseCode code) {
        return switch (code) {
            case SUCCESS -> RequestListener.Result.SERVED;
            case BUSY -> RequestListener.Result.REJECTED;
            case FAILURE -> RequestListener.Result.FAILED;
        };
    }

    private void complete() {
        if (acceptedClass != null) {
            metrics.requestCompleted();
        }
        completion.countDown();
    }

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }
}

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
 * The one final response to a request. Any thread may give it: the first one to claim it writes it, and nobody after that.
 */
final class ClientResponse {
    private final HttpConnection connection;
    private final BooleanSupplier closesConnection;
    private final Metrics metrics;
    private final AtomicBoolean claimed = new AtomicBoolean();
    private final CountDownLatch completed = new CountDownLatch(1);
    private volatile boolean connectionClosed;
    /** The class of the accepted request; null: none was accepted. */
    private volatile String acceptedClass;

    private volatile String lastWorker;
    /** Notified of the request's completion, once; null: nobody is. */
    private volatile RequestListener listener;
    /** What the listener gave for the request. */
    private volatile long listenerHandle;
    /** Written before the class. */
    private long acceptedNanos;

    /** {@code closesConnection}: whether the connection ends with this response, asked when it is given. */
    ClientResponse(HttpConnection connection, BooleanSupplier closesConnection, Metrics metrics) {
        this.connection = connection;
        this.closesConnection = closesConnection;
        this.metrics = metrics;
    }

    /** A request of this class has been accepted: its end is counted, once, by whoever gives the response. */
    void accepted(String requestClass) {
        acceptedNanos = System.nanoTime();
        acceptedClass = requestClass;
        metrics.requestAccepted();
    }

    /** The same, and {@code notified} is told of it and of its completion; null: nobody is. */
    void accepted(ClientRequest request, RequestListener notified) {
        accepted(request.message.requestClass());
        listener = notified;
        listenerHandle = notified == null ? 0 : notified.requestAccepted(request.inFlight);
    }

    /** The request is sent to this worker now. */
    void attempted(String worker) {
        lastWorker = worker;
    }

    private void notifyCompleted(RequestListener.Result result) {
        RequestListener notified = listener;
        listener = null; // once, though ending the connection fails
        if (notified != null) {
            notified.requestCompleted(listenerHandle, result, lastWorker);
        }
    }

    /** 200 with the worker's result. */
    void served(byte[] result) {
        give(ResponseCode.SUCCESS, HttpWriter.response(200), result);
    }

    /** 503: a retry is safe, after {@code retryAfterMs} milliseconds where that is above 0. */
    void rejected(double retryAfterMs) {
        HttpWriter head = HttpWriter.response(503);
        if (retryAfterMs > 0) {
            head.field("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }
        give(ResponseCode.BUSY, head, line("busy"));
    }

    /** An error with its sentence. */
    void failed(int status, String why) {
        HttpWriter head = HttpWriter.response(status);
        if (status == 405) {
            head.field("Allow", why.contains("POST") ? "POST" : "GET");
        }
        give(ResponseCode.FAILURE, head, line(why));
    }

    /** 502: it may have run, and may yet run. */
    void inDoubt(String why) {
        HttpWriter head = HttpWriter.response(502).field(RequestSequencer.ORDER_REASON_HEADER, "in-doubt");
        give(ResponseCode.FAILURE, head, line(why));
    }

    /** The response of another dispatcher or of the sequencer, unchanged. */
    void relayed(RequestSequencer.FinalResponse finalResponse) {
        HttpWriter head = HttpWriter.response(finalResponse.status());
        finalResponse.fields().forEach(field -> head.field(field[0], field[1]));
        give(codeOf(finalResponse.status()), head, finalResponse.body());
    }

    private static ResponseCode codeOf(int status) {
        return switch (status) {
            case 200 -> ResponseCode.SUCCESS;
            case 503 -> ResponseCode.BUSY;
            default -> ResponseCode.FAILURE;
        };
    }

    /** A line of text under a status. */
    void plain(int status, String text) {
        give(ResponseCode.FAILURE, HttpWriter.response(status), line(text));
    }

    /** 400, as the client has broken the framing; the connection ends. False where a response came before. */
    boolean framingBroken(String why) {
        return give(ResponseCode.FAILURE, HttpWriter.response(400), line(why), true);
    }

    /** Ends the matter without a response: the client has left. */
    void drop() {
        if (claimed.compareAndSet(false, true)) {
            metrics.clientLeft();
            notifyCompleted(RequestListener.Result.CLIENT_LEFT);
            complete();
        }
    }

    /** Whether it has been written, or dropped. */
    boolean given() {
        return completed.getCount() == 0;
    }

    /** Whether the connection has ended with it. */
    boolean closed() {
        return connectionClosed;
    }

    /** Blocks until it has been written, or dropped. */
    void awaitGiven() throws InterruptedException {
        completed.await();
    }

    private void give(ResponseCode code, HttpWriter head, byte[] body) {
        give(code, head, body, false);
    }

    private boolean give(ResponseCode code, HttpWriter head, byte[] body, boolean forceClose) {
        if (!claimed.compareAndSet(false, true)) {
            return false;
        }
        boolean close = forceClose || closesConnection.getAsBoolean();
        connectionClosed = close;
        try {
            connection.send((close ? head.field("Connection", "close") : head).body(body));
            if (acceptedClass != null) {
                metrics.responseWritten(acceptedClass, code, System.nanoTime() - acceptedNanos);
            }
            notifyCompleted(resultOf(code));
            if (close) {
                connection.endSending();
            }
        } catch (IOException e) { // the client has gone
            notifyCompleted(RequestListener.Result.CLIENT_LEFT);
            connection.close();
        } finally {
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
        completed.countDown();
    }

    private static byte[] line(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }
}

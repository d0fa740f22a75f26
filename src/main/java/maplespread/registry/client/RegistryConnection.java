package maplespread.registry.client;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import maplespread.discovery.EndpointParser;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.LineSplitter;
import maplespread.registry.CallOutcome;
import maplespread.registry.RegistrySettings;
import maplespread.registry.wire.RegistryRequest;

/**
 * A connection to one registry server at a time, kept between calls. Used by one thread, but for {@link #close},
 * which any thread may call.
 */
final class RegistryConnection implements Closeable {
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final int MAX_ERROR_BYTES = 64 << 10;
    private static final int MAX_MESSAGE_CHARS = 200;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAUTHORIZED = 401;
    private static final int STATUS_FORBIDDEN = 403;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_TOO_LARGE = 413;
    /** A connection that was used within this time is taken to be alive. */
    private static final long TRUSTED_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A call has no answer of use; the message names the outcome, the status and the answer's beginning. */
    static final class CallFailedException extends Exception {
        private static final long serialVersionUID = 1;
        final CallOutcome outcome;
        /** 0 where no answer came. */
        final int status;

        final String body;

        CallFailedException(CallOutcome outcome, int status, String body) {
            super(message(outcome, status, body), null, false, false);
            this.outcome = outcome;
            this.status = status;
            this.body = body;
        }

        private static String message(CallOutcome outcome, int status, String body) {
            String shown = body.substring(0, Math.min(MAX_MESSAGE_CHARS, body.length()));
            return outcome + (status > 0 ? " " + status : "") + (body.isEmpty() ? "" : ": " + shown);
        }

        static CallFailedException ofStatus(int status, String body) {
            boolean denied = status == STATUS_UNAUTHORIZED || status == STATUS_FORBIDDEN;
            return new CallFailedException(denied ? CallOutcome.DENIED : CallOutcome.ERROR, status, body);
        }
    }

    /** A whole answer. */
    record Response(HttpHead head, String body) {
        /** A header field's number, or the default where there is none. */
        long number(String field, long defaultValue) {
            String text = head.get(field);
            try {
                return text == null ? defaultValue : Long.parseLong(text.strip());
            } catch (NumberFormatException e) {
                return defaultValue;
            }
        }
    }

    /** Takes a line of a stream; false ends the stream. */
    interface LineConsumer {
        boolean accept(String line);
    }

    private final RegistrySettings settings;
    private final TokenFile token;
    private volatile HttpConnection connection; // null while there is none
    private volatile boolean closed;
    private String connectedTo = "";
    private long usedAtNanos;

    RegistryConnection(RegistrySettings settings, TokenFile token) {
        this.settings = settings;
        this.token = token;
    }

    /**
     * Makes a call and waits until {@code dueAtMs} for the whole answer. Only status 200 is of use, and 404 where
     * {@code orNone}: then the body is empty.
     */
    Response call(String address, RegistryRequest request, long dueAtMs, boolean orNone) throws CallFailedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(1024);
        HttpParser parser = HttpParser.responseOrError(MAX_ANSWER_BYTES, body::write);
        try {
            send(address, request);
            connection.receiveBy(parser, TimeUnit.MILLISECONDS.toNanos(dueAtMs));
            usedAtNanos = System.nanoTime();
            keepOrClose(parser);
        } catch (IOException e) {
            throw failed(e);
        }
        String text = body.toString(StandardCharsets.UTF_8);
        int status = parser.head().status();
        if (status == STATUS_NOT_FOUND && orNone) {
            return new Response(parser.head(), "");
        }
        if (status != STATUS_OK) {
            throw CallFailedException.ofStatus(status, text);
        }
        requireJson(parser.head());
        return new Response(parser.head(), text);
    }

    /** What comes of a stream: whole lines, or the body of an error. */
    private static final class StreamBody implements HttpParser.Body {
        private final ByteArrayOutputStream error = new ByteArrayOutputStream();
        private final LineSplitter lines;
        private HttpParser parser;
        private boolean stopped;

        StreamBody(LineConsumer consumer) {
            lines = new LineSplitter(MAX_ANSWER_BYTES, line -> {
                if (!stopped && !line.isEmpty()) {
                    stopped = !consumer.accept(line);
                }
            });
        }

        @Override
        public void accept(byte[] from, int at, int length) throws HttpException {
            if (parser.head().status() == STATUS_OK) {
                lines.accept(from, at, length);
            } else if (error.size() < MAX_ERROR_BYTES) {
                error.write(from, at, length);
            }
        }
    }

    /**
     * Makes a call and hands on each line as it is whole, until the consumer or the server ends it, or {@code
     * endAtMs}, or the stream is silent: {@code silentAtMs} says when, asked anew after each line. Bytes that
     * make no whole line are silence. A line that is cut off by the connection's end is never handed on.
     */
    CallOutcome stream(
            String address, RegistryRequest request, LongSupplier silentAtMs, long endAtMs, LineConsumer consumer)
            throws CallFailedException {
        StreamBody body = new StreamBody(consumer);
        HttpParser parser = HttpParser.responseOrError(Long.MAX_VALUE, body);
        body.parser = parser;
        boolean typeChecked = false;
        try {
            send(address, request);
            while (!parser.feed(connection.buffer()) && !body.stopped) {
                if (!typeChecked && parser.headDone() && parser.head().status() == STATUS_OK) {
                    requireJson(parser.head());
                    typeChecked = true;
                }
                long nowMs = RegistryClient.nowMs();
                if (nowMs >= endAtMs) {
                    return CallOutcome.STOPPED;
                }
                receiveMore(nowMs, silentAtMs.getAsLong(), endAtMs);
            }
        } catch (IOException e) {
            throw failed(e);
        } finally {
            disconnect(); // a watch's connection has no other use
        }
        int status = parser.head().status();
        if (status != STATUS_OK && parser.headDone()) {
            throw CallFailedException.ofStatus(status, body.error.toString(StandardCharsets.UTF_8));
        }
        return body.stopped ? CallOutcome.STOPPED : CallOutcome.DONE;
    }

    private void receiveMore(long nowMs, long silentAtMs, long endAtMs) throws IOException {
        if (nowMs >= silentAtMs) {
            throw new SocketTimeoutException("the stream is silent");
        }
        boolean received;
        try {
            received = connection.fill(Math.min(endAtMs, silentAtMs) - nowMs);
        } catch (SocketTimeoutException due) {
            return; // the caller looks at the times again
        }
        if (!received) {
            throw new EOFException("the stream ended");
        }
    }

    private void send(String address, RegistryRequest request) throws IOException, CallFailedException {
        boolean reusable = connection != null && address.equals(connectedTo);
        if (reusable && System.nanoTime() - usedAtNanos > TRUSTED_IDLE_NANOS && connection.stale()) {
            // Reported as a break, not dialled again unnoticed: another history may answer at the address.
            throw new IOException("the connection had ended");
        }
        if (!reusable) {
            connect(address);
        }
        HttpWriter writer = HttpWriter.request(request.method(), request.target(), address);
        String secret = token.token();
        if (!secret.isEmpty()) {
            boolean etcd = settings.dialect() == RegistrySettings.Dialect.ETCD;
            writer.field(etcd ? "Authorization" : "X-Consul-Token", secret);
        }
        byte[] body = request.bytes();
        if (body.length > 0) {
            writer.field("Content-Type", "application/json");
        }
        connection.send(request.method().equals("GET") ? writer.bytes() : writer.body(body));
    }

    private void connect(String address) throws CallFailedException {
        disconnect();
        InetSocketAddress socketAddress = EndpointParser.parseAddress(address);
        try {
            connection = HttpConnection.dial(socketAddress, settings.dialMs());
        } catch (SocketTimeoutException e) {
            throw new CallFailedException(CallOutcome.SILENT, 0, "no connection in " + settings.dialMs() + " ms");
        } catch (IOException e) {
            throw new CallFailedException(CallOutcome.REFUSED, 0, String.valueOf(e.getMessage()));
        }
        connectedTo = address;
        if (closed) {
            disconnect();
            throw new CallFailedException(CallOutcome.STOPPED, 0, "ended");
        }
    }

    private static void requireJson(HttpHead head) throws CallFailedException {
        String type = head.get("Content-Type");
        if (type == null || !type.toLowerCase(Locale.ROOT).contains("json")) {
            throw new CallFailedException(CallOutcome.MALFORMED, 0, "an answer of type " + type);
        }
    }

    private void keepOrClose(HttpParser parser) {
        boolean reusable = parser.done()
                && parser.head().keepsAlive()
                && !connection.buffer().hasRemaining();
        if (!reusable) {
            disconnect();
        }
    }

    private CallFailedException failed(IOException cause) {
        disconnect();
        if (closed) {
            return new CallFailedException(CallOutcome.STOPPED, 0, "ended");
        }
        CallOutcome outcome;
        if (cause instanceof HttpException malformed) {
            outcome = malformed.status() == STATUS_TOO_LARGE ? CallOutcome.TOO_LARGE : CallOutcome.MALFORMED;
        } else {
            outcome = cause instanceof SocketTimeoutException ? CallOutcome.SILENT : CallOutcome.BROKEN;
        }
        return new CallFailedException(outcome, 0, String.valueOf(cause.getMessage()));
    }

    private void disconnect() {
        HttpConnection old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
    }

    /** Ends whatever call is out, from any thread; no other call succeeds after that. */
    @Override
    public void close() {
        closed = true;
        HttpConnection current = connection;
        if (current != null) {
            current.close();
        }
    }
}

package maplespread.registry.client;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
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

/** A connection to one endpoint at a time, kept between calls. For one thread, but for {@link #close}. */
final class RegistryConnection implements Closeable {
    /** A call that has no answer of use. */
    static final class CallFailedException extends Exception {
        private static final long serialVersionUID = 1;
        final CallOutcome how;
        final int status;
        final String body;

        CallFailedException(CallOutcome how, int status, String body) {
            super(
                    how
                            + (status > 0 ? " " + status : "")
                            + (body.isEmpty() ? "" : ": " + body.substring(0, Math.min(200, body.length()))),
                    null,
                    false,
                    false);
            this.how = how;
            this.status = status;
            this.body = body;
        }
    }

    /** A whole answer. */
    record Response(HttpHead head, String body) {
        long number(String field, long otherwise) {
            String text = head.get(field);
            try {
                return text == null ? otherwise : Long.parseLong(text.strip());
            } catch (NumberFormatException e) {
                return otherwise;
            }
        }
    }

    /** Takes a line of a stream; false ends it. */
    interface LineConsumer {
        boolean take(String line) throws CallFailedException;
    }

    private static final int MOST_ANSWER = 16 << 20;
    private static final int MOST_ERROR = 64 << 10;
    private static final long TRUSTED_NANOS = 500_000_000L;

    private final RegistrySettings settings;
    private final TokenFile token;
    private volatile HttpConnection link;
    private volatile boolean over;
    private String to = "";
    private long usedAt;

    RegistryConnection(RegistrySettings settings, TokenFile token) {
        this.settings = settings;
        this.token = token;
    }

    /** Asks and waits until then for the whole answer; only 200, and 404 where {@code orNone}, are of use. */
    Response call(String endpoint, RegistryRequest request, long byMs, boolean orNone) throws CallFailedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(1024);
        HttpParser parser = HttpParser.responseOrError(MOST_ANSWER, body::write);
        try {
            send(endpoint, request);
            link.receiveBy(parser, byMs * 1_000_000, false);
            usedAt = System.nanoTime();
            keepOrClose(parser);
        } catch (IOException e) {
            throw failed(e);
        }
        String text = body.toString(StandardCharsets.UTF_8);
        int status = parser.head().status();
        if (status != 200 && !(status == 404 && orNone)) {
            throw new CallFailedException(
                    status == 401 || status == 403 ? CallOutcome.DENIED : CallOutcome.ERROR, status, text);
        }
        if (status == 200) {
            checkType(parser.head());
        }
        return new Response(parser.head(), status == 404 ? "" : text);
    }

    /**
     * Asks and hands on each line as it is whole, until the taker or the peer ends it, or {@code byMs}, or it
     * is silent: {@code quietAt} says when, anew after each line. Bytes that make no whole line are silence.
     * A line that is cut off by the connection's end is never handed on.
     */
    CallOutcome stream(String endpoint, RegistryRequest request, LongSupplier quietAt, long byMs, LineConsumer taker)
            throws CallFailedException {
        ByteArrayOutputStream error = new ByteArrayOutputStream();
        CallFailedException[] inside = new CallFailedException[1];
        boolean[] stopped = new boolean[1];
        LineSplitter lines = new LineSplitter(MOST_ANSWER, line -> {
            try {
                if (!stopped[0] && !line.isEmpty()) {
                    stopped[0] = !taker.take(line);
                }
            } catch (CallFailedException e) {
                inside[0] = e;
                stopped[0] = true;
            }
        });
        HttpParser[] box = new HttpParser[1];
        HttpParser parser = HttpParser.responseOrError(Long.MAX_VALUE, (from, at, length) -> {
            if (box[0].head().status() == 200) {
                lines.accept(from, at, length);
            } else if (error.size() < MOST_ERROR) {
                error.write(from, at, length);
            }
        });
        box[0] = parser;
        boolean typed = false;
        try {
            send(endpoint, request);
            while (!parser.feed(link.buffer()) && !stopped[0]) {
                if (!typed && parser.headDone() && parser.head().status() == 200) {
                    checkType(parser.head());
                    typed = true;
                }
                long now = RegistryClient.nowMs(), quiet = quietAt.getAsLong();
                if (now >= byMs) {
                    return CallOutcome.STOPPED;
                }
                if (now >= quiet) {
                    throw new SocketTimeoutException("the stream is silent");
                }
                try {
                    if (!link.fill(Math.min(byMs, quiet) - now)) {
                        throw new EOFException("the stream ended");
                    }
                } catch (SocketTimeoutException due) {
                    // looked at above
                }
            }
        } catch (IOException e) {
            throw failed(e);
        } finally {
            drop(); // a watch's connection has no other use
        }
        if (inside[0] != null) {
            throw inside[0];
        }
        int status = parser.head().status();
        if (status != 200 && parser.headDone()) {
            throw new CallFailedException(
                    status == 401 || status == 403 ? CallOutcome.DENIED : CallOutcome.ERROR,
                    status,
                    error.toString(StandardCharsets.UTF_8));
        }
        return stopped[0] ? CallOutcome.STOPPED : CallOutcome.DONE;
    }

    private void send(String endpoint, RegistryRequest request) throws IOException, CallFailedException {
        boolean kept = link != null && endpoint.equals(to);
        if (kept && System.nanoTime() - usedAt > TRUSTED_NANOS && link.stale()) {
            // Told as a break, not dialled anew in silence: another history may answer at the address.
            throw new IOException("the connection had ended");
        }
        if (!kept) {
            drop();
            InetSocketAddress address = EndpointParser.parseAddress(endpoint);
            try {
                link = HttpConnection.dial(address, settings.dialMs());
            } catch (SocketTimeoutException e) {
                throw new CallFailedException(CallOutcome.SILENT, 0, "no connection in " + settings.dialMs() + " ms");
            } catch (IOException e) {
                throw new CallFailedException(CallOutcome.REFUSED, 0, String.valueOf(e.getMessage()));
            }
            to = endpoint;
            if (over) {
                drop();
                throw new CallFailedException(CallOutcome.STOPPED, 0, "ended");
            }
        }
        HttpWriter writer = HttpWriter.request(request.method(), request.target(), endpoint);
        String secret = token.token();
        if (!secret.isEmpty()) {
            boolean etcd = settings.dialect() == RegistrySettings.Dialect.ETCD;
            writer.field(etcd ? "Authorization" : "X-Consul-Token", secret);
        }
        byte[] body = request.bytes();
        if (body.length > 0) {
            writer.field("Content-Type", "application/json");
        }
        link.send(request.method().equals("GET") ? writer.bytes() : writer.body(body));
    }

    private static void checkType(HttpHead head) throws CallFailedException {
        String type = head.get("Content-Type");
        if (type == null || !type.toLowerCase(java.util.Locale.ROOT).contains("json")) {
            throw new CallFailedException(CallOutcome.MALFORMED, 0, "an answer of type " + type);
        }
    }

    private void keepOrClose(HttpParser parser) {
        if (!parser.done() || !parser.head().keepsAlive() || link.buffer().hasRemaining()) {
            drop();
        }
    }

    private CallFailedException failed(IOException e) {
        drop();
        if (over) {
            return new CallFailedException(CallOutcome.STOPPED, 0, "ended");
        }
        String why = String.valueOf(e.getMessage());
        if (e instanceof HttpException bad) {
            return new CallFailedException(bad.status() == 413 ? CallOutcome.TOO_LARGE : CallOutcome.MALFORMED, 0, why);
        }
        return new CallFailedException(
                e instanceof SocketTimeoutException ? CallOutcome.SILENT : CallOutcome.BROKEN, 0, why);
    }

    private void drop() {
        HttpConnection old = link;
        link = null;
        if (old != null) {
            old.close();
        }
    }

    /** Ends whatever call is out, from any thread; no other call succeeds after that. */
    @Override
    public void close() {
        over = true;
        HttpConnection now = link;
        if (now != null) {
            now.close();
        }
    }
}

package maplespread.worker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/**
 * Forwards a request to another dispatcher, as a client would, once and without retries. Blocks its caller's thread;
 * any thread may cancel.
 */
public final class PeerForwarder {
    private static final long MAX_RESPONSE_BYTES = 1 << 20;
    private static final long NANOS_PER_MS = 1_000_000;

    /** How the forwarding ended. */
    public enum Status {
        /** The peer responded. */
        ANSWERED,
        /** No complete request has reached the peer: the request never ran, and a retry is safe. */
        NOT_SENT,
        /** The request may have run. */
        LOST
    }

    /** The result of forwarding a request; it holds a response only if the peer responded. */
    public record Result(Status status, int httpStatus, List<String[]> fields, byte[] body) {
        private static Result unanswered(Status status) {
            return new Result(status, 0, List.of(), new byte[0]);
        }
    }

    /** A connection that a request is being forwarded on, until the request's deadline on System.nanoTime. */
    private record Forwarding(ConnectionPool.PooledConnection connection, long endNanos) {
        void closeIfWriteStalled() {
            if (System.nanoTime() - endNanos > 0) {
                connection.connection.closeIfWriteStalled(0);
            }
        }
    }

    private final ConnectionPool pool;
    private final Map<Object, Forwarding> running = new ConcurrentHashMap<>();

    /** Creates a forwarder that uses the pool's connections. */
    public PeerForwarder(ConnectionPool pool) {
        this.pool = pool;
    }

    /**
     * Cancels the forwarding of a request whose client has left; the peer detects that its own client has left. While the
     * connection is being established, {@code abandoned} of {@link #run} tells of it instead.
     */
    public void cancel(Object handle) {
        Forwarding forwarding = running.get(handle);
        if (forwarding != null) {
            forwarding.connection.connection.close();
        }
    }

    /** Closes the connections of requests past their deadlines that are still writing: writes have no time limit. */
    public void sweep() {
        running.values().forEach(Forwarding::closeIfWriteStalled);
    }

    /**
     * Forwards a request and blocks for at most {@code limitMs} milliseconds.
     *
     * @param handle identifies the request for {@link #cancel}
     * @param abandoned whether the request was cancelled; asked just before its first byte is sent
     */
    public Result run(
            Object handle, String address, HttpWriter request, byte[] body, long limitMs, BooleanSupplier abandoned) {
        long endNanos = System.nanoTime() + limitMs * NANOS_PER_MS;
        ConnectionPool.PooledConnection connection;
        try {
            connection = pool.acquire(address, Math.max(1, limitMs), ConnectionReuse.IF_RELIABLE);
        } catch (IOException | IllegalArgumentException e) {
            return Result.unanswered(Status.NOT_SENT);
        }
        running.put(handle, new Forwarding(connection, endNanos));
        boolean reusable = false;
        try {
            if (abandoned.getAsBoolean()) {
                reusable = true;
                return Result.unanswered(Status.NOT_SENT);
            }
            try {
                connection.connection.send(request.body(body));
            } catch (IOException e) { // the last byte was not written
                pool.recordUse(connection, true);
                return Result.unanswered(Status.NOT_SENT);
            }
            ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.responseOrError(MAX_RESPONSE_BYTES, responseBody::write);
            try {
                connection.connection.receiveBy(parser, endNanos);
            } catch (IOException e) {
                pool.recordUse(connection, !parser.headDone());
                return Result.unanswered(Status.LOST);
            }
            pool.recordUse(connection, false);
            reusable = parser.head().keepsAlive()
                    && !connection.connection.buffer().hasRemaining();
            return new Result(
                    Status.ANSWERED, parser.head().status(), parser.head().fields(), responseBody.toByteArray());
        } finally {
            running.remove(handle);
            if (reusable) {
                pool.release(connection);
            } else {
                pool.close(connection);
            }
        }
    }
}

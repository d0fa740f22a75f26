package maplespread.worker;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.MemoryBudget;

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

    /**
     * The result of forwarding a request; it holds a response only if the peer responded.
     *
     * @param memory the memory of the response, to be released once it has been written
     */
    public record Result(
            Status status, int httpStatus, List<String[]> fields, byte[] body, MemoryBudget.Reservation memory) {}

    /** A connection that a request is being forwarded on, until the request's deadline on System.nanoTime. */
    private record Forwarding(ConnectionPool.PooledConnection connection, long endNanos) {
        void closeIfWriteStalled() {
            if (System.nanoTime() - endNanos > 0) {
                connection.connection.closeIfWriteStalled(0);
            }
        }
    }

    /** A result, and whether its connection may be used again. */
    private record Received(Result result, boolean reusable) {}

    private final ConnectionPool pool;
    private final MemoryBudget memory;
    private final Map<Object, Forwarding> running = new ConcurrentHashMap<>();

    /** Creates a forwarder that uses the pool's connections, and reserves the memory of responses in the budget. */
    public PeerForwarder(ConnectionPool pool, MemoryBudget memory) {
        this.pool = pool;
        this.memory = memory;
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
            return unanswered(Status.NOT_SENT);
        }
        running.put(handle, new Forwarding(connection, endNanos));
        boolean reusable = false;
        try {
            if (abandoned.getAsBoolean()) {
                reusable = true;
                return unanswered(Status.NOT_SENT);
            }
            try {
                connection.connection.send(request.body(body));
            } catch (IOException e) { // the last byte was not written
                pool.recordUse(connection, true);
                return unanswered(Status.NOT_SENT);
            }
            Received received = receive(connection, endNanos);
            reusable = received.reusable();
            return received.result();
        } finally {
            running.remove(handle);
            if (reusable) {
                pool.release(connection);
            } else {
                pool.close(connection);
            }
        }
    }

    private Received receive(ConnectionPool.PooledConnection connection, long endNanos) {
        MemoryBudget.Reservation reservation = memory.open(MemoryBudget.Use.RESPONSE, () -> {
            connection.connection.close();
            return true;
        });
        PeerResponseBody responseBody = new PeerResponseBody(reservation, MAX_RESPONSE_BYTES, endNanos);
        HttpParser parser = HttpParser.responseOrError(MAX_RESPONSE_BYTES, responseBody);
        responseBody.deliveredBy(parser);
        try {
            connection.connection.receiveBy(parser, endNanos);
        } catch (IOException e) {
            reservation.release();
            pool.recordUse(connection, !parser.headDone());
            return new Received(unanswered(Status.LOST), false);
        }
        reservation.setRevocation(MemoryBudget.NEVER);
        pool.recordUse(connection, false);
        HttpHead head = parser.head();
        boolean reusable = head.keepsAlive() && !connection.connection.buffer().hasRemaining();
        byte[] body = responseBody.toByteArray();
        return new Received(new Result(Status.ANSWERED, head.status(), head.fields(), body, reservation), reusable);
    }

    private Result unanswered(Status status) {
        MemoryBudget.Reservation none = memory.open(MemoryBudget.Use.RESPONSE, MemoryBudget.NEVER);
        return new Result(status, 0, List.of(), new byte[0], none);
    }
}

package maplespread.worker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/** Takes a request to another dispatcher as a client would: sent once, and never again by itself. */
public final class PeerForwarder {
    private static final long MAX_RESPONSE_BYTES = 1 << 20;

    /** NOT_SENT: no whole request has reached it, so it cannot have run; LOST: it may have run. */
    public enum Status {
        ANSWERED,
        NOT_SENT,
        LOST
    }

    /** What came of it; the answer's parts only where it was answered. */
    public record Result(Status status, int httpStatus, List<String[]> fields, byte[] body) {}

    private final ConnectionPool links;
    private final Map<Object, ConnectionPool.PooledConnection> running = new ConcurrentHashMap<>();

    public PeerForwarder(ConnectionPool links) {
        this.links = links;
    }

    /** Nobody waits for the answer any more: the other one sees its client leave. */
    public void cancel(Object job) {
        ConnectionPool.PooledConnection link = running.get(job);
        if (link != null) {
            link.connection.close();
        }
    }

    /** Blocks for so long at most; {@code job}: by which it can be cancelled. */
    public Result run(Object job, String address, HttpWriter request, byte[] body, long limitMs) {
        long end = System.nanoTime() + limitMs * 1_000_000;
        ConnectionPool.PooledConnection link;
        try {
            link = links.acquire(address, Math.max(1, limitMs), true);
        } catch (IOException | IllegalArgumentException e) {
            return ended(Status.NOT_SENT);
        }
        running.put(job, link);
        boolean whole = false;
        try {
            try {
                link.connection.send(request.body(body));
            } catch (IOException e) { // its last byte was never written
                links.recordUse(link, true);
                return ended(Status.NOT_SENT);
            }
            ByteArrayOutputStream said = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.responseOrError(MAX_RESPONSE_BYTES, said::write);
            try {
                link.connection.receiveBy(parser, end, false);
            } catch (IOException e) {
                links.recordUse(link, !parser.headDone());
                return ended(Status.LOST);
            }
            links.recordUse(link, false);
            whole = parser.head().keepsAlive() && !link.connection.buffer().hasRemaining();
            return new Result(
                    Status.ANSWERED, parser.head().status(), parser.head().fields(), said.toByteArray());
        } finally {
            running.remove(job);
            if (whole) {
                links.release(link);
            } else {
                links.close(link);
            }
        }
    }

    private static Result ended(Status how) {
        return new Result(how, 0, List.of(), new byte[0]);
    }
}

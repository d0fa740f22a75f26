package maplespread.worker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/** Takes a request to another dispatcher as a client would: sent once, and never again by itself. */
public final class Relay {
    private static final long MOST_BYTES = 1 << 20;

    /** NOT_SENT: no whole request has reached it, so it cannot have run; LOST: it may have run. */
    public enum End {
        ANSWERED,
        NOT_SENT,
        LOST
    }

    /** What came of it; the answer's parts only where it was answered. */
    public record Ended(End end, int status, List<String[]> fields, byte[] body) {}

    private final Links links;
    private final Map<Object, Links.Link> running = new ConcurrentHashMap<>();

    public Relay(Links links) {
        this.links = links;
    }

    /** Nobody waits for the answer any more: the other one sees its client leave. */
    public void cancel(Object job) {
        Links.Link link = running.get(job);
        if (link != null) {
            link.connection.close();
        }
    }

    /** Blocks for so long at most; {@code job}: by which it can be cancelled. */
    public Ended run(Object job, String address, HttpWriter request, byte[] body, long limitMs) {
        long end = System.nanoTime() + limitMs * 1_000_000;
        Links.Link link;
        try {
            link = links.get(address, Math.max(1, limitMs), true);
        } catch (IOException | IllegalArgumentException e) {
            return ended(End.NOT_SENT);
        }
        running.put(job, link);
        boolean whole = false;
        try {
            try {
                link.connection.send(request.body(body));
            } catch (IOException e) { // its last byte was never written
                links.used(link, true);
                return ended(End.NOT_SENT);
            }
            ByteArrayOutputStream said = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.responseOrError(MOST_BYTES, said::write);
            try {
                link.connection.receiveBy(parser, end, false);
            } catch (IOException e) {
                links.used(link, !parser.headDone());
                return ended(End.LOST);
            }
            links.used(link, false);
            whole = parser.head().keepsAlive() && !link.connection.buffer().hasRemaining();
            return new Ended(End.ANSWERED, parser.head().status(), parser.head().fields(), said.toByteArray());
        } finally {
            running.remove(job);
            if (whole) {
                links.release(link);
            } else {
                links.close(link);
            }
        }
    }

    private static Ended ended(End how) {
        return new Ended(how, 0, List.of(), new byte[0]);
    }
}

package maplespread.admin;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.RateLimitedLogger;
import org.tinylog.Logger;

/**
 * The operators' listener: one call a connection. Each has a thread, so that nobody waits for another's half
 * a call; there are a few places, and for one more the connection that came first ends, which has had the
 * most time.
 */
public final class AdminServer implements Closeable, Runnable {
    private static final long STACK = 144 * 1024;
    private static final long CALL_MS = 5_000; // for a whole call, from connecting on
    private static final long LAST_MS = 200; // for its sender to close first
    private static final int MOST_BODY = 16 * 1024;
    private final ServerSocket socket = new ServerSocket();
    private final AdminRoutes calls;
    private final int places;
    private final RateLimitedLogger seldom = new RateLimitedLogger();
    private final ArrayDeque<HttpConnection> open = new ArrayDeque<>(); // the oldest first

    /** {@code places}: connections at once. */
    public AdminServer(InetSocketAddress at, int places, AdminRoutes calls) throws IOException {
        this.places = places;
        this.calls = calls;
        socket.setReuseAddress(true);
        try {
            socket.bind(at);
        } catch (IOException e) {
            socket.close();
            throw new IOException("console " + at + ": " + e.getMessage(), e);
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Begins; returns at once. */
    public void start() {
        thread("console", this).start();
        Logger.info("console on {}", socket.getLocalSocketAddress());
    }

    private static Thread thread(String name, Runnable work) {
        Thread t = new Thread(null, work, name, STACK);
        t.setDaemon(true);
        return t;
    }

    @Override
    public void run() {
        while (!socket.isClosed()) {
            try {
                Socket next = socket.accept();
                HttpConnection link = new HttpConnection(next);
                admit(link);
                try {
                    thread("console call", () -> serve(link)).start();
                } catch (OutOfMemoryError e) { // no thread is to be had
                    end(link);
                    seldom.warn("a console call found no thread");
                }
            } catch (IOException | RuntimeException e) {
                if (!socket.isClosed()) {
                    seldom.warn("console: " + e.getMessage()); // out of descriptors, say: it must go on
                    pause();
                }
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void admit(HttpConnection link) {
        HttpConnection oldest = null;
        synchronized (open) {
            if (open.size() >= places) {
                oldest = open.pollFirst();
            }
            open.addLast(link);
        }
        if (oldest != null) {
            oldest.close();
        }
    }

    private void end(HttpConnection link) {
        link.close();
        synchronized (open) {
            open.remove(link);
        }
    }

    private void serve(HttpConnection link) {
        try {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.request(MOST_BODY, body::write);
            AdminRoutes.AdminResponse reply;
            try {
                link.receive(parser, CALL_MS);
                reply = calls.answer(
                        parser.head().method(), parser.head().target(), body.toString(StandardCharsets.UTF_8));
            } catch (HttpException bad) {
                reply = new AdminRoutes.AdminResponse(bad.status(), bad.getMessage(), null);
            } catch (SocketTimeoutException slow) {
                reply = new AdminRoutes.AdminResponse(408, "call not whole in time", null);
            }
            HttpWriter head = HttpWriter.response(reply.status())
                    .field("Content-Type", "text/plain")
                    .field("Connection", "close");
            if (reply.allow() != null) {
                head.field("Allow", reply.allow());
            }
            link.send(head.body((reply.text().strip() + '\n').getBytes(StandardCharsets.UTF_8)));
            link.endSending();
            link.buffer().position(link.buffer().limit());
            while (link.fill(LAST_MS)) { // unread bytes would reset the answer
                link.buffer().position(link.buffer().limit());
            }
        } catch (IOException gone) {
            // the caller has left, or does not close
        } catch (RuntimeException | Error e) { // guards the process from any one call
            Logger.error(e, "a console call failed");
        } finally {
            end(link);
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            Logger.warn("closing the console failed: {}", e.getMessage());
        }
    }
}

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
 * The operators' listener: one call a connection, each on a thread of its own, so that nobody waits for another's half a
 * call. Connections are few; for one more the connection that came first ends, which has had the most time.
 */
public final class AdminServer implements Closeable, Runnable {
    private static final long THREAD_STACK_BYTES = 144 * 1024;
    /** For a whole call, from connecting on. */
    private static final long CALL_MS = 5_000;
    /** For the caller to close first. */
    private static final long CLOSE_WAIT_MS = 200;

    private static final int ACCEPT_FAULT_PAUSE_MS = 20;
    private static final int MAX_BODY_BYTES = 16 * 1024;

    private final ServerSocket socket = new ServerSocket();
    private final AdminRoutes routes;
    private final int maxConnections;
    private final RateLimitedLogger faultLog = new RateLimitedLogger();
    /** The open connections, the oldest first; its own guard. */
    private final ArrayDeque<HttpConnection> open = new ArrayDeque<>();

    /** Binds the address; an IOException names it where that fails. {@code maxConnections}: at once. */
    public AdminServer(InetSocketAddress address, int maxConnections, AdminRoutes routes) throws IOException {
        this.maxConnections = maxConnections;
        this.routes = routes;
        socket.setReuseAddress(true);
        try {
            socket.bind(address);
        } catch (IOException e) {
            socket.close();
            throw new IOException("console " + address + ": " + e.getMessage(), e);
        }
    }

    /** The address that it is bound to. */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Begins to accept; returns at once. */
    public void start() {
        thread("console", this).start();
        Logger.info("console on {}", socket.getLocalSocketAddress());
    }

    private static Thread thread(String name, Runnable work) {
        Thread created = new Thread(null, work, name, THREAD_STACK_BYTES);
        created.setDaemon(true);
        return created;
    }

    @Override
    public void run() {
        while (!socket.isClosed()) {
            try {
                Socket next = socket.accept();
                HttpConnection connection = new HttpConnection(next);
                admit(connection);
                try {
                    thread("console call", () -> serve(connection)).start();
                } catch (OutOfMemoryError e) { // no thread is to be had
                    end(connection);
                    faultLog.warn("a console call found no thread");
                }
            } catch (IOException | RuntimeException e) {
                if (!socket.isClosed()) {
                    faultLog.warn("console: " + e.getMessage()); // out of descriptors, say: it must go on
                    pause();
                }
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(ACCEPT_FAULT_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void admit(HttpConnection connection) {
        HttpConnection oldest = null;
        synchronized (open) {
            if (open.size() >= maxConnections) {
                oldest = open.pollFirst();
            }
            open.addLast(connection);
        }
        if (oldest != null) {
            oldest.close();
        }
    }

    private void end(HttpConnection connection) {
        connection.close();
        synchronized (open) {
            open.remove(connection);
        }
    }

    private void serve(HttpConnection connection) {
        try {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.request(MAX_BODY_BYTES, body::write);
            AdminRoutes.AdminResponse response;
            try {
                connection.receive(parser, CALL_MS);
                response = routes.answer(
                        parser.head().method(), parser.head().target(), body.toString(StandardCharsets.UTF_8));
            } catch (HttpException e) {
                response = new AdminRoutes.AdminResponse(e.status(), e.getMessage(), null);
            } catch (SocketTimeoutException e) {
                response = new AdminRoutes.AdminResponse(408, "call not whole in time", null);
            }
            HttpWriter head = HttpWriter.response(response.status())
                    .field("Content-Type", "text/plain")
                    .field("Connection", "close");
            if (response.allow() != null) {
                head.field("Allow", response.allow());
            }
            connection.send(head.body((response.text().strip() + '\n').getBytes(StandardCharsets.UTF_8)));
            connection.endSending();
            connection.buffer().position(connection.buffer().limit());
            while (connection.fill(CLOSE_WAIT_MS)) { // unread bytes would reset the answer
                connection.buffer().position(connection.buffer().limit());
            }
        } catch (IOException e) {
            // the caller has left, or does not close
        } catch (RuntimeException | Error e) { // one failing call must not end the process
            Logger.error(e, "a console call failed");
        } finally {
            end(connection);
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

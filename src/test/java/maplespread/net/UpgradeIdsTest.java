package maplespread.net;

import static maplespread.net.Loopback.job;
import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplespread.Program;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A real process replaces another one, and requests with the same id reach both. A request that must not run twice is
 * run once, whichever process it reaches first, and whatever becomes of the other process.
 */
class UpgradeIdsTest {
    private static final int PLENTY_MS = 4000;

    private final List<Closeable> opened = new ArrayList<>();
    private final CountDownLatch finish = new CountDownLatch(1);
    private Peer worker;
    private Peer discovery;
    private int port;
    private Path config;

    @TempDir
    Path dir;

    /** One process of the dispatcher, with an admin address of its own to tell it from the others. */
    private final class Dispatcher implements Closeable {
        final Process process;
        final int adminPort;

        Dispatcher(String name) throws Exception {
            adminPort = freePort();
            Map<String, String> env = new HashMap<>();
            env.put("BALANCER_CONFIG", config.toString());
            env.put("BALANCER_CONSOLE", "127.0.0.1:" + adminPort);
            env.put("TMPDIR", dir.resolve("tmp").toString());
            process = Program.start("serve", env, dir.resolve(name));
            opened.add(this);
        }

        boolean isHealthy() {
            try (HttpConnection connection = dial(adminPort)) {
                connection.send("GET /admin/health HTTP/1.1\r\nHost: c\r\n\r\n".getBytes());
                return status(connection) == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String name) throws Exception {
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                            .start()
                            .waitFor());
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    @BeforeEach
    void open() throws Exception {
        worker = new Peer(call -> {
            call.open();
            call.state("started", "");
            try {
                assertTrue(finish.await(Loopback.LIMIT_MS, TimeUnit.MILLISECONDS));
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            call.state("done", ",\"result\":\"r\"");
            call.raw("0\r\n\r\n");
        });
        discovery = new Peer(call -> {
            call.open();
            call.line(Loopback.list(1, true, "SERVING", worker));
        });
        opened.add(worker);
        opened.add(discovery);
        port = freePort();
        Files.createDirectory(dir.resolve("tmp"));
        config = Files.writeString(
                dir.resolve("config.json"),
                Loopback.config(discovery.address(), worker).replace("127.0.0.1:0", "127.0.0.1:" + port));
    }

    @AfterEach
    void close() throws IOException {
        finish.countDown();
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static HttpConnection dial(int port) throws IOException {
        return HttpConnection.dial(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Loopback.LIMIT_MS);
    }

    private static int status(HttpConnection connection) throws IOException {
        HttpParser parser = HttpParser.response(1 << 20, (bytes, at, length) -> {});
        connection.receive(parser, Loopback.LIMIT_MS);
        return parser.head().status();
    }

    private HttpConnection connect() throws IOException {
        HttpConnection connection = dial(port);
        opened.add(connection);
        return connection;
    }

    private HttpConnection send(HttpConnection connection, String text) throws IOException {
        connection.send(text.getBytes());
        return connection;
    }

    private Dispatcher start(String name) throws Exception {
        Dispatcher dispatcher = new Dispatcher(name);
        until(name + " serves", dispatcher::isHealthy);
        return dispatcher;
    }

    /** Ends the old process, and waits until the new one alone accepts connections. */
    private void letNewAccept(Dispatcher old) throws Exception {
        old.signal("TERM");
        until("one listener is left", () -> Loopback.connections(port, Loopback.LISTEN) == 1);
    }

    /** Guards a copy at the new process while, and after, the old one has the checkout, also if its client has left. */
    @Test
    void anIdOfTheOldProcessIsKnownToTheNewOne() throws Exception {
        Dispatcher old = start("old");
        HttpConnection first = send(connect(), job("order", "open", PLENTY_MS));
        assertEquals("open", worker.next().id());
        HttpConnection leaves = send(connect(), job("order", "left", PLENTY_MS));
        assertEquals("left", worker.next().id());
        leaves.close();
        HttpConnection ends = send(connect(), job("order", "ended", PLENTY_MS));
        Call ended = worker.next();
        ended.state("done", ",\"result\":\"r\"");
        assertEquals(200, status(ends));
        start("new");
        letNewAccept(old);
        HttpConnection copies = connect();
        for (String id : new String[] {"open", "left", "ended"}) {
            assertEquals(409, status(send(copies, job("order", id, PLENTY_MS))), id);
        }
        assertNull(worker.calls.poll(), "no worker saw a copy");
        finish.countDown();
        assertEquals(200, status(first));
        assertEquals(200, status(send(connect(), job("order", "fresh", PLENTY_MS))), "the new process serves");
    }

    /** Guards a copy that comes first to the new process: the original, at the old one, is the second. */
    @Test
    void anIdOfTheNewProcessIsKnownToTheOldOne() throws Exception {
        Dispatcher old = start("old");
        HttpConnection kept = connect();
        assertEquals(200, status(send(kept, "GET /ready HTTP/1.1\r\nHost: t\r\n\r\n")));
        start("new");
        String order = job("order", "a", PLENTY_MS);
        send(kept, order.substring(0, 20)); // a connection that has begun a request is not closed as idle
        letNewAccept(old);
        send(connect(), order);
        assertEquals("a", worker.next().id());
        assertEquals(409, status(send(kept, order.substring(20))));
        assertNull(worker.calls.poll(), "no worker saw the second");
    }

    /**
     * Guards against what a frozen process may have in work: the new one serves without its answer, but runs nothing
     * that must not run twice before it knows the ids, or before the ids' time is over.
     */
    @Test
    void aFrozenProcessHoldsUpOnlyWhatMustNotRunTwice() throws Exception {
        Dispatcher old = start("old");
        send(connect(), job("order", "a", PLENTY_MS));
        assertEquals("a", worker.next().id());
        old.signal("STOP");
        start("new");
        finish.countDown();
        HttpConnection atNew = connectWithAnswer();
        assertEquals(503, status(send(atNew, job("order", "a", PLENTY_MS))));
        assertEquals(200, status(send(atNew, job("page", "p", PLENTY_MS))));
        assertEquals("p", worker.next().id());
        old.signal("CONT");
        until("the ids are known", () -> statusOrZero(atNew, job("order", "b" + System.nanoTime(), PLENTY_MS)) == 200);
        assertEquals(409, status(send(atNew, job("order", "a", PLENTY_MS))));
        worker.calls.clear();
        old.signal("STOP");
        assertEquals(200, status(send(atNew, job("order", "c", PLENTY_MS))), "the ids that are known suffice");
        old.close();
        assertEquals(409, status(send(atNew, job("order", "a", PLENTY_MS))), "they outlive their process");
        assertEquals(1, worker.calls.size(), "no worker saw a copy");
    }

    private int statusOrZero(HttpConnection connection, String text) {
        try {
            return status(send(connection, text));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A connection at the process that answers: the system also gives connections to the listener of a frozen one. */
    private HttpConnection connectWithAnswer() throws IOException {
        while (true) {
            HttpConnection connection = connect();
            send(connection, "GET /ready HTTP/1.1\r\nHost: t\r\n\r\n");
            try {
                if (connection.fill(1000)) {
                    assertEquals(200, status(connection));
                    return connection;
                }
            } catch (IOException e) {
                connection.close(); // at the frozen process
            }
        }
    }
}

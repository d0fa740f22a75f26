package maplespread.net;

import static maplespread.net.Loopback.job;
import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplespread.Program;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hundreds of clients hold a process of the deploy file's own limits at once, and others are answered all the same. */
class SlowClientsTest {
    private static final int SLOW_CLIENTS = 500;
    private static final int RESULT_BYTES = 64 * 1024;
    private static final int REQUESTS_AT_ONCE = 200;

    private Peer worker;
    private Peer discovery;
    private Process process;
    private Path log;
    private int port;

    @TempDir
    Path dir;

    @BeforeEach
    void open() throws Exception {
        worker = new Peer(call -> {
            call.open();
            call.done("x".repeat(call.head.target().startsWith("/page") ? RESULT_BYTES : 1));
        });
        discovery = new Peer(call -> {
            call.open();
            call.line(Loopback.list(1, true, "SERVING", worker));
        });
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        Path config = Files.writeString(
                dir.resolve("config.json"),
                Loopback.config(discovery.address(), worker)
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace("\"sockets\":256", "\"sockets\":1024"));
        log = dir.resolve("log");
        process = Program.start("serve", Map.of("BALANCER_CONFIG", config.toString()), log, deployFlags());
        until("service", () -> {
            try {
                return Files.readString(log).contains(" serves on ");
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @AfterEach
    void close() throws IOException {
        process.destroyForcibly();
        worker.close();
        discovery.close();
    }

    /** The memory flags of {@code run}. */
    private static String[] deployFlags() throws IOException {
        Matcher flags = Pattern.compile("-(Xm[sx]|Xss|XX:Max|XX:Reserved)[^ ]*")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        List<String> all = new ArrayList<>();
        while (flags.find()) {
            all.add(flags.group());
        }
        assertTrue(all.contains("-Xmx40m"), all.toString());
        return all.toArray(new String[0]);
    }

    private HttpConnection connect() throws IOException {
        return HttpConnection.dial(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Loopback.LIMIT_MS);
    }

    private static int status(HttpConnection connection) throws IOException {
        HttpParser parser = HttpParser.response(1 << 20, (bytes, at, length) -> {});
        connection.receive(parser, Loopback.LIMIT_MS);
        return parser.head().status();
    }

    private void assertNoMemoryFault() throws IOException {
        assertFalse(Files.readString(log).contains("OutOfMemoryError"), () -> "see " + log);
        assertTrue(process.isAlive());
    }

    /** Guards the heap against heads of very many short fields that are not sent to their end, and bodies likewise. */
    @Test
    void clientsThatStopInsideARequestCostTheOthersNothing() throws Exception {
        String head = "POST /order/x HTTP/1.1\r\nHost: t\r\n" + "a: b\r\n".repeat(2000);
        String body =
                job("order", "half", 4000).replace("Content-Length: 4", "Content-Length: 60000") + "x".repeat(59_000);
        for (String unfinished : new String[] {head, body}) {
            List<HttpConnection> slow = new ArrayList<>();
            try (HttpConnection other = connect()) {
                assertEquals(200, order(other, unfinished.length() + "-before"));
                for (int i = 0; i < SLOW_CLIENTS; i++) {
                    HttpConnection connection = connect();
                    slow.add(connection);
                    Loopback.daemon(() -> connection.send(unfinished.getBytes()));
                    if (i % 10 == 0) {
                        assertEquals(200, order(other, unfinished.length() + "-" + i));
                    }
                }
                for (int i = 0; i < 100; i++) {
                    assertEquals(200, order(other, unfinished.length() + "-after-" + i));
                }
            } finally {
                slow.forEach(HttpConnection::close);
            }
            assertNoMemoryFault();
        }
    }

    private static int order(HttpConnection connection, String id) throws IOException {
        connection.send(job("order", id, 4000).getBytes());
        return status(connection);
    }

    /** Guards the heap against many large results at once: each is answered in its time. */
    @Test
    void manyLargeResultsAtOnceAreAllAnswered() throws Exception {
        List<HttpConnection> clients = new ArrayList<>();
        try {
            for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                clients.add(connect());
            }
            for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                clients.get(i).send(job("page", "r" + i, 4000).getBytes());
            }
            int served = 0;
            for (HttpConnection client : clients) {
                int status = status(client);
                assertTrue(status == 200 || status == 503, "" + status); // 503: the policy has no worker for it
                served += status == 200 ? 1 : 0;
            }
            assertTrue(served > 0);
        } finally {
            clients.forEach(HttpConnection::close);
        }
        assertNoMemoryFault();
    }
}

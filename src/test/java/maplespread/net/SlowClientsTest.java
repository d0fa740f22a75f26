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
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplespread.Program;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hundreds of clients hold a process of the deploy file's own limits at once, and others are answered all the same. */
class SlowClientsTest {
    private static final int SLOW_CLIENTS = 500;
    /** 64 KiB, three bytes a character. */
    private static final String LARGE_RESULT = "\u20ac".repeat(64 * 1024 / 3);

    private static final int REQUESTS_AT_ONCE = 250;
    /** Time in milliseconds that a result waits for the first halves of others: below that of a slow one. */
    private static final long HALF_WAIT_MS = 400;

    private final CountDownLatch firstHalves = new CountDownLatch(REQUESTS_AT_ONCE);
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
            if (call.head.target().startsWith("/page")) {
                sendLargeResult(call);
            } else {
                call.done("x");
            }
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

    /** Sends a large result in two halves, the second one once others have sent their first, as over a crowded line. */
    private void sendLargeResult(Call call) throws IOException {
        call.state("started", "");
        byte[] line = ("{\"id\":\"" + call.id() + "\",\"state\":\"done\",\"result\":\"" + LARGE_RESULT + "\"}\n")
                .getBytes(StandardCharsets.UTF_8);
        call.raw(Integer.toHexString(line.length) + "\r\n");
        int half = line.length / 2;
        call.link.send(Arrays.copyOf(line, half));
        firstHalves.countDown();
        try {
            firstHalves.await(HALF_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        call.link.send(Arrays.copyOfRange(line, half, line.length));
        call.raw("\r\n0\r\n\r\n");
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

    /** The same from clients that come again at once when they are sent away, more than there are places. */
    @Test
    void clientsThatComeAgainAtOnceCostTheOthersNothing() throws Exception {
        String[] unfinished = {
            "POST /order/x HTTP/1.1\r\nHost: t\r\n" + "a: b\r\n".repeat(2000),
            job("order", "half", 4000).replace("Content-Length: 4", "Content-Length: 60000") + "x".repeat(59_000),
            "POST /order/" + "x".repeat(16_000)
        };
        AtomicBoolean over = new AtomicBoolean();
        try (HttpConnection other = connect()) {
            assertEquals(200, order(other, "before"));
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                byte[] text = unfinished[i % unfinished.length].getBytes();
                Loopback.daemon(() -> comeAgain(text, over));
            }
            for (int i = 0; i < 200; i++) {
                assertEquals(200, order(other, "beside-" + i));
            }
        } finally {
            over.set(true);
        }
        assertNoMemoryFault();
    }

    private void comeAgain(byte[] text, AtomicBoolean over) {
        while (!over.get()) {
            try (HttpConnection connection = connect()) {
                connection.send(text);
                while (connection.fill(Loopback.LIMIT_MS)) {
                    connection.buffer().position(connection.buffer().limit());
                }
            } catch (IOException e) {
                // sent away: it comes again
            }
        }
    }

    private static int order(HttpConnection connection, String id) throws IOException {
        connection.send(job("order", id, 4000).getBytes());
        return status(connection);
    }

    /** Guards the heap, and memory outside it, against many large results at once: each request is answered. */
    @Test
    void manyLargeResultsAtOnceAreAllAnswered() throws Exception {
        List<HttpConnection> clients = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                clients.add(connect());
            }
            for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                clients.get(i).send(job("page", "r" + i, 4000).getBytes());
            }
            List<Future<Integer>> statuses = new ArrayList<>();
            for (HttpConnection client : clients) {
                statuses.add(threads.submit(() -> status(client)));
            }
            int served = 0;
            for (Future<Integer> each : statuses) {
                int status = each.get();
                assertTrue(status == 200 || status == 503, "" + status); // 503: there is no room for it at the worker
                served += status == 200 ? 1 : 0;
            }
            assertTrue(served > REQUESTS_AT_ONCE / 4, "served " + served);
        } finally {
            clients.forEach(HttpConnection::close);
            threads.shutdown();
        }
        assertNoMemoryFault();
    }
}

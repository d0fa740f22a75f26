package maplespread.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.http.HttpConnection;
import maplespread.http.HttpWriter;
import maplespread.http.MemoryBudget;
import org.junit.jupiter.api.Test;

class PeerForwarderTest {
    private static final long TIME_LIMIT_S = 60;

    /** Guards against a request that is sent on for a client that left while the connection to the peer came up. */
    @Test
    void whatIsCancelledWhileItsConnectionComesUpIsNotSent() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        AtomicBoolean clientLeft = new AtomicBoolean();
        PeerForwarder[] forwarder = new PeerForwarder[1];
        ConnectionPool pool = new ConnectionPool(() -> config, config::limits, (address, limitMs) -> {
            HttpConnection connection = HttpConnection.dial(address, limitMs);
            clientLeft.set(true);
            forwarder[0].cancel("request"); // it is up, and not yet known to the forwarder
            return connection;
        });
        forwarder[0] = new PeerForwarder(pool, new MemoryBudget(1 << 23));
        try (ServerSocket peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            PeerForwarder.Result result = forwarder[0].run(
                    "request",
                    "127.0.0.1:" + peer.getLocalPort(),
                    HttpWriter.request("POST", "/order/x", "peer"),
                    new byte[4],
                    1000,
                    clientLeft::get);
            assertEquals(PeerForwarder.Status.NOT_SENT, result.status());
            assertNothingArrives(peer);
        }
    }

    /** Guards requests that are forwarded over a connection that has fallen silent: a write must end with their time. */
    @Test
    void aWriteThatBlocksEndsWithTheRequestsTime() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        PeerForwarder forwarder =
                new PeerForwarder(new ConnectionPool(() -> config, config::limits), new MemoryBudget(1 << 23));
        try (ServerSocket peer = new ServerSocket()) {
            peer.setReceiveBufferSize(1024);
            peer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            CompletableFuture<PeerForwarder.Result> result = CompletableFuture.supplyAsync(() -> forwarder.run(
                    "request",
                    "127.0.0.1:" + peer.getLocalPort(),
                    HttpWriter.request("POST", "/order/x", "peer"),
                    new byte[16 << 20],
                    200,
                    () -> false));
            try (Socket silent = peer.accept()) {
                long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIME_LIMIT_S);
                while (!result.isDone() && System.nanoTime() < endNanos) {
                    forwarder.sweep();
                    Thread.onSpinWait();
                }
                assertEquals(
                        PeerForwarder.Status.NOT_SENT,
                        result.get(1, TimeUnit.SECONDS).status());
                assertFalse(silent.isClosed());
            }
        }
    }

    /** Guards the bound of memory: a peer's long answer counts until it is written, and a slow one gives way. */
    @Test
    void anAnswersMemoryIsReservedAndASlowOneGivesWay() throws Exception {
        MemoryBudget memory = new MemoryBudget(300_000);
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        PeerForwarder forwarder = new PeerForwarder(new ConnectionPool(() -> config, config::limits), memory);
        byte[] answer = new byte[100_000];
        byte[] head = HttpWriter.response(200).body(answer);
        try (ServerSocket peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            CompletableFuture<PeerForwarder.Result> whole = forward(forwarder, peer);
            try (Socket accepted = peer.accept()) {
                accepted.getOutputStream().write(head);
                PeerForwarder.Result result = whole.get(TIME_LIMIT_S, TimeUnit.SECONDS);
                assertEquals(answer.length, result.body().length);
                assertEquals(200_000, memory.reservedBytes());
                result.memory().release();
                assertEquals(0, memory.reservedBytes());
            }
            CompletableFuture<PeerForwarder.Result> stopped = forward(forwarder, peer);
            try (Socket accepted = peer.accept()) {
                accepted.getOutputStream().write(head, 0, head.length / 2);
                long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIME_LIMIT_S);
                while (memory.reservedBytes() == 0 && System.nanoTime() < endNanos) {
                    Thread.onSpinWait();
                }
                assertEquals(200_000, memory.reservedBytes());
                MemoryBudget.Reservation other = memory.open(MemoryBudget.Use.RESPONSE, MemoryBudget.NEVER);
                assertTrue(other.grow(200_000, TimeUnit.SECONDS.toMillis(TIME_LIMIT_S)));
                assertEquals(
                        PeerForwarder.Status.LOST,
                        stopped.get(TIME_LIMIT_S, TimeUnit.SECONDS).status());
                assertEquals(200_000, memory.reservedBytes());
            }
        }
    }

    private static CompletableFuture<PeerForwarder.Result> forward(PeerForwarder forwarder, ServerSocket peer) {
        return CompletableFuture.supplyAsync(() -> forwarder.run(
                new Object(),
                "127.0.0.1:" + peer.getLocalPort(),
                HttpWriter.request("POST", "/order/x", "peer"),
                new byte[10],
                TimeUnit.SECONDS.toMillis(2 * TIME_LIMIT_S),
                () -> false));
    }

    private static void assertNothingArrives(ServerSocket peer) throws IOException {
        try (Socket accepted = peer.accept()) {
            assertEquals(0, accepted.getInputStream().available());
        }
    }
}

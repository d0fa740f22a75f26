package maplespread.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.http.HttpConnection;
import maplespread.http.HttpWriter;
import org.junit.jupiter.api.Test;

class PeerForwarderTest {
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
        forwarder[0] = new PeerForwarder(pool);
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

    private static void assertNothingArrives(ServerSocket peer) throws IOException {
        try (Socket accepted = peer.accept()) {
            assertEquals(0, accepted.getInputStream().available());
        }
    }
}

package maplespread.lab;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/** A worker on a loopback port that does every job at once, and tells when each one's first byte came. */
public final class StandInWorker implements Closeable {
    /** Hears of a job's first byte. */
    public interface Arrivals {
        void came(StandInWorker worker, long nanos);
    }

    private final ServerSocket socket = new ServerSocket();
    private final Set<HttpConnection> links = ConcurrentHashMap.newKeySet();
    private final Arrivals arrivals;

    public StandInWorker(Arrivals arrivals) throws IOException {
        this.arrivals = arrivals;
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        daemon(() -> {
            while (true) {
                HttpConnection link = new HttpConnection(socket.accept());
                links.add(link);
                daemon(() -> serve(link));
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** A name of its own. */
    public String id() {
        return "s-" + socket.getLocalPort();
    }

    private void serve(HttpConnection link) throws IOException {
        try (link) {
            while (link.fill(600_000)) {
                long first = System.nanoTime();
                HttpParser parser = HttpParser.request(new ByteArrayOutputStream()::write);
                link.receive(parser, 10_000);
                if (parser.head().method().equals("GET")) {
                    link.send(HttpWriter.response(200).body("{\"util\":0.1,\"x0\":4}".getBytes()));
                    continue;
                }
                arrivals.came(this, first);
                String id = parser.head().get("X-Txn");
                String done = "{\"id\":\"" + id + "\",\"state\":\"started\"}\n{\"id\":\"" + id
                        + "\",\"state\":\"done\",\"result\":\"ok\"}\n";
                link.send(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(done.length())
                                + "\r\n" + done + "\r\n0\r\n\r\n")
                        .getBytes());
            }
        } finally {
            links.remove(link);
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void daemon(Work work) {
        Thread t = new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (IOException over) {
                        // ends with its sockets
                    }
                },
                "stand-in worker",
                128 * 1024);
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        links.forEach(HttpConnection::close);
    }
}

package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;

/** The way between two data centres: passes all bytes on unchanged and in order, each way some milliseconds later. */
final class DelayProxy {
    private record Piece(long dueNanos, byte[] bytes) {}

    final int port;
    private final int targetPort;
    private final long delayMs;
    private final ServerSocket server;

    DelayProxy(int targetPort, long delayMs) throws IOException {
        this.targetPort = targetPort;
        this.delayMs = delayMs;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Rig.daemon(this::accept);
    }

    private void accept() {
        while (true) {
            try {
                Socket from = server.accept();
                from.setTcpNoDelay(true);
                Socket to = new Socket();
                to.connect(new InetSocketAddress("127.0.0.1", targetPort), 1000);
                to.setTcpNoDelay(true);
                pass(from, to);
                pass(to, from);
            } catch (IOException e) {
                if (server.isClosed()) {
                    return;
                }
            }
        }
    }

    private void pass(Socket from, Socket to) {
        LinkedBlockingQueue<Piece> way = new LinkedBlockingQueue<>();
        Rig.daemon(() -> {
            byte[] buffer = new byte[16 * 1024];
            try {
                InputStream in = from.getInputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    way.add(new Piece(System.nanoTime() + delayMs * 1_000_000, Arrays.copyOf(buffer, count)));
                }
            } catch (IOException e) {
                // reset: passed on as an end
            }
            way.add(new Piece(System.nanoTime() + delayMs * 1_000_000, new byte[0]));
        });
        Rig.daemon(() -> {
            try (from; to) {
                OutputStream out = to.getOutputStream();
                for (Piece piece = way.take(); piece.bytes.length > 0; piece = way.take()) {
                    Rig.sleep((piece.dueNanos - System.nanoTime() + 999_999) / 1_000_000);
                    out.write(piece.bytes);
                }
                Rig.sleep(delayMs);
            } catch (IOException | InterruptedException e) {
                // the other side has gone
            }
        });
    }
}

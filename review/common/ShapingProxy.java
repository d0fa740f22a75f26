package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.locks.LockSupport;

/**
 * The way between a dispatcher and one worker. All ways share one line for what workers answer: it passes so many bytes a
 * second, and serves the connections in turn, slice by slice. Nothing is lost.
 */
final class ShapingProxy {
    private static final int SLICE_BYTES = 4096;
    private static long lineFreeNanos = System.nanoTime();

    final int port;
    private final long bytesPerSecond;

    ShapingProxy(int target, long bytesPerSecond) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        ServerSocket server = new ServerSocket(0, 400, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Kit.daemon("way", () -> {
            while (true) {
                Socket near = server.accept();
                Socket far = new Socket();
                try {
                    far.connect(new InetSocketAddress("127.0.0.1", target), 2000);
                } catch (IOException e) {
                    near.close();
                    continue;
                }
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Kit.daemon("way up", () -> pass(near, far, false));
                Kit.daemon("way down", () -> pass(far, near, true));
            }
        });
    }

    private static synchronized long reserve(long nanos) {
        lineFreeNanos = Math.max(lineFreeNanos, System.nanoTime()) + nanos;
        return lineFreeNanos;
    }

    private void pass(Socket from, Socket to, boolean shaped) throws IOException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] slice = new byte[SLICE_BYTES];
            for (int count = in.read(slice); count >= 0; count = in.read(slice)) {
                if (shaped) {
                    long dueNanos = reserve(count * 1_000_000_000L / bytesPerSecond);
                    for (long left = dueNanos - System.nanoTime(); left > 0; left = dueNanos - System.nanoTime()) {
                        LockSupport.parkNanos(left);
                    }
                }
                out.write(slice, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            from.close();
            to.close();
        }
    }
}

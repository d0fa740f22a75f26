package maplespread.lab.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import maplespread.http.HttpConnection;

/**
 * Any number of loopback listeners on one thread: a thousand ways between dispatchers and peers would
 * otherwise cost a thousand threads that only wait. Each connection that comes is served by a thread of its
 * own.
 */
final class LoopbackListeners implements Closeable {
    /** Serves one connection to its end. */
    interface Service {
        void serve(HttpConnection link) throws IOException;
    }

    private static final long STACK = 128 * 1024;
    private final Selector selector = Selector.open();
    private final Set<HttpConnection> links = ConcurrentHashMap.newKeySet();
    private volatile boolean over;

    LoopbackListeners() throws IOException {
        daemon("doors", this::accept);
    }

    /** Opens one more; its address. */
    String open(Service service) throws IOException {
        ServerSocketChannel door = ServerSocketChannel.open();
        door.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
        door.configureBlocking(false);
        door.register(selector, SelectionKey.OP_ACCEPT, service);
        selector.wakeup();
        return "127.0.0.1:" + ((InetSocketAddress) door.getLocalAddress()).getPort();
    }

    private void accept() throws IOException {
        while (!over) {
            selector.select(
                    key -> {
                        try {
                            SocketChannel came = ((ServerSocketChannel) key.channel()).accept();
                            if (came != null) {
                                Service service = (Service) key.attachment();
                                HttpConnection link = new HttpConnection(came.socket());
                                links.add(link);
                                daemon("served", () -> {
                                    try (link) {
                                        service.serve(link);
                                    } finally {
                                        links.remove(link);
                                    }
                                });
                            }
                        } catch (IOException gone) {
                            // the peer left before it was let in
                        }
                    },
                    200);
        }
    }

    /** What a thread of the rig does; it ends with its sockets. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    static Thread daemon(String name, Work work) {
        Thread t = new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException | RuntimeException ended) {
                        // its peer or the rig has ended
                    }
                },
                "rig " + name,
                STACK);
        t.setDaemon(true);
        t.start();
        return t;
    }

    @Override
    public void close() throws IOException {
        over = true;
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
        links.forEach(HttpConnection::close);
    }
}

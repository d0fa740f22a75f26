package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery as the protocol page describes it: whole lists, and watches that tell changes and an empty line every 2 s. */
final class Discovery {
    private static final long EMPTY_LINE_MS = 2000;

    /** What a call gets. */
    enum Mode {
        /** An answer. */
        UP,
        /** 503 after it has waited, as when discovery is down or has too many callers. */
        FAILS_AFTER_WAIT,
        /** 503 at once. */
        FAILS,
        /** As too many callers make it: calls for a watch wait and get 503, calls for the list are answered. */
        CROWDED
    }

    final int port;
    private final Rig rig;
    private final String name;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<Socket, LinkedBlockingQueue<String>> watches = new ConcurrentHashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ServerSocket server;
    private final long failAfterMs;
    /** Calls for a watch, answered or not. */
    final AtomicInteger calls = new AtomicInteger();
    /** When the last call for a watch came; -1: none has. */
    volatile long lastCallMs = -1;
    private int generation = 1;
    private volatile Mode mode = Mode.UP;

    Discovery(Rig rig, String name, long failAfterMs) throws IOException {
        this(rig, name, 0, failAfterMs);
    }

    Discovery(Rig rig, String name, int port, long failAfterMs) throws IOException {
        this.rig = rig;
        this.name = name;
        this.failAfterMs = failAfterMs;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        this.port = server.getLocalPort();
        Rig.daemon(this::accept);
    }

    /** Lists a worker, or changes its entry; the open watches are told at once. */
    synchronized void put(Worker worker, String lifecycle) {
        put(worker, lifecycle, 0);
    }

    synchronized void put(Worker worker, String lifecycle, long startedAtMs) {
        String entry = "{\"instanceId\":\"" + worker.name + "\",\"hostPort\":\"127.0.0.1:" + worker.listedPort
                + "\",\"zone\":\"" + worker.zone + "\",\"machineType\":\"fast-4\",\"cell\":1,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
        generation++;
        if (lifecycle.equals("DELETED")) {
            entries.remove(worker.name);
        } else {
            entries.put(worker.name, entry);
        }
        rig.log(name, "has " + worker.name + " " + lifecycle + " from now on, generation " + generation);
        String update = "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + entry + "]}";
        watches.values().forEach(queue -> queue.add(update));
    }

    synchronized void copyFrom(Discovery other) {
        synchronized (other) {
            entries.putAll(other.entries);
        }
    }

    private synchronized String list() {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + String.join(",", entries.values()) + "]}";
    }

    void mode(Mode next) {
        rig.log(name, "calls from now on: " + next);
        mode = next;
    }

    boolean failing() {
        return mode != Mode.UP;
    }

    /** Ends the open watches, as happens when discovery goes down. */
    void endWatches() {
        rig.log(name, "ends " + watches.size() + " watches");
        closeAll(watches.keySet());
    }

    /** Accepts nothing new; what is open stays. */
    void stopAccepting() throws IOException {
        rig.log(name, "accepts no new connection");
        server.close();
    }

    void closeOpen() {
        rig.log(name, "closes " + open.size() + " open connections");
        closeAll(open);
    }

    private static void closeAll(Set<Socket> sockets) {
        for (Socket socket : new ArrayList<>(sockets)) {
            try {
                socket.close();
            } catch (IOException e) {
                // it has ended
            }
        }
    }

    int openWatches() {
        return watches.size();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Rig.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                boolean watch = request.startLine.contains("follow=1");
                if (watch) {
                    calls.incrementAndGet();
                    lastCallMs = rig.ms();
                    rig.log(name, "is called for a watch: " + request.startLine);
                }
                if (mode != Mode.UP && (watch || mode != Mode.CROWDED)) {
                    if (mode != Mode.FAILS) {
                        Rig.sleep(failAfterMs);
                    }
                    Http.write(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                    rig.log(name, "answered 503");
                    return;
                }
                if (!watch) {
                    String list = list();
                    Http.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                    continue;
                }
                follow(socket, out);
                return;
            }
        } catch (IOException | RuntimeException e) {
            // the caller has gone, or the watch was ended
        } finally {
            open.remove(socket);
            watches.remove(socket);
        }
    }

    private void follow(Socket socket, OutputStream out) throws IOException {
        LinkedBlockingQueue<String> queue = new LinkedBlockingQueue<>();
        String first;
        synchronized (this) {
            first = list();
            watches.put(socket, queue);
        }
        Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        Http.chunk(out, first);
        rig.log(name, "told the whole list on a watch: " + first);
        while (true) {
            String next;
            try {
                next = queue.poll(EMPTY_LINE_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                return;
            }
            Http.chunk(out, next == null ? "" : next);
            if (next != null) {
                rig.log(name, "told on a watch: " + next);
            }
        }
    }
}

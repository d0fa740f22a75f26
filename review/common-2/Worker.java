package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker as the protocol page describes it: slots, a bounded queue in order, starts told, kept connections. */
final class Worker {
    private static final int SLOTS = 8;
    private static final int MAX_QUEUED = 40;

    /** Called after the whole answer to a job has been written; may write to the connection. */
    interface AfterAnswer {
        void answered(String id, OutputStream out);
    }

    /** One job whose last byte has arrived. */
    record Arrival(long atMs, String worker, String id, String lane, String outcome) {}

    final String name;
    final int port;
    /** Where dispatchers reach it. */
    int listedPort;
    String zone = "lisboa-1";
    final List<Arrival> arrivals = new ArrayList<>();
    private final Rig rig;
    private final ServerSocket server;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger held = new AtomicInteger();
    private volatile AfterAnswer afterAnswer = (id, out) -> {};
    private volatile boolean draining;

    Worker(Rig rig, String name) throws IOException {
        this.rig = rig;
        this.name = name;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        listedPort = port;
        Rig.daemon(this::accept);
    }

    /** Puts it into another data centre, {@code delayMs} away each way. */
    Worker away(String otherZone, long delayMs) throws IOException {
        zone = otherZone;
        listedPort = new DelayProxy(port, delayMs).port;
        return this;
    }

    void afterAnswer(AfterAnswer next) {
        afterAnswer = next;
    }

    /** From now on it completes what it holds and turns away what is new. */
    void drain() {
        draining = true;
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
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
            long answeredMs = -1;
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.startLine.startsWith("GET ")) {
                    probe(request, out);
                } else {
                    job(request, out, answeredMs);
                }
                answeredMs = rig.ms();
            }
        } catch (IOException | RuntimeException e) {
            // the dispatcher has closed the connection
        }
    }

    private void probe(Http.Message request, OutputStream out) throws IOException {
        int free = Math.max(0, SLOTS - held.get());
        String load = "{\"err_rps\":0,\"cpu\":" + (SLOTS - free) / (double) SLOTS + ",\"x0\":" + free + "}";
        Http.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load);
    }

    private void job(Http.Message request, OutputStream out, long answeredMs) throws IOException {
        String id = request.field("X-Txn");
        if (id == null) {
            Http.write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String lane = request.field("X-Lane");
        String kept = answeredMs < 0 ? "new connection" : "kept connection, idle for " + (rig.ms() - answeredMs) + " ms";
        if (draining || held.get() >= SLOTS + MAX_QUEUED) {
            arrived(id, lane, "turned away", kept);
            Http.write(out, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        held.incrementAndGet();
        arrived(id, lane, "taken", kept);
        boolean heard = true;
        try {
            Http.write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
            slots.acquireUninterruptibly();
            try {
                Http.chunk(out, line(id, "started", ""));
                Rig.sleep(Integer.parseInt(request.text().replaceAll("\\D", "")));
            } catch (IOException e) { // running work goes on after a close
                heard = false;
                Rig.sleep(Integer.parseInt(request.text().replaceAll("\\D", "")));
            } finally {
                slots.release();
            }
        } finally {
            held.decrementAndGet();
        }
        rig.log(name, "ran " + id);
        if (heard) {
            Http.chunk(out, line(id, "done", ",\"result\":\"" + id + " by " + name + "\""));
            Http.write(out, "0\r\n\r\n");
            afterAnswer.answered(id, out);
        }
    }

    private void arrived(String id, String lane, String outcome, String kept) {
        synchronized (this) {
            arrivals.add(new Arrival(rig.ms(), name, id, lane, outcome));
        }
        rig.log(name, outcome + " " + lane + " " + id + " (" + kept + ")");
    }

    private String line(String id, String state, String rest) {
        return "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"" + state + "\"" + rest + "}";
    }

    void close() throws IOException {
        server.close();
    }

    /** How often each job of a class was taken, at all workers. */
    static Map<String, List<Arrival>> taken(List<Worker> workers, String lane) {
        Map<String, List<Arrival>> byId = new ConcurrentHashMap<>();
        for (Worker worker : workers) {
            for (Arrival arrival : worker.arrivals()) {
                if (arrival.lane().equals(lane) && arrival.outcome().equals("taken")) {
                    byId.computeIfAbsent(arrival.id(), id -> new ArrayList<>()).add(arrival);
                }
            }
        }
        return byId;
    }
}

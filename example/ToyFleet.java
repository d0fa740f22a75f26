import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/**
 * A toy on 127.0.0.1: discovery on port 8500, or the one given, and two workers of four slots on the ports
 * 501 and 502 above it.
 */
public final class ToyFleet {
    private static final Map<Integer, Semaphore> SLOTS = new TreeMap<>();       // by worker

    public static void main(String[] args) throws IOException {
        int first = args.length > 0 ? Integer.parseInt(args[0]) : 8500;
        for (int port = first + 501; port <= first + 502; port++) {
            SLOTS.put(port, new Semaphore(4, true));
        }
        for (int port : SLOTS.keySet()) {
            HttpServer worker = server(port);
            worker.createContext("/status/load", x -> {
                int free = SLOTS.get(port).availablePermits();
                byte[] load = ("{\"eps\":0,\"util\":" + (4 - free) / 4.0 + ",\"x0\":" + free + "}")
                    .getBytes(StandardCharsets.UTF_8);
                x.sendResponseHeaders(200, load.length);
                x.getResponseBody().write(load);
                x.close();
            });
            worker.createContext("/", x -> job(x, port));
            worker.start();
        }
        HttpServer discovery = server(first);
        discovery.createContext("/v1/endpoints", ToyFleet::list);
        discovery.start();
        System.out.println("discovery on " + first + ", workers on " + SLOTS.keySet() + "; stop with Ctrl-C");
    }

    private static HttpServer server(int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 50);
        server.setExecutor(Executors.newCachedThreadPool());
        return server;
    }

    /** Takes a slot for 200 ms for every job and tells of its start and its end. */
    private static void job(HttpExchange x, int port) throws IOException {
        int bytes = x.getRequestBody().readAllBytes().length;
        String id = x.getRequestHeaders().getFirst("X-Txn");
        if (id == null) {
            x.sendResponseHeaders(404, -1);
            return;
        }
        x.sendResponseHeaders(200, 0);
        SLOTS.get(port).acquireUninterruptibly();
        try (OutputStream out = x.getResponseBody()) {
            say(out, "{\"id\":\"" + id + "\",\"from\":\"toy-" + port + "\",\"state\":\"started\"}");
            pause(200);
            say(out, "{\"id\":\"" + id + "\",\"from\":\"toy-" + port + "\",\"state\":\"done\",\"result\":\""
                + x.getRequestURI() + " with " + bytes + " bytes, done by " + port + "\"}");
        } finally {
            SLOTS.get(port).release();
        }
    }

    /** Sends the whole list, then an empty line every 2 s where a watch was asked for. */
    private static void list(HttpExchange x) throws IOException {
        StringBuilder list = new StringBuilder("{\"generation\":1,\"reset\":true,\"instances\":[");
        for (int port : SLOTS.keySet()) {
            list.append(list.charAt(list.length() - 1) == '[' ? "" : ",")
                .append("{\"instanceId\":\"toy-").append(port)
                .append("\",\"hostPort\":\"127.0.0.1:").append(port).append("\",\"zone\":\"here\",")
                .append("\"machineType\":\"toy\",\"cell\":1,\"lifecycle\":\"SERVING\",\"weight\":1.0,")
                .append("\"startedAtMs\":0}");
        }
        x.sendResponseHeaders(200, 0);
        try (OutputStream out = x.getResponseBody()) {
            say(out, list + "]}");
            String query = x.getRequestURI().getQuery();
            while (query != null && query.contains("follow=1")) {
                pause(2000);
                say(out, "");
            }
        }
    }

    private static void say(OutputStream out, String line) throws IOException {
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}

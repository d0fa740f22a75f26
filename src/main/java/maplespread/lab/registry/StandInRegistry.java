package maplespread.lab.registry;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.JsonStreamParser;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import maplespread.http.HttpConnection;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/**
 * One member of a registry on a loopback port: both dialects over one store, with the faults it is told to
 * have. Several members may share a store.
 */
public final class StandInRegistry implements Closeable {
    private static final int MOST_BODY = 4 << 20;
    private static final long IDLE_MS = 600_000;
    private static final long UP_NANOS = 5_000_000_000L;
    private static final int MOST_EVENTS = 1000; // in one line of a watch
    private static final String SERVICE = "\u0001service/"; // where Consul's instances are kept

    private final Store store;
    private final Set<HttpConnection> links = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket socket;
    private volatile Thread acceptor;
    /** What goes wrong here. */
    public final Faults faults;
    /** Requests that came, watches among them. */
    public final LongAdder requests = new LongAdder();
    /** A line of a watch holds so many events at most; the rest follows as fragments. */
    public volatile int fragmentAt = Integer.MAX_VALUE;
    /** How often a watch tells that nothing has changed; etcd's own default is ten minutes. */
    public volatile long progressMs = 600_000;

    public StandInRegistry(Store store, long seed) throws IOException {
        this(store, seed, 0);
    }

    /** At this port; 0: any. */
    public StandInRegistry(Store store, long seed, int at) throws IOException {
        this.store = store;
        faults = new Faults(seed);
        ServerSocket first = new ServerSocket();
        first.setReuseAddress(true);
        first.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), 1024);
        port = first.getLocalPort();
        listen(first);
    }

    public String address() {
        return "127.0.0.1:" + port;
    }

    /** Listens again at the same address. */
    public void up() throws IOException {
        long end = System.nanoTime() + UP_NANOS;
        while (true) {
            ServerSocket next = new ServerSocket();
            try {
                next.setReuseAddress(true);
                next.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1024);
                listen(next);
                return;
            } catch (BindException e) {
                // A client that dials a closed port of loopback may, by chance, be given that very port.
                next.close();
                if (System.nanoTime() > end) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** Refuses connections, and breaks all that are open. */
    public void down() throws IOException {
        socket.close();
        try {
            acceptor.join(); // the port is free only when it has left
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        cutAll();
    }

    /** Breaks all open connections. */
    public void cutAll() {
        links.forEach(HttpConnection::close);
        links.clear();
    }

    private void listen(ServerSocket at) {
        socket = at;
        acceptor = daemon("registry " + port, () -> {
            while (true) {
                HttpConnection link = new HttpConnection(at.accept());
                links.add(link);
                if (at.isClosed()) {
                    link.close();
                }
                daemon("registry link", () -> serve(link));
            }
        });
    }

    private interface Work {
        void run() throws Exception;
    }

    private static Thread daemon(String name, Work work) {
        Thread t = new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (Exception over) {
                        // ends with its sockets
                    }
                },
                name,
                256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void serve(HttpConnection link) throws Exception {
        try {
            while (link.fill(IDLE_MS)) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                HttpParser parser = HttpParser.request(MOST_BODY, body::write);
                link.receive(parser, 10_000);
                requests.increment();
                answer(link, parser.head(), body.toString(StandardCharsets.UTF_8));
            }
        } finally {
            links.remove(link);
            link.close();
        }
    }

    private void answer(HttpConnection link, HttpHead head, String body) throws Exception {
        if (faults.silent || faults.happens(faults.stall)) {
            hang(link);
        }
        if (faults.error()) {
            write(
                    link,
                    HttpWriter.response(503).field("Content-Type", "text/plain").body("busy".getBytes()));
            return;
        }
        if (faults.wrongType) {
            write(
                    link,
                    HttpWriter.response(200)
                            .field("Content-Type", "text/html")
                            .body("<html>welcome</html>".getBytes()));
            return;
        }
        String token = head.get(head.target().startsWith("/v3/") ? "Authorization" : "X-Consul-Token");
        if (!faults.token.isEmpty() && !faults.token.equals(token)) {
            write(
                    link,
                    HttpWriter.response(403)
                            .field("Content-Type", "application/json")
                            .body("{\"error\":\"etcdserver: permission denied\",\"code\":7}".getBytes()));
            return;
        }
        if (faults.happens(faults.compactFirst)) {
            store.compact(store.revision());
        }
        store.expire(System.nanoTime() / 1_000_000);
        if (head.target().startsWith("/v3/")) {
            etcd(link, head.target(), body);
        } else {
            consul(link, head.method(), head.target(), body);
        }
    }

    private static void hang(HttpConnection link) throws IOException {
        while (link.fill(IDLE_MS)) {
            link.buffer().clear().flip();
        }
        throw new IOException("hung up");
    }

    private void write(HttpConnection link, byte[] bytes) throws IOException, InterruptedException {
        int half = bytes.length / 2;
        if (faults.happens(faults.cut)) {
            link.send(java.util.Arrays.copyOf(bytes, half));
            link.close();
            throw new IOException("cut");
        }
        if (faults.slowMs > 0) {
            link.send(java.util.Arrays.copyOf(bytes, half));
            Thread.sleep(faults.slowMs);
            link.send(java.util.Arrays.copyOfRange(bytes, half, bytes.length));
        } else {
            link.send(bytes);
        }
    }

    private void json(HttpConnection link, int status, JsonElement o) throws IOException, InterruptedException {
        write(
                link,
                HttpWriter.response(status)
                        .field("Content-Type", "application/json")
                        .body(o.toString().getBytes(StandardCharsets.UTF_8)));
    }

    // ------------------------------------------------------------ etcd

    private long now() {
        return Math.max(1, store.revision() - faults.lag);
    }

    private JsonObject header(long revision) {
        JsonObject h = new JsonObject();
        h.addProperty("cluster_id", store.cluster());
        h.addProperty("member_id", Integer.toString(port));
        h.addProperty("revision", Long.toString(revision));
        h.addProperty("raft_term", Long.toString(store.term()));
        return h;
    }

    private void etcd(HttpConnection link, String target, String body) throws Exception {
        if (target.equals("/v3/watch")) {
            watch(link, body);
            return;
        }
        JsonObject in = JsonParser.parseString(body).getAsJsonObject();
        JsonObject out = new JsonObject();
        try {
            switch (target) {
                case "/v3/kv/range" -> range(in, out);
                case "/v3/kv/put" -> put(in);
                case "/v3/kv/deleterange" -> out.addProperty("deleted", store.delete(text(in, "key")) ? "1" : "0");
                case "/v3/kv/txn" -> txn(in, out);
                case "/v3/lease/grant" -> {
                    out.addProperty("ID", Long.toString(store.grant(number(in, "TTL") * 1000, clock())));
                    out.add("TTL", in.get("TTL"));
                }
                case "/v3/lease/revoke" -> store.revoke(number(in, "ID"));
                case "/v3/lease/keepalive" -> {
                    JsonObject result = new JsonObject();
                    result.add("header", header(store.revision()));
                    result.addProperty("ID", in.get("ID").getAsString());
                    result.addProperty("TTL", Long.toString(store.keepAlive(number(in, "ID"), clock()) / 1000));
                    out.add("result", result);
                }
                default -> {
                    json(link, 404, error("Not Found", 5));
                    return;
                }
            }
        } catch (Store.Gone | IllegalStateException e) {
            json(link, 400, error(e.getMessage(), e instanceof Store.Gone ? 11 : 5));
            return;
        }
        out.add("header", header(target.startsWith("/v3/kv/") ? now() : store.revision()));
        json(link, 200, out);
    }

    private static long clock() {
        return System.nanoTime() / 1_000_000;
    }

    private static JsonObject error(String message, int code) {
        JsonObject o = new JsonObject();
        o.addProperty("error", message);
        o.addProperty("code", code);
        o.addProperty("message", message);
        return o;
    }

    private void range(JsonObject in, JsonObject out) throws Store.Gone {
        String from = text(in, "key");
        String to = in.has("range_end") ? text(in, "range_end") : from + '\0';
        long limit = in.has("limit") ? number(in, "limit") : Long.MAX_VALUE - 1;
        long at = number(in, "revision");
        if (at > now()) {
            throw new Store.Gone(false);
        }
        long fixed = at > 0 ? at : faults.lag > 0 ? now() : 0;
        List<Store.Version> found = store.range(from, to.equals("\0") ? null : to, fixed, limit + 1);
        if (in.has("count_only")) {
            out.addProperty("count", Integer.toString(found.size()));
            return;
        }
        long least = number(in, "min_mod_revision");
        found = found.stream().filter(v -> v.mod() >= least).toList();
        JsonArray kvs = new JsonArray();
        for (int i = 0; i < found.size() && i < limit; i++) {
            kvs.add(kv(found.get(i)));
        }
        if (kvs.size() > 0) {
            out.add("kvs", kvs);
        }
        if (found.size() > limit) {
            out.addProperty("more", true);
        }
        out.addProperty("count", Integer.toString(kvs.size()));
    }

    private void put(JsonObject in) {
        Store.Version before = store.get(text(in, "key"));
        boolean same = in.has("ignore_lease") && in.get("ignore_lease").getAsBoolean();
        store.put(text(in, "key"), text(in, "value"), same && before != null ? before.lease() : number(in, "lease"));
    }

    private void txn(JsonObject in, JsonObject out) throws Store.Gone {
        synchronized (store) {
            boolean all = true;
            for (JsonElement e : in.has("compare") ? in.getAsJsonArray("compare") : new JsonArray()) {
                Store.Version v = store.get(text(e.getAsJsonObject(), "key"));
                all &= (v == null ? 0 : v.mod()) == number(e.getAsJsonObject(), "mod_revision");
            }
            JsonArray responses = new JsonArray();
            for (JsonElement e : all ? in.getAsJsonArray("success") : new JsonArray()) {
                JsonObject operation = e.getAsJsonObject();
                JsonObject response = new JsonObject();
                if (operation.has("request_put")) {
                    put(operation.getAsJsonObject("request_put"));
                    response.add("response_put", new JsonObject());
                } else {
                    JsonObject range = new JsonObject();
                    range(operation.getAsJsonObject("request_range"), range);
                    response.add("response_range", range);
                }
                responses.add(response);
            }
            out.add("responses", responses);
            if (all) {
                out.addProperty("succeeded", true);
            }
        }
    }

    private static JsonObject kv(Store.Version v) {
        JsonObject o = new JsonObject();
        o.addProperty("key", base64(v.key()));
        o.addProperty("mod_revision", Long.toString(v.mod()));
        if (v.value() != null) {
            o.addProperty("create_revision", Long.toString(v.created()));
            o.addProperty("version", Long.toString(v.count()));
            o.addProperty("value", base64(v.value()));
            if (v.lease() != 0) {
                o.addProperty("lease", Long.toString(v.lease()));
            }
        }
        return o;
    }

    /** One watch of a stream. */
    private static final class Watch {
        final long id;
        final String from, to;
        long next;

        Watch(long id, String from, String to, long next) {
            this.id = id;
            this.from = from;
            this.to = to;
            this.next = next;
        }
    }

    private void watch(HttpConnection link, String body) throws Exception {
        write(
                link,
                (HttpWriter.response(200)
                                .field("Content-Type", "application/json")
                                .field("Transfer-Encoding", "chunked"))
                        .bytes());
        List<Watch> watches = new ArrayList<>();
        JsonStreamParser all = new JsonStreamParser(body);
        while (all.hasNext()) {
            JsonObject create = all.next().getAsJsonObject().getAsJsonObject("create_request");
            long start = number(create, "start_revision");
            Watch w = new Watch(
                    create.has("watch_id") ? number(create, "watch_id") : watches.size(),
                    text(create, "key"),
                    text(create, "range_end"),
                    start > 0 ? start : now() + 1);
            watches.add(w);
            JsonObject made = result(w, now());
            made.addProperty("created", true);
            line(link, made);
        }
        long saidAt = clock();
        while (!watches.isEmpty()) {
            boolean quiet = true;
            for (Watch w : List.copyOf(watches)) {
                quiet &= !advance(link, w, watches);
            }
            if (!quiet) {
                saidAt = clock();
                continue;
            }
            synchronized (store) {
                long seen = now();
                if (watches.stream().allMatch(w -> w.next > seen || muted(w))) {
                    store.wait(Math.min(100, progressMs));
                }
            }
            store.expire(clock());
            if (clock() - saidAt >= progressMs && watches.stream().allMatch(w -> w.next > now() || muted(w))) {
                for (Watch w : watches) {
                    if (!muted(w)) {
                        line(link, result(w, w.next - 1));
                    }
                }
                saidAt = clock();
            }
        }
        link.send("0\r\n\r\n".getBytes());
    }

    private boolean muted(Watch w) {
        return (faults.muted >> w.id & 1) != 0;
    }

    /** Sends what the watch has not had yet; false where there was nothing. */
    private boolean advance(HttpConnection link, Watch w, List<Watch> watches) throws Exception {
        List<Store.Version> events = new ArrayList<>();
        long upTo;
        JsonObject canceled = null;
        if (muted(w)) {
            return false;
        }
        synchronized (store) {
            upTo = now();
            if (w.next > upTo) {
                return false;
            }
            try {
                while (w.next <= upTo && events.size() < MOST_EVENTS) {
                    for (Store.Version v : store.changesOf(w.next)) {
                        if (v.key().compareTo(w.from) >= 0 && v.key().compareTo(w.to) < 0) {
                            events.add(v);
                        }
                    }
                    w.next++;
                }
            } catch (Store.Gone e) {
                canceled = result(w, upTo);
                canceled.addProperty("canceled", true);
                canceled.addProperty("compact_revision", Long.toString(store.compacted()));
            }
        }
        for (int i = 0; i < events.size(); i += fragmentAt) {
            JsonObject o = result(w, upTo);
            JsonArray list = new JsonArray();
            int end = (int) Math.min(events.size(), (long) i + fragmentAt);
            for (Store.Version v : events.subList(i, end)) {
                JsonObject event = new JsonObject();
                if (v.value() == null) {
                    event.addProperty("type", "DELETE");
                }
                event.add("kv", kv(v));
                list.add(event);
            }
            o.add("events", list);
            if (end < events.size()) {
                o.addProperty("fragment", true);
            }
            if (faults.happens(faults.stall)) {
                hang(link);
            }
            line(link, o);
            if (fragmentAt == Integer.MAX_VALUE) {
                break;
            }
        }
        if (canceled != null) {
            watches.remove(w);
            line(link, canceled);
        }
        return true;
    }

    private JsonObject result(Watch w, long revision) {
        JsonObject o = new JsonObject();
        o.add("header", header(revision));
        o.addProperty("watch_id", Long.toString(w.id));
        return o;
    }

    private void line(HttpConnection link, JsonObject result) throws Exception {
        byte[] text = ("{\"result\":" + result + "}\n").getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(text.length + 16);
        chunk.write((Integer.toHexString(text.length) + "\r\n").getBytes());
        chunk.write(text);
        chunk.write("\r\n".getBytes());
        while (faults.trickle && result.has("events")) {
            link.send("1\r\n \r\n".getBytes());
            Thread.sleep(50);
        }
        write(link, chunk.toByteArray());
    }

    private static String text(JsonObject o, String name) {
        return o.has(name)
                ? new String(Base64.getDecoder().decode(o.get(name).getAsString()), StandardCharsets.UTF_8)
                : "";
    }

    private static long number(JsonObject o, String name) {
        return o.has(name) ? o.get(name).getAsLong() : 0;
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    // ------------------------------------------------------------ Consul

    private void consul(HttpConnection link, String method, String target, String body) throws Exception {
        int mark = target.indexOf('?');
        String path = URLDecoder.decode(mark < 0 ? target : target.substring(0, mark), StandardCharsets.UTF_8);
        Map<String, String> query = new HashMap<>();
        for (String pair : mark < 0 ? new String[0] : target.substring(mark + 1).split("&")) {
            int eq = pair.indexOf('=');
            query.put(eq < 0 ? pair : pair.substring(0, eq), eq < 0 ? "" : pair.substring(eq + 1));
        }
        if (path.startsWith("/v1/kv/") && method.equals("GET")) {
            read(link, path.substring(7), query, true);
        } else if (path.startsWith("/v1/health/service/")) {
            read(link, SERVICE + path.substring(19) + '/', query, false);
        } else {
            json(link, 200, JsonParser.parseString(write(path, query, body)));
        }
    }

    private String write(String path, Map<String, String> query, String body) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/v1/kv/")) {
            String key = path.substring(7);
            synchronized (store) {
                Store.Version v = store.get(key);
                long at = v == null ? 0 : v.mod();
                if (query.containsKey("cas") && Long.parseLong(query.get("cas")) != at) {
                    return "false";
                }
                if (body.isEmpty()) {
                    store.delete(key);
                } else {
                    store.put(
                            key,
                            body,
                            query.containsKey("acquire")
                                    ? Long.parseLong(query.get("acquire"))
                                    : v == null ? 0 : v.lease());
                }
                return "true";
            }
        } else if (path.equals("/v1/session/create")) {
            String ttl =
                    JsonParser.parseString(body).getAsJsonObject().get("TTL").getAsString();
            return "{\"ID\":\"" + store.grant(Long.parseLong(ttl.replace("s", "")) * 1000, clock()) + "\"}";
        } else if (path.startsWith("/v1/session/renew/")) {
            store.keepAlive(Long.parseLong(last), clock());
        } else if (path.startsWith("/v1/session/destroy/")) {
            store.revoke(Long.parseLong(last));
        } else if (path.equals("/v1/agent/service/register")) {
            JsonObject in = JsonParser.parseString(body).getAsJsonObject();
            store.put(
                    SERVICE + in.get("Name").getAsString() + "/node-1/"
                            + in.get("ID").getAsString(),
                    body);
        } else if (path.startsWith("/v1/agent/service/deregister/")) {
            store.delete(instance(last));
        } else if (path.startsWith("/v1/agent/service/maintenance/")) {
            JsonObject in =
                    JsonParser.parseString(store.get(instance(last)).value()).getAsJsonObject();
            in.addProperty("maintenance", query.get("enable").equals("true"));
            store.put(instance(last), in.toString());
        }
        return "true";
    }

    private String instance(String id) {
        try {
            return store.range(SERVICE, SERVICE + '\uffff', 0, Long.MAX_VALUE).stream()
                    .map(Store.Version::key)
                    .filter(k -> k.endsWith("/" + id))
                    .findFirst()
                    .orElse(SERVICE);
        } catch (Store.Gone e) {
            return SERVICE;
        }
    }

    private void read(HttpConnection link, String prefix, Map<String, String> query, boolean keys) throws Exception {
        boolean leader = query.containsKey("consistent");
        long off = leader ? 0 : faults.lag;
        long asked = Long.parseLong(query.getOrDefault("index", "0")) + faults.indexOff;
        long endsAt =
                clock() + Long.parseLong(query.getOrDefault("wait", "300000ms").replace("ms", ""));
        List<Store.Version> found;
        long index;
        synchronized (store) {
            while (true) {
                index = store.index(prefix);
                // A question of an index that is ahead is answered at once, as a leader that was reset does.
                if (query.getOrDefault("index", "0").equals("0") || index != asked || clock() >= endsAt) {
                    break;
                }
                store.wait(Math.max(1, Math.min(100, endsAt - clock())));
            }
            long at = off > 0 ? Math.max(Math.max(1, store.compacted()), store.revision() - off) : 0;
            index = at > 0 ? Math.min(index, at) : index;
            found = store.range(prefix, prefix + '\uffff', at, Long.MAX_VALUE);
        }
        if (faults.muted != 0 && !query.getOrDefault("index", "0").equals("0")) {
            hang(link);
        }
        StringBuilder all = new StringBuilder(found.size() * 300 + 2).append('[');
        for (Store.Version v : found) {
            all.append(all.length() > 1 ? "," : "")
                    .append(keys ? pair(v) : health(v).toString());
        }
        all.append(']');
        boolean none = keys && found.isEmpty();
        HttpWriter head = HttpWriter.response(none ? 404 : 200)
                .field("Content-Type", "application/json")
                .field("X-Consul-Index", Long.toString(Math.max(0, index - faults.indexOff)))
                .field("X-Consul-KnownLeader", Boolean.toString(!faults.leaderless))
                .field("X-Consul-LastContact", "0");
        write(link, head.body(none ? new byte[0] : all.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private static String pair(Store.Version v) {
        return "{\"LockIndex\":0,\"Key\":" + new JsonPrimitive(v.key()) + ",\"Flags\":0,\"Value\":\""
                + base64(v.value()) + "\",\"CreateIndex\":" + v.created() + ",\"ModifyIndex\":" + v.mod() + '}';
    }

    private static JsonObject health(Store.Version v) {
        JsonObject in = JsonParser.parseString(v.value()).getAsJsonObject();
        JsonObject node = new JsonObject();
        node.addProperty("Node", "node-1");
        node.addProperty("Address", "127.0.0.1");
        node.addProperty("ModifyIndex", 1);
        JsonObject service = new JsonObject();
        service.add("ID", in.get("ID"));
        service.add("Service", in.get("Name"));
        for (String name : List.of("Address", "Port", "Meta")) {
            if (in.has(name)) {
                service.add(name, in.get(name));
            }
        }
        service.add("Weights", JsonParser.parseString("{\"Passing\":1,\"Warning\":1}"));
        service.addProperty("ModifyIndex", v.mod());
        JsonArray checks = new JsonArray();
        check(checks, "service:" + in.get("ID").getAsString(), "passing", v.created());
        if (in.has("maintenance") && in.get("maintenance").getAsBoolean()) {
            check(checks, "_service_maintenance:" + in.get("ID").getAsString(), "critical", v.mod());
        }
        JsonObject o = new JsonObject();
        o.add("Node", node);
        o.add("Service", service);
        o.add("Checks", checks);
        return o;
    }

    private static void check(JsonArray to, String id, String status, long index) {
        JsonObject c = new JsonObject();
        c.addProperty("CheckID", id);
        c.addProperty("Status", status);
        c.addProperty("ModifyIndex", index);
        to.add(c);
    }

    @Override
    public void close() throws IOException {
        down();
    }
}

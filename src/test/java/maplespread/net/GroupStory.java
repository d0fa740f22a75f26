package maplespread.net;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplespread.DispatcherServer;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.config.OperatorReader;
import maplespread.http.HttpConnection;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.net.Loopback.Peer;

/** The shared helper of stories of several dispatchers in a group on loopback, all of them electors. */
final class GroupStory implements Closeable {
    final DispatcherServer[] servers;
    volatile String more; // of the operators' file, beside the group
    private final int[] ports;
    private final String key;
    private final Peer worker;
    private final Peer discovery = new Peer(Loopback.CONFIRMS);

    /** Answers nothing by itself: the story does. */
    GroupStory(Path dir, int n, String more, Peer worker) throws Exception {
        this.worker = worker;
        this.more = more;
        servers = new DispatcherServer[n];
        ports = new int[n + 1];
        DatagramSocket[] taken = new DatagramSocket[n + 1];
        for (int i = 0; i <= n; i++) {
            taken[i] = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            ports[i] = taken[i].getLocalPort();
        }
        key = Files.writeString(dir.resolve("key"), "1 " + "11".repeat(16)).toString();
        for (int i = 0; i < n; i++) {
            taken[i].close();
            begin(i);
        }
        taken[n].close();
    }

    /** One more, in a process of its own, that decides nothing; {@code log}: where it says that it serves. */
    Process process(Path dir, Path log) throws IOException {
        int i = servers.length;
        ProcessBuilder call = new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "maplespread.Main",
                "serve");
        call.environment().keySet().removeIf(k -> k.startsWith("BALANCER") || k.equals("JAVA_TOOL_OPTIONS"));
        call.environment()
                .put(
                        "BALANCER_CONFIG",
                        Files.writeString(dir.resolve("c"), config(i)).toString());
        call.environment()
                .put(
                        "BALANCER_OPERATOR",
                        Files.writeString(dir.resolve("o"), file(i)).toString());
        return call.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** The operators' file of one of them. */
    String file(int i) {
        StringBuilder electors = new StringBuilder("'n0'");
        for (int e = 1; e < servers.length; e++) {
            electors.append(",'n").append(e).append('\'');
        }
        return ("{'group':{'listen':'127.0.0.1:" + ports[i] + "','seeds':['127.0.0.1:" + ports[0]
                        + "','127.0.0.1:" + ports[1] + "'],'electors':[" + electors + "],'key_files':['" + key
                        + "'],'period_ms':100}," + more + "}")
                .replace('\'', '"');
    }

    /** With aims and deadlines that no story comes near: the module refuses what cannot make them. */
    String config(int i) {
        return Loopback.config(discovery.address(), worker)
                .replace("\"name\":\"n\"", "\"name\":\"n" + i + "\"")
                .replace("\"deadlineMs\":5000", "\"deadlineMs\":60000")
                .replaceAll("\"aimMs\":[0-9]+", "\"aimMs\":5000");
    }

    /** A new process, as it were, under this one's name. */
    void begin(int i) throws Exception {
        begin(i, Loopback.console(ConfigReader.read(config(i), Map.of())));
    }

    /** As {@link #begin(int)}, without a console, and serves as soon as it may: its list comes unasked. */
    void beginWithPushedList(int i) throws Exception {
        begin(i, ConfigReader.read(config(i).replace("\"ask\"", "\"push\""), Map.of()));
    }

    private void begin(int i, Config config) throws Exception {
        servers[i] = new DispatcherServer(config, OperatorReader.text(file(i)), new DispatcherServer.ConfigSource() {
            @Override
            public Config read() {
                return config;
            }

            @Override
            public OperatorConfig operator() throws ConfigException {
                return OperatorReader.text(file(i));
            }
        });
        servers[i].start();
    }

    record Said(int status, String text, HttpHead head) {}

    Said call(int i, String line, String body) {
        try (HttpConnection link = Loopback.dialConsole(servers[i])) {
            return exchange(
                    link, line + " HTTP/1.1\r\nHost: c\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    JsonObject shown(int i, String path) {
        return JsonParser.parseString(call(i, "GET " + path, "").text()).getAsJsonObject();
    }

    /** A client's request on a connection of its own. */
    Said ask(int i, String request) throws IOException {
        try (HttpConnection link = HttpConnection.dial(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), servers[i].port()), Loopback.LIMIT_MS)) {
            return exchange(link, request);
        }
    }

    private static Said exchange(HttpConnection link, String request) throws IOException {
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        link.send(request.getBytes());
        HttpParser parser = HttpParser.responseOrError(1 << 20, said::write);
        link.receive(parser, Loopback.LIMIT_MS);
        return new Said(parser.head().status(), said.toString(), parser.head());
    }

    @Override
    public void close() throws IOException {
        CountDownLatch over = new CountDownLatch(servers.length);
        for (DispatcherServer s : servers) {
            Loopback.daemon(() -> {
                s.stop();
                over.countDown();
            });
        }
        try {
            over.await(Loopback.LIMIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        discovery.close();
        worker.close();
    }
}

package maplespread.registry.client;

import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import maplespread.GoldenOutput;
import maplespread.discovery.EndpointParser;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The bytes of a whole call, and what the operators read of one that failed. */
class RegistryCallsGoldenTest {
    private static final String ETCD_PUT = "{\"header\":{}}";

    /** One call of an operator; returns the request as it came and what the caller was told. */
    private static String call(Dialect dialect, String tokenFile, String response) throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<String> request = CompletableFuture.supplyAsync(() -> answer(socket, response));
            String endpoint = "127.0.0.1:" + socket.getLocalPort();
            String told = put(settings(dialect, endpoint, tokenFile));
            String seen = request.get(60, TimeUnit.SECONDS) + "\n=> " + told + "\n\n";
            return seen.replace(endpoint, "ENDPOINT").replace("\r\n", "\n");
        }
    }

    private static RegistrySettings settings(Dialect dialect, String endpoint, String tokenFile) {
        RegistrySettings s = RegistrySettings.withDefaults(dialect, List.of(endpoint), List.of("w/"));
        return new RegistrySettings(
                dialect,
                s.endpoints(),
                s.follow(),
                tokenFile,
                s.page(),
                s.requestsPerS(),
                5000,
                s.answerMs(),
                s.silenceMs(),
                s.waitMs(),
                s.preferAgainMs(),
                s.restoreAfterMs(),
                s.forgetAfterMs(),
                s.notReadyAfterMs());
    }

    private static String put(RegistrySettings settings) {
        JsonObject value = new JsonObject();
        value.addProperty("hostPort", "10.0.0.1:80");
        try (RegistryAdmin admin = new RegistryAdmin(settings)) {
            admin.put("w-1", value, "", 0);
            return "done";
        } catch (RegistryAdmin.RegistryAdminException e) {
            return e.getMessage();
        }
    }

    private static String answer(ServerSocket socket, String response) {
        try (Socket link = socket.accept()) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            String text = "";
            while (!whole(text)) {
                int next = link.getInputStream().read();
                if (next < 0) {
                    break;
                }
                all.write(next);
                text = all.toString(StandardCharsets.UTF_8);
            }
            link.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            return text;
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static boolean whole(String text) {
        int head = text.indexOf("\r\n\r\n");
        return head >= 0
                && text.length() - head - 4
                        >= Integer.parseInt(text.replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
    }

    private static String response(String status, String type, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    @Test
    void callsAndTheirFailures(@TempDir Path dir) throws Exception {
        String token = Files.writeString(dir.resolve("token"), "s3cret\n").toString();
        String json = "application/json";
        StringBuilder seen = new StringBuilder();
        seen.append(call(Dialect.ETCD, token, response("200 OK", json, ETCD_PUT)));
        seen.append(call(Dialect.CONSUL_KV, token, response("200 OK", json, "true\n")));
        seen.append(call(Dialect.CONSUL_KV, "", response("200 OK", json, "false")));
        seen.append(call(Dialect.CONSUL_HEALTH, "", response("200 OK", json, "")));
        String[] failures = {
            response("500 Oops", json, "why"),
            response("403 Forbidden", json, "x".repeat(300)),
            response("404 Not Found", "text/plain", ""),
            response("200 OK", "text/html", "<p>"),
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n{",
            "HTTP/3 200 OK\r\n\r\n",
            ""
        };
        for (String failure : failures) {
            String one = call(Dialect.ETCD, "", failure);
            seen.append(one.substring(one.indexOf("\n=> ") + 1));
        }
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        seen.append(put(settings(Dialect.ETCD, "127.0.0.1:" + port, "")).replace(":" + port, ":CLOSED"))
                .append('\n');
        GoldenOutput.assertMatches("registry/calls.txt", seen.toString());
    }

    /** What makes a key's value unusable, as the log says it. */
    @Test
    void valuesThatCannotBeRead() throws Exception {
        String[] values = {
            "{\"hostPort\":\"10.0.0.1:80\",\"lifecycle\":\"SERVING\",\"weight\":2,\"zone\":\"b\",\"cell\":4}",
            "{\"instanceId\":\"x\",\"hostPort\":\"[::1]:80\",\"lifecycle\":\"DRAINING\",\"machineType\":\"m\"}",
            "{\"hostPort\":\"10.0.0.1:80\",\"lifecycle\":\"DELETED\"}",
            "{\"hostPort\":\"10.0.0.1:80\",\"lifecycle\":\"AWAY\"}",
            "{\"instanceId\":\"\",\"hostPort\":\"10.0.0.1:80\",\"lifecycle\":\"SERVING\"}",
            "{\"hostPort\":\"worker:80\",\"lifecycle\":\"SERVING\"}",
            "{\"hostPort\":\"10.0.0.1:x\",\"lifecycle\":\"SERVING\"}",
            "{}",
            "3"
        };
        StringBuilder seen = new StringBuilder();
        for (String value : values) {
            try {
                var route = RegistryEndpointSource.entryDecoder(new EndpointParser(List.of("a", "b"), List.of("m")))
                        .decode("/w/key", value);
                seen.append(route.worker()).append(' ').append(route.address()).append(' ');
                seen.append(route.state()).append(' ').append(route.weight()).append(' ');
                seen.append(route.kind()).append(' ').append(route.cell()).append(' ');
                seen.append(route.zone())
                        .append(' ')
                        .append(route.startedAtMs())
                        .append('\n');
            } catch (RuntimeException e) {
                seen.append(e.getMessage()).append('\n');
            }
        }
        GoldenOutput.assertMatches("registry/values.txt", seen.toString());
    }
}

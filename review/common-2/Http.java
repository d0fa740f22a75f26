package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Plain HTTP/1.1 over blocking sockets: messages with Content-Length or in chunks, one at a time on a connection. */
final class Http {
    private Http() {}

    /** A message as it was read. */
    static final class Message {
        String startLine = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];
        int status;

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(field("connection"));
        }
    }

    /** Reads one message; null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in, true);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = start;
        if (start.startsWith("HTTP/")) {
            message.status = Integer.parseInt(start.split(" ")[1]);
        }
        for (String field = line(in, false); !field.isEmpty(); field = line(in, false)) {
            int colon = field.indexOf(':');
            message.fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in, false), 16); size > 0; size = Integer.parseInt(line(in, false), 16)) {
                body.write(exactly(in, size));
                line(in, false);
            }
            line(in, false);
            message.body = body.toByteArray();
        } else if (message.field("content-length") != null) {
            message.body = exactly(in, Integer.parseInt(message.field("content-length")));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended inside a body");
        }
        return bytes;
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a head");
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Writes one line of a chunked answer as a chunk of its own. */
    static void chunk(OutputStream out, String text) throws IOException {
        byte[] line = (text + "\n").getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(line);
        all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(all.toByteArray());
        out.flush();
    }

    /** A client's kept connection to a dispatcher on loopback. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        Message get(String path, int limitMs) throws IOException {
            return exchange("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n", limitMs);
        }

        /** Sends a job and waits for its answer, for {@code limitMs} at most. */
        Message job(String lane, String id, String entity, int workMs, int remainingMs, int bodyBytes, int limitMs)
                throws IOException {
            String body = "work=" + workMs;
            body += "x".repeat(Math.max(0, bodyBytes - body.length()));
            return exchange(
                    "POST /" + lane + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id + "\r\nX-Lane: " + lane
                            + "\r\nX-Org: marfim\r\n" + (entity == null ? "" : "X-Entity: " + entity + "\r\n")
                            + "X-Remaining-Ms: " + remainingMs + "\r\nX-Estimate: " + workMs * 1000
                            + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
                    limitMs);
        }

        Message exchange(String request, int limitMs) throws IOException {
            socket.setSoTimeout(limitMs);
            write(socket.getOutputStream(), request);
            Message answer = read(in);
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}

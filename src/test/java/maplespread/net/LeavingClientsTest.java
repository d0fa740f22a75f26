package maplespread.net;

import static maplespread.net.Loopback.job;
import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import maplespread.Program;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Clients that leave while a real process is stopped, so that all they sent, and their close, lies unread. */
class LeavingClientsTest {
    @TempDir
    Path dir;

    /** Guards against requests that are sent on for nobody: a close must not hide behind bytes that lie unread. */
    @Test
    void whatAClientLeftUnreadIsNotSentOn() throws Exception {
        String emptyLines = "\r\n".repeat(20_000);
        String[] leftBehind = {
            job("order", "whole", 4000),
            job("order", "lines", 4000) + emptyLines,
            job("order", "large", 4000).replace("Content-Length: 4", "Content-Length: 60000") + "x".repeat(59_996),
            job("order", "two", 4000) + job("order", "two-b", 4000),
            "GET /ready HTTP/1.1\r\nHost: t\r\n\r\n" + job("order", "after", 4000),
            job("order", "bad", 4000).replace("acme", "none") + job("order", "after-bad", 4000),
            job("order", "more", 4000) + "x".repeat(200_000)
        };
        try (Peer worker = new Peer(call -> {
                    call.open();
                    call.done("r");
                });
                Peer discovery = new Peer(call -> {
                    call.open();
                    call.line(Loopback.list(1, true, "SERVING", worker));
                });
                ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = free.getLocalPort();
            free.close();
            Path config = Files.writeString(
                    dir.resolve("config.json"),
                    Loopback.config(discovery.address(), worker).replace("127.0.0.1:0", "127.0.0.1:" + port));
            Path log = dir.resolve("log");
            Process process = Program.start("serve", Map.of("BALANCER_CONFIG", config.toString()), log);
            try {
                until("service", () -> contains(log, " serves on "));
                for (boolean resets : new boolean[] {false, true}) {
                    signal(process, "STOP");
                    for (String text : leftBehind) {
                        leave(port, text, resets);
                    }
                    signal(process, "CONT");
                    try (HttpConnection last = HttpConnection.dial(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Loopback.LIMIT_MS)) {
                        last.send(job("order", "last" + resets, 4000).getBytes());
                        HttpParser parser = HttpParser.response(1 << 20, (bytes, at, length) -> {});
                        last.receive(parser, Loopback.LIMIT_MS);
                        assertEquals(200, parser.head().status());
                    }
                    assertEquals("last" + resets, worker.next().id());
                    assertNull(worker.calls.poll());
                }
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static boolean contains(Path log, String text) {
        try {
            return Files.readString(log).contains(text);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Sends what the system takes, and leaves. */
    private static void leave(int port, String text, boolean resets) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSendBufferSize(1 << 20);
            socket.getOutputStream().write(text.getBytes());
            if (resets) {
                socket.setSoLinger(true, 0);
            }
        }
    }
}

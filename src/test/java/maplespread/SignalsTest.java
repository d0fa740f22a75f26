package maplespread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals that reach a process at its start: the configuration is a pipe, so the story holds it there. */
class SignalsTest {
    private static final long LIMIT_S = 60;

    private static void run(String... call) throws Exception {
        assertEquals(0, new ProcessBuilder(call).inheritIO().start().waitFor(), String.join(" ", call));
    }

    private static void write(Path pipe, String text) throws Exception {
        CompletableFuture.runAsync(() -> {
            try {
                Files.writeString(pipe, text);                   // waits until it is opened for reading
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }).get(LIMIT_S, TimeUnit.SECONDS);
    }

    private static void until(Process process, Path log, String text) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
        while (!Files.readString(log).contains(text)) {
            assertTrue(process.isAlive() && System.nanoTime() < end, () -> "no " + text + " in " + log);
            process.waitFor(10, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards a process that is being started against its end, and the new configuration against its loss. */
    @Test void aHangupBeforeTheConfigurationIsReadIsHeard(@TempDir Path dir) throws Exception {
        Path pipe = dir.resolve("config.json");
        Path log = dir.resolve("log");
        run("mkfifo", pipe.toString());
        String text = Files.readString(Path.of("example/config.json"));
        Process process = Program.start("serve", Map.of("BALANCER_CONFIG", pipe.toString(),
            "BALANCER_LISTEN", "127.0.0.1:0"), log);
        try {
            var opened = CompletableFuture.supplyAsync(() -> {
                try {
                    return Files.newOutputStream(pipe);          // waits until it is opened for reading
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            }).get(LIMIT_S, TimeUnit.SECONDS);
            run("kill", "-HUP", Long.toString(process.pid()));
            try (opened) {
                opened.write(text.getBytes());
            }
            until(process, log, " serves on ");
            write(pipe, text);                                   // for the reload, after the start
            until(process, log, "configuration: read anew");
        } finally {
            process.destroyForcibly();
        }
    }
}

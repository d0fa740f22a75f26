package maplespread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals that reach a process at its start. The configuration is a named pipe, so a test controls when it is read. */
class SignalsTest {
    private static final long TIME_LIMIT_S = 60;

    private static void run(String... commandLine) throws Exception {
        assertEquals(0, new ProcessBuilder(commandLine).inheritIO().start().waitFor(), String.join(" ", commandLine));
    }

    /** Starts a process that reads its configuration from the pipe. */
    private static Process serve(Path pipe, Path log) throws Exception {
        run("mkfifo", pipe.toString());
        return Program.start(
                "serve", Map.of("BALANCER_CONFIG", pipe.toString(), "BALANCER_LISTEN", "127.0.0.1:0"), log);
    }

    /** Opens the pipe for writing, which blocks until the process has opened it for reading. */
    private static OutputStream openPipe(Path pipe) throws Exception {
        return CompletableFuture.supplyAsync(() -> {
                    try {
                        return Files.newOutputStream(pipe);
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                })
                .get(TIME_LIMIT_S, TimeUnit.SECONDS);
    }

    private static void awaitLog(Process process, Path log, String text) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIME_LIMIT_S);
        while (!Files.readString(log).contains(text)) {
            assertTrue(process.isAlive() && System.nanoTime() < end, () -> "no " + text + " in " + log);
            process.waitFor(10, TimeUnit.MILLISECONDS);
        }
    }

    /** A process that receives SIGTERM while it reads its configuration must exit without opening a socket. */
    @Test
    void sigtermBeforeTheConfigurationIsReadEndsTheProcess(@TempDir Path dir) throws Exception {
        Path log = dir.resolve("log");
        Process process = serve(dir.resolve("config.json"), log);
        try (OutputStream pipe = openPipe(dir.resolve("config.json"))) {
            process.destroy(); // SIGTERM
            assertTrue(process.waitFor(TIME_LIMIT_S, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
        assertFalse(Files.readString(log).contains(" serves on "));
    }

    /** A process started with SIGHUP ignored must warn, as no reload would ever take place. */
    @Test
    void anIgnoredSighupIsLogged(@TempDir Path dir) throws Exception {
        Path log = dir.resolve("log");
        Process process = Program.startUnder(
                List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"),
                "serve",
                Map.of("BALANCER_CONFIG", "example/config.json", "BALANCER_LISTEN", "127.0.0.1:0"),
                log);
        try {
            awaitLog(process, log, " serves on ");
            assertTrue(Files.readString(log).contains("SIGHUP was ignored"));
        } finally {
            process.destroyForcibly();
        }
    }

    /** A SIGHUP during the start must neither end the process nor be lost: a reload follows the start. */
    @Test
    void sighupBeforeTheConfigurationIsReadCausesAReload(@TempDir Path dir) throws Exception {
        Path pipe = dir.resolve("config.json");
        Path log = dir.resolve("log");
        byte[] text = Files.readAllBytes(Path.of("example/config.json"));
        Process process = serve(pipe, log);
        try {
            try (OutputStream first = openPipe(pipe)) {
                run("kill", "-HUP", Long.toString(process.pid()));
                first.write(text);
            }
            awaitLog(process, log, " serves on ");
            try (OutputStream again = openPipe(pipe)) { // the reload reads the pipe again
                again.write(text);
            }
            awaitLog(process, log, "configuration: read anew");
        } finally {
            process.destroyForcibly();
        }
    }
}

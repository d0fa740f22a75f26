package maplespread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import maplespread.Program;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The program starts on every deployment's kind of settings, and rehearses with names of theirs. */
class RehearsalTest {
    @ParameterizedTest
    @EnumSource(Loopback.Site.class)
    void theProgramStartsAndRehearsesOnAnySettings(Loopback.Site site, @TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), Loopback.config(site, "127.0.0.1:1"));
        Path log = dir.resolve("log");
        Process process = Program.start(
                "rehearse", Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_CONSOLE", "127.0.0.1:0"), log);
        try {
            assertTrue(process.waitFor(Loopback.LIMIT_MS, TimeUnit.MILLISECONDS));
        } finally {
            process.destroyForcibly();
        }
        String said = Files.readString(log);
        assertEquals(0, process.exitValue(), said);
        assertTrue(said.contains(" serves on "), said);
        assertFalse(said.contains("rehears"), said); // a step that was cut short or unacceptable
    }
}

package maplespread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlainStartTest {
    /** Without an operators' file and an admin address, a start loads no class of the features or the command line. */
    @Test
    void disabledFeaturesAreNotLoaded(@TempDir Path dir) throws Exception {
        Path loaded = dir.resolve("loaded");
        Process process = Program.start(
                "rehearse",
                Map.of("BALANCER_CONFIG", "example/config.json", "BALANCER_LISTEN", "127.0.0.1:0"),
                dir.resolve("log"),
                "-Xlog:class+load:file=" + loaded);
        try {
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
        assertEquals(0, process.exitValue(), Files.readString(dir.resolve("log")));
        List<String> all = Files.readAllLines(loaded);
        assertTrue(all.stream().anyMatch(l -> l.contains(" maplespread.feature.Features ")), "it is written down");
        List<String> off = all.stream()
                .filter(l -> l.matches(".* (picocli|org[.]HdrHistogram|org[.]apache|"
                        + "maplespread[.](consensus|partition|starvation|cluster|release|membership|errors|subset|quota|"
                        + "registry|admin|upgrade|cli|lab|feature[.]\\w+Feature\\b|config[.](Group|Partition)Settings))\\b"
                        + ".*"))
                .toList();
        assertEquals(List.of(), off);
    }
}

package maplespread.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Compares what a test produced with a recorded text file, line by line. The produced lines are also written
 * to {@code target/golden}, where they can be read, or copied from, when a difference is intended.
 */
public final class GoldenFile {
    private static final Path RECORDED = Path.of("src/test/resources/golden");
    private static final Path PRODUCED = Path.of("target/golden");

    private GoldenFile() {}

    /** Fails unless the recorded file of this name consists of exactly these lines. */
    public static void check(String name, List<String> lines) throws IOException {
        Path produced = PRODUCED.resolve(name);
        Files.createDirectories(produced.getParent());
        Files.write(produced, lines);
        List<String> recorded = Files.readAllLines(RECORDED.resolve(name));
        for (int i = 0; i < Math.min(recorded.size(), lines.size()); i++) {
            assertEquals(recorded.get(i), lines.get(i), name + ", line " + (i + 1));
        }
        assertEquals(recorded.size(), lines.size(), name + ", number of lines");
    }
}

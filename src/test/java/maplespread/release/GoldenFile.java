package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;

/** Compares a text with a file in src/test/resources/golden; writes the actual text to target/golden. */
public final class GoldenFile {
    private GoldenFile() {}

    /** Fails where {@code actual} differs in any byte from the file {@code name}. */
    public static void assertMatches(String name, String actual) throws Exception {
        Path expected = Path.of("src/test/resources/golden", name);
        Path found = Path.of("target/golden", name);
        Files.createDirectories(found.getParent());
        Files.writeString(found, actual);
        assertEquals(Files.exists(expected) ? Files.readString(expected) : "", actual, found + " is what was found");
    }
}

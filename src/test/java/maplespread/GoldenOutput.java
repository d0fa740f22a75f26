package maplespread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares text that is visible outside the process with a file under {@code src/test/resources/golden}. With
 * {@code -Dgolden.record=true} a test writes its file and then fails, so that no test passes by recording.
 */
public final class GoldenOutput {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private GoldenOutput() {}

    /** Fails unless {@code actual} equals the content of the file. */
    public static void assertMatches(String file, String actual) throws IOException {
        Path path = DIRECTORY.resolve(file);
        if (Boolean.getBoolean("golden.record")) {
            Files.createDirectories(path.getParent());
            Files.writeString(path, actual);
            fail("recorded " + path);
        }
        assertEquals(Files.readString(path), actual, file);
    }
}

package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares what a test has seen with what was recorded. What was seen is also written to {@code
 * target/golden/partition}, to be compared file by file where it differs.
 */
public final class Golden {
    private static final String FOLDER = "golden/partition";

    private Golden() {}

    /** Fails unless the recorded file of this name holds exactly this text. */
    public static void assertGolden(String name, String seen) throws IOException {
        Files.writeString(Files.createDirectories(Path.of("target", FOLDER)).resolve(name), seen);
        try (InputStream recorded = Golden.class.getResourceAsStream("/" + FOLDER + "/" + name)) {
            assertNotNull(recorded, "recorded: " + name);
            assertEquals(new String(recorded.readAllBytes(), StandardCharsets.UTF_8), seen, name);
        }
    }
}

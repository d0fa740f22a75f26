package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares the text that a test produced with the recorded file. The produced text is also written to
 * {@code target/golden/partition}, so that differing files can be compared.
 */
public final class Golden {
    private static final String FOLDER = "golden/partition";

    private Golden() {}

    /** Fails unless the recorded file of this name holds exactly this text. */
    public static void assertGolden(String name, String actual) throws IOException {
        Files.writeString(Files.createDirectories(Path.of("target", FOLDER)).resolve(name), actual);
        try (InputStream recorded = Golden.class.getResourceAsStream("/" + FOLDER + "/" + name)) {
            assertNotNull(recorded, "recorded: " + name);
            assertEquals(new String(recorded.readAllBytes(), StandardCharsets.UTF_8), actual, name);
        }
    }
}

package maplespread.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What another version's process reads: the files' names and their text. */
class InstanceRecordGoldenTest {
    private static final List<String> TEXTS = List.of(
            "maplespread-1 127.0.0.1:7070 STARTING 97b7a0bc\n",
            "maplespread-1 127.0.0.1:7070 SERVING 28d8f111\n",
            "maplespread-1 127.0.0.1:7070 ENDING 23e9eda3\n");

    @Test
    void theRecordOfEachPhaseIsWrittenAndReadTheSame() {
        for (InstanceRecord.Phase phase : InstanceRecord.Phase.values()) {
            InstanceRecord note = new InstanceRecord("127.0.0.1:7070", phase);
            assertEquals(TEXTS.get(phase.ordinal()), note.encode());
            assertEquals(Optional.of(note), InstanceRecord.parse(TEXTS.get(phase.ordinal())));
        }
        assertEquals(TEXTS.size(), InstanceRecord.Phase.values().length);
    }

    @Test
    void theFilesHaveTheSameNames(@TempDir Path dir) throws Exception {
        TreeMap<String, String> files = new TreeMap<>();
        try (InstanceLock one = InstanceLock.acquire(dir, "127.0.0.1:7070").orElseThrow()) {
            one.publish(InstanceRecord.Phase.SERVING);
            try (Stream<Path> all = Files.list(dir)) {
                for (Path file : (Iterable<Path>) all::iterator) {
                    files.put(file.getFileName().toString(), Files.readString(file));
                }
            }
        }
        assertEquals(List.of("", TEXTS.get(1)), List.copyOf(files.values()));
        String process = "maplespread-" + ProcessHandle.current().pid() + "-[0-9a-f]+";
        assertTrue(files.firstKey().matches(process + "[.]lock"), files.firstKey());
        assertTrue(files.lastKey().matches(process + "[.]note"), files.lastKey());
    }
}

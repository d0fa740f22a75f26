package maplespread.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class InstanceLockTest {
    private static final String HERE = "127.0.0.1:7070";

    @Test
    void seesLiveProcessesOfTheSameAddress(@TempDir Path dir) {
        try (InstanceLock old = InstanceLock.acquire(dir, HERE).orElseThrow()) {
            assertFalse(old.hasPeer());
            old.publish(InstanceRecord.Phase.SERVING);
            try (InstanceLock next = InstanceLock.acquire(dir, HERE).orElseThrow();
                    InstanceLock elsewhere =
                            InstanceLock.acquire(dir, "127.0.0.1:7071").orElseThrow()) {
                elsewhere.publish(InstanceRecord.Phase.SERVING);
                assertTrue(next.hasPeer());
                assertTrue(next.hasServingPeer());
                assertTrue(old.hasPeer(), "it is there, if not yet serving");
                assertFalse(old.hasServingPeer());
                next.publish(InstanceRecord.Phase.SERVING);
                assertTrue(old.hasServingPeer());
                next.publish(InstanceRecord.Phase.ENDING);
                assertFalse(old.hasServingPeer(), "who is ending takes nothing over");
            }
            assertFalse(old.hasPeer(), "it takes its share back");
        }
    }

    /** Earlier processes may have left locks that nobody holds, and damaged or foreign records. */
    @Test
    void deletesTheFilesOfDeadProcessesAndSkipsUnreadableRecords(@TempDir Path dir) throws Exception {
        String serving = new InstanceRecord(HERE, InstanceRecord.Phase.SERVING).encode();
        for (String text : List.of(serving, serving.substring(0, 9), "", "\u0001", "maplespread-9 x y z")) {
            Path lock = Files.writeString(dir.resolve("maplespread-1-1.lock"), "");
            Path recordFile = Files.writeString(dir.resolve("maplespread-1-1.note"), text);
            try (InstanceLock self = InstanceLock.acquire(dir, HERE).orElseThrow()) {
                assertFalse(self.hasPeer(), text);
                assertFalse(Files.exists(lock) || Files.exists(recordFile), "cleared away");
            }
        }
        try (InstanceLock live = InstanceLock.acquire(dir, HERE).orElseThrow();
                InstanceLock self = InstanceLock.acquire(dir, HERE).orElseThrow();
                Stream<Path> all = Files.list(dir)) {
            Path recordFile = all.filter(file -> file.toString().endsWith(".note"))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            Files.writeString(recordFile, "damaged");
            int seen = (live.hasPeer() ? 1 : 0) + (self.hasPeer() ? 1 : 0);
            assertEquals(1, seen, "only the damaged one is unseen");
        }
        assertEquals(Optional.empty(), InstanceLock.acquire(dir.resolve("none"), HERE));
    }

    @Property(tries = 200)
    void parsesARecordWholeOrNotAtAll(
            @ForAll @IntRange(max = 40) int index, @ForAll @CharRange(to = '~') char changed) {
        InstanceRecord written = new InstanceRecord(HERE, InstanceRecord.Phase.SERVING);
        String text = written.encode();
        assertEquals(Optional.of(written), InstanceRecord.parse(text));
        int position = index % (text.length() - 1);
        String damaged = text.substring(0, position) + changed + text.substring(position + 1);
        Optional<InstanceRecord> read = InstanceRecord.parse(damaged);
        assertTrue(read.isEmpty() || read.get().equals(written), damaged);
        assertTrue(InstanceRecord.parse(text.substring(0, position)).isEmpty(), "cut at " + position);
    }
}

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
    void aProcessSeesTheOthersOfItsAddressWhileTheyLive(@TempDir Path dir) {
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

    /** Guards a start among what earlier processes have left: unheld locks, damaged and foreign notes. */
    @Test
    void remainsOfEarlierProcessesAreClearedAndPassedOver(@TempDir Path dir) throws Exception {
        String serving = new InstanceRecord(HERE, InstanceRecord.Phase.SERVING).encode();
        for (String note : List.of(serving, serving.substring(0, 9), "", "\u0001", "maplespread-9 x y z")) {
            Path lock = Files.writeString(dir.resolve("maplespread-1-1.lock"), "");
            Path said = Files.writeString(dir.resolve("maplespread-1-1.note"), note);
            try (InstanceLock me = InstanceLock.acquire(dir, HERE).orElseThrow()) {
                assertFalse(me.hasPeer(), note);
                assertFalse(Files.exists(lock) || Files.exists(said), "cleared away");
            }
        }
        try (InstanceLock live = InstanceLock.acquire(dir, HERE).orElseThrow();
                InstanceLock me = InstanceLock.acquire(dir, HERE).orElseThrow();
                Stream<Path> all = Files.list(dir)) {
            Path note = all.filter(f -> f.toString().endsWith(".note"))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            Files.writeString(note, "damaged");
            int seen = (live.hasPeer() ? 1 : 0) + (me.hasPeer() ? 1 : 0);
            assertEquals(1, seen, "only the damaged one is unseen");
        }
        assertEquals(Optional.empty(), InstanceLock.acquire(dir.resolve("none"), HERE));
    }

    @Property(tries = 200)
    void aNoteIsReadBackWholeOrNotAtAll(@ForAll @IntRange(max = 40) int at, @ForAll @CharRange(to = '~') char c) {
        InstanceRecord note = new InstanceRecord(HERE, InstanceRecord.Phase.SERVING);
        String text = note.encode();
        assertEquals(Optional.of(note), InstanceRecord.parse(text));
        int i = at % (text.length() - 1);
        String damaged = text.substring(0, i) + c + text.substring(i + 1);
        Optional<InstanceRecord> read = InstanceRecord.parse(damaged);
        assertTrue(read.isEmpty() || read.get().equals(note), damaged);
        assertTrue(InstanceRecord.parse(text.substring(0, i)).isEmpty(), "cut at " + i);
    }
}

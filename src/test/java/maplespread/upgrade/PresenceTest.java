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

class PresenceTest {
    private static final String HERE = "127.0.0.1:7070";

    @Test
    void aProcessSeesTheOthersOfItsAddressWhileTheyLive(@TempDir Path dir) {
        try (Presence old = Presence.join(dir, HERE).orElseThrow()) {
            assertFalse(old.shared());
            old.say(Note.State.SERVING);
            try (Presence next = Presence.join(dir, HERE).orElseThrow();
                    Presence elsewhere = Presence.join(dir, "127.0.0.1:7071").orElseThrow()) {
                elsewhere.say(Note.State.SERVING);
                assertTrue(next.shared());
                assertTrue(next.relieved());
                assertTrue(old.shared(), "it is there, if not yet serving");
                assertFalse(old.relieved());
                next.say(Note.State.SERVING);
                assertTrue(old.relieved());
                next.say(Note.State.ENDING);
                assertFalse(old.relieved(), "who is ending takes nothing over");
            }
            assertFalse(old.shared(), "it takes its share back");
        }
    }

    /** Guards a start among what earlier processes have left: unheld locks, damaged and foreign notes. */
    @Test
    void remainsOfEarlierProcessesAreClearedAndPassedOver(@TempDir Path dir) throws Exception {
        String serving = new Note(HERE, Note.State.SERVING).text();
        for (String note : List.of(serving, serving.substring(0, 9), "", "\u0001", "maplespread-9 x y z")) {
            Path lock = Files.writeString(dir.resolve("maplespread-1-1.lock"), "");
            Path said = Files.writeString(dir.resolve("maplespread-1-1.note"), note);
            try (Presence me = Presence.join(dir, HERE).orElseThrow()) {
                assertFalse(me.shared(), note);
                assertFalse(Files.exists(lock) || Files.exists(said), "cleared away");
            }
        }
        try (Presence live = Presence.join(dir, HERE).orElseThrow();
                Presence me = Presence.join(dir, HERE).orElseThrow();
                Stream<Path> all = Files.list(dir)) {
            Path note = all.filter(f -> f.toString().endsWith(".note"))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            Files.writeString(note, "damaged");
            int seen = (live.shared() ? 1 : 0) + (me.shared() ? 1 : 0);
            assertEquals(1, seen, "only the damaged one is unseen");
        }
        assertEquals(Optional.empty(), Presence.join(dir.resolve("none"), HERE));
    }

    @Property(tries = 200)
    void aNoteIsReadBackWholeOrNotAtAll(@ForAll @IntRange(max = 40) int at, @ForAll @CharRange(to = '~') char c) {
        Note note = new Note(HERE, Note.State.SERVING);
        String text = note.text();
        assertEquals(Optional.of(note), Note.read(text));
        int i = at % (text.length() - 1);
        String damaged = text.substring(0, i) + c + text.substring(i + 1);
        Optional<Note> read = Note.read(damaged);
        assertTrue(read.isEmpty() || read.get().equals(note), damaged);
        assertTrue(Note.read(text.substring(0, i)).isEmpty(), "cut at " + i);
    }
}

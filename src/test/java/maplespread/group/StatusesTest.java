package maplespread.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.figures.Figures.Totals;
import org.junit.jupiter.api.Test;

class StatusesTest {
    private static Status status(long run, long number, String version) {
        return new Status(run, number, version, "a", Status.Phase.SERVING, 0.25, 0, 12.5, 8);
    }

    /** What comes late, twice, or from a run before never takes the place of what is newer. */
    @Test
    void theNewestWordCountsInWhateverOrder() {
        Statuses all = new Statuses(1, "", "", (to, bytes) -> {});
        long[][] words = {{5, 3}, {5, 2}, {5, 3}, {4, 99}, {6, 1}, {5, 4}};
        long[] kept = {3, 3, 3, 3, 1, 1};
        for (int i = 0; i < words.length; i++) {
            all.heard("m", status(words[i][0], words[i][1], "v").bytes(), i);
            assertEquals(kept[i], all.of("m").orElseThrow().status().number(), "after word " + i);
        }
        assertEquals(4, all.of("m").orElseThrow().atMs(), "a repeat is no sign of life");
        all.keep(List.of("other"));
        assertTrue(all.of("m").isEmpty());
    }

    /** Broken bytes are no status, and a long name is cut: a word stays within 200 bytes. */
    @Test
    void wordsAreBoundedAndBrokenOnesPassedOver() {
        byte[] sound = status(7, 8, "v".repeat(500)).bytes();
        assertTrue(sound.length <= 200, "" + sound.length);
        assertEquals("v".repeat(64), Status.read(sound).orElseThrow().version());
        assertEquals(
                status(7, 8, "1.2"), Status.read(status(7, 8, "1.2").bytes()).orElseThrow());
        for (int n = 0; n < sound.length; n++) {
            assertTrue(Status.read(Arrays.copyOf(sound, n)).isEmpty(), "cut to " + n);
        }
        assertTrue(Status.read(Arrays.copyOf(sound, sound.length + 1)).isEmpty(), "one too many");
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            byte[] broken = sound.clone();
            broken[random.nextInt(broken.length)] ^= (byte) (1 << random.nextInt(8));
            Status.read(broken)
                    .ifPresent(s -> assertFalse(s.refused() < 0
                            || s.refused() > 1
                            || Double.isNaN(s.refused() + s.errors() + s.waitMs())
                            || s.samples() < 0));
        }
    }

    /** Of 200 others each is told within four rounds, 64 in one; shares are of the last rounds alone. */
    @Test
    void allAreToldInTurnOfTheLastSeconds() {
        List<String> others = IntStream.range(0, 200).mapToObj(i -> "m" + i).toList();
        List<String> told = new ArrayList<>();
        Statuses all = new Statuses(1, "", "", (to, bytes) -> told.add(to));
        Totals then = new Totals(0, 1000, 0, 0); // refusals of long ago
        for (int round = 0; round < 21; round++) {
            told.clear();
            all.tell("me", Status.Phase.SERVING, then, others, round);
            assertEquals(64, new HashSet<>(told).size());
        }
        HashSet<String> four = new HashSet<>();
        for (int round = 0; round < 4; round++) {
            told.clear();
            all.tell("me", Status.Phase.SERVING, new Totals(30, 1010, 0, 30 * 5_000_000L), others, 30);
            four.addAll(told);
        }
        assertEquals(200, four.size());
        Status mine = all.of("me").orElseThrow().status();
        assertEquals(40, mine.samples());
        assertEquals(0.25, mine.refused());
        assertEquals(5, mine.waitMs());
    }

    /** A part's write leaves the others' texts as they were, to the letter; each has its room. */
    @Test
    void partsShareTheValueBySections() throws SectionTooLarge {
        String text = "{\"n\":1.0E9,\"s\":\"\u0001\"}";
        String value = Sections.write(Sections.write("", "a", text), "b", "1");
        assertEquals(value, Sections.write(value, "b", "1"), "a read changes nothing");
        String next = Sections.write(value, "b", "2");
        assertEquals(text, Sections.read(next, "a"));
        assertEquals("2", Sections.read(next, "b"));
        assertEquals("", Sections.read("", "a"));
        String all = "";
        for (String part : List.of("release", "partition")) {
            int most = Sections.most(part) - 2; // and its quotes
            String two = "\u00e9".repeat(most / 2);
            for (String full : List.of("x".repeat(most), "\"".repeat(most / 2), two)) {
                all = Sections.write(all, part, full);
                String before = all;
                SectionTooLarge e =
                        assertThrows(SectionTooLarge.class, () -> Sections.write(before, part, full + "xx"));
                assertTrue(e.wrong().contains(part + " would have " + (most + 4) + " bytes"), e.wrong());
            }
        }
        assertTrue(all.getBytes(java.nio.charset.StandardCharsets.UTF_8).length <= 48 * 1024, "all at once");
    }
}

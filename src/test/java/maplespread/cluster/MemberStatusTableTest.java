package maplespread.cluster;

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
import maplespread.metrics.Metrics.Totals;
import org.junit.jupiter.api.Test;

class MemberStatusTableTest {
    private static MemberStatus status(long run, long number, String version) {
        return new MemberStatus(run, number, version, "a", MemberStatus.Phase.SERVING, 0.25, 0, 12.5, 8);
    }

    /** What comes late, twice, or from a run before never takes the place of what is newer. */
    @Test
    void theNewestStatusCountsInWhateverOrder() {
        MemberStatusTable all = new MemberStatusTable(1, "", "", (to, bytes) -> {});
        long[][] words = {{5, 3}, {5, 2}, {5, 3}, {4, 99}, {6, 1}, {5, 4}};
        long[] kept = {3, 3, 3, 3, 1, 1};
        for (int i = 0; i < words.length; i++) {
            all.receive("m", status(words[i][0], words[i][1], "v").encode(), i);
            assertEquals(kept[i], all.find("m").orElseThrow().status().sequence(), "after word " + i);
        }
        assertEquals(4, all.find("m").orElseThrow().receivedAtMs(), "a repeat is no sign of life");
        all.retainMembers(List.of("other"));
        assertTrue(all.find("m").isEmpty());
    }

    /** Broken bytes are no status, and a long name is cut: a word stays within 200 bytes. */
    @Test
    void statusesAreBoundedAndBrokenOnesAreSkipped() {
        byte[] sound = status(7, 8, "v".repeat(500)).encode();
        assertTrue(sound.length <= 200, "" + sound.length);
        assertEquals("v".repeat(64), MemberStatus.decode(sound).orElseThrow().version());
        assertEquals(
                status(7, 8, "1.2"),
                MemberStatus.decode(status(7, 8, "1.2").encode()).orElseThrow());
        for (int n = 0; n < sound.length; n++) {
            assertTrue(MemberStatus.decode(Arrays.copyOf(sound, n)).isEmpty(), "cut to " + n);
        }
        assertTrue(MemberStatus.decode(Arrays.copyOf(sound, sound.length + 1)).isEmpty(), "one too many");
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            byte[] broken = sound.clone();
            broken[random.nextInt(broken.length)] ^= (byte) (1 << random.nextInt(8));
            MemberStatus.decode(broken)
                    .ifPresent(s -> assertFalse(s.rejectedShare() < 0
                            || s.rejectedShare() > 1
                            || Double.isNaN(s.rejectedShare() + s.errorShare() + s.meanLatencyMs())
                            || s.samples() < 0));
        }
    }

    /** Of 200 others each is told within four rounds, 64 in one; shares are of the last rounds alone. */
    @Test
    void allMembersAreSentTheFiguresOfTheLastSecondsInTurn() {
        List<String> others = IntStream.range(0, 200).mapToObj(i -> "m" + i).toList();
        List<String> told = new ArrayList<>();
        MemberStatusTable all = new MemberStatusTable(1, "", "", (to, bytes) -> told.add(to));
        Totals then = new Totals(0, 1000, 0, 0); // refusals of long ago
        for (int round = 0; round < 21; round++) {
            told.clear();
            all.broadcast("me", MemberStatus.Phase.SERVING, then, others, round);
            assertEquals(64, new HashSet<>(told).size());
        }
        HashSet<String> four = new HashSet<>();
        for (int round = 0; round < 4; round++) {
            told.clear();
            all.broadcast("me", MemberStatus.Phase.SERVING, new Totals(30, 1010, 0, 30 * 5_000_000L), others, 30);
            four.addAll(told);
        }
        assertEquals(200, four.size());
        MemberStatus mine = all.find("me").orElseThrow().status();
        assertEquals(40, mine.samples());
        assertEquals(0.25, mine.rejectedShare());
        assertEquals(5, mine.meanLatencyMs());
    }

    /** A part's write leaves the others' texts as they were, to the letter; each has its room. */
    @Test
    void partsShareTheValueBySections() throws SectionTooLargeException {
        String text = "{\"n\":1.0E9,\"s\":\"\u0001\"}";
        String value = SharedState.write(SharedState.write("", "a", text), "b", "1");
        assertEquals(value, SharedState.write(value, "b", "1"), "a read changes nothing");
        String next = SharedState.write(value, "b", "2");
        assertEquals(text, SharedState.read(next, "a"));
        assertEquals("2", SharedState.read(next, "b"));
        assertEquals("", SharedState.read("", "a"));
        String all = "";
        for (String part : List.of("release", "partition")) {
            int most = SharedState.maxBytes(part) - 2; // and its quotes
            String two = "\u00e9".repeat(most / 2);
            for (String full : List.of("x".repeat(most), "\"".repeat(most / 2), two)) {
                all = SharedState.write(all, part, full);
                String before = all;
                SectionTooLargeException e = assertThrows(
                        SectionTooLargeException.class, () -> SharedState.write(before, part, full + "xx"));
                assertTrue(e.problem().contains(part + " would have " + (most + 4) + " bytes"), e.problem());
            }
        }
        assertTrue(all.getBytes(java.nio.charset.StandardCharsets.UTF_8).length <= 48 * 1024, "all at once");
    }
}

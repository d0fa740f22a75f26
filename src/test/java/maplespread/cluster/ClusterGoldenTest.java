package maplespread.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.IntStream;
import maplespread.metrics.Metrics.Totals;
import maplespread.testing.GoldenFile;
import org.junit.jupiter.api.Test;

/** The bytes of a member's status and the text of the shared value, as they were recorded. */
class ClusterGoldenTest {
    @Test
    void statusesOfEveryPhaseKeepTheirBytes() throws IOException {
        List<String> lines = new ArrayList<>();
        for (MemberStatus.Phase phase : MemberStatus.Phase.values()) {
            MemberStatus status =
                    new MemberStatus(1_700_000_000_001L, 42, "1.2.3", "caf\u00e9", phase, 0.25, 0.125, 17.5, 800);
            lines.add(phase + " " + HexFormat.of().formatHex(status.encode()));
            assertEquals(status, MemberStatus.decode(status.encode()).orElseThrow());
        }
        MemberStatus cut =
                new MemberStatus(1, 2, "v".repeat(100), "z".repeat(100), MemberStatus.Phase.SERVING, 0, 1, 0, 0);
        lines.add("cut " + HexFormat.of().formatHex(cut.encode()));
        GoldenFile.check("cluster/statuses.txt", lines);
    }

    /** Which members a round reaches, and the shares and the mean latency that it reports. */
    @Test
    void roundsReachTheSameMembersWithTheSameFigures() throws IOException {
        List<String> others = IntStream.range(0, 100).mapToObj(i -> "m" + i).toList();
        List<String> lines = new ArrayList<>();
        MemberStatusTable table = new MemberStatusTable(7, "1.0", "z0", (to, bytes) -> {
            if (to.endsWith("5")) {
                lines.add(to + " " + HexFormat.of().formatHex(bytes));
            }
        });
        for (int round = 0; round < 24; round++) {
            Totals totals = totals(round);
            table.broadcast(
                    "self",
                    MemberStatus.Phase.SERVING,
                    totals,
                    round < 20 ? others.subList(0, 9) : others,
                    500L * round);
        }
        GoldenFile.check("cluster/rounds.txt", lines);
    }

    private static Totals totals(int round) {
        return new Totals(10L * round * round, 3L * round, round / 4, 2_000_000L * round * round);
    }

    @Test
    void sectionsKeepTheirText() throws SectionTooLargeException {
        String one = SharedState.write("", "release", "{\"a\":\"<b>&'\u20ac\"}");
        assertEquals("{\"release\":\"{\\\"a\\\":\\\"<b>&'\u20ac\\\"}\"}", one);
        String two = SharedState.write(one, "partition", "x\ny");
        assertEquals(one.substring(0, one.length() - 1) + ",\"partition\":\"x\\ny\"}", two);
        assertEquals("{\"release\":\"\",\"partition\":\"x\\ny\"}", SharedState.write(two, "release", ""));
        assertEquals("x\ny", SharedState.read(two, "partition"));
        assertEquals("", SharedState.read(two, "relief"));
        assertEquals(
                List.of(32_768, 15_360), List.of(SharedState.maxBytes("release"), SharedState.maxBytes("partition")));
    }

    @Test
    void aSectionThatIsTooLargeIsRefusedInTheSameWords() {
        SectionTooLargeException error =
                assertThrows(SectionTooLargeException.class, () -> SharedState.write("", "relief", "x".repeat(15_359)));
        assertEquals(
                "the section relief would have 15361 bytes, of 15360 at most; still works: the section stays as it"
                        + " was; all other parts, and what makes this one smaller; to do: end or remove what relief no"
                        + " longer needs",
                error.getMessage());
    }
}

package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import maplespread.lab.agreement.VirtualAgreement;
import org.junit.jupiter.api.Test;

/** What agreement sends, in exact counts: its cost must not grow with the fleet, nor with the value. */
class ConsensusCostTest {
    private static final List<String> ELECTORS =
            IntStream.range(0, 6).mapToObj(i -> "n10" + i).toList();
    private static final long SETTLE_MS = 10_000;
    private static final long READ_MS = 50;
    private static final long LOOKED_AFTER_MS = 4_000;
    private static final long IDLE_ROUND_MS = 4_500; // of 60 members, six of them electors
    private static final int LONG = 20_000;

    /** A sound fleet that has agreed on a text of this length and then had time to spread it. */
    private static VirtualAgreement settled(int members, int textLength, long seed) {
        VirtualAgreement g = new VirtualAgreement(ELECTORS, seed);
        IntStream.range(0, members).forEach(i -> g.start("n" + (100 + i)));
        g.run(SETTLE_MS);
        List<ChangeResult> results = new ArrayList<>();
        g.node("n100").change("", v -> "x".repeat(textLength), 5000, results::add);
        g.run(SETTLE_MS);
        assertEquals(ChangeResult.Outcome.DECIDED, results.get(0).outcome());
        assertTrue(g.alive().stream().allMatch(n -> n.core.decidedValue().text().length() == textLength));
        return g;
    }

    /** Bytes of all messages while a member that is no elector reads, before anybody looks for news. */
    private static long readBytes(VirtualAgreement g, int reader) {
        List<ChangeResult> results = new ArrayList<>();
        long before = g.sentBytes();
        g.node("n" + (100 + reader)).core.change(g.now(), Mutation.READ, g.now() + 900, results::add);
        g.run(READ_MS);
        assertEquals(ChangeResult.Outcome.DECIDED, results.get(0).outcome());
        return g.sentBytes() - before;
    }

    private static long idleBytes(VirtualAgreement g, long ms) {
        long before = g.sentBytes();
        g.run(ms);
        return g.sentBytes() - before;
    }

    @Test
    void aReadCostsTheSameInEveryFleetAndForEveryValue() {
        for (int members : new int[] {25, 100}) {
            for (int length : new int[] {10, LONG}) {
                VirtualAgreement g = settled(members, length, members);
                readBytes(g, 20); // acquaints the reader with the electors
                long bytes = readBytes(g, 20);
                assertTrue(bytes < LONG, members + " members, text of " + length + ": " + bytes + " bytes a read");
            }
        }
    }

    /** With nothing to do: what an elector hears and says is bounded whatever the fleet, and a message's size is, too. */
    @Test
    void anIdleFleetsMessagesDoNotGrowWithIt() {
        for (int members : new int[] {25, 100}) {
            VirtualAgreement g = settled(members, LONG, 3);
            long sent = g.sent();
            long bytes = idleBytes(g, 20_000);
            double messages = g.sent() - sent;
            assertTrue(bytes / messages < 450, members + " members: " + bytes / messages + " bytes a message");
            double perMember = bytes / 20.0 / members;
            assertTrue(perMember < 1200, members + " members: " + perMember + " bytes a second and member");
        }
    }

    /** A decision whose first telling is lost everywhere is known to nearly all in 4 s, and to the last a round later. */
    @Test
    void aDecisionWhoseAnnouncementWasLostIsSpreadSoon() {
        int members = 60;
        for (int seed = 0; seed < 6; seed++) {
            VirtualAgreement g = settled(members, 10, seed);
            g.run(seed * 750L); // at any moment between two rounds
            List<ChangeResult> results = new ArrayList<>();
            IntStream.range(6, members).forEach(i -> ELECTORS.forEach(e -> g.cut(e, "n" + (100 + i))));
            g.node("n100").change("", v -> "later", 5000, results::add);
            g.run(300);
            assertEquals(ChangeResult.Outcome.DECIDED, results.get(0).outcome());
            g.heal();
            g.run(LOOKED_AFTER_MS);
            assertTrue(lacking(g) <= 3, "seed " + seed + ": " + lacking(g) + " lack it soon after");
            g.run(IDLE_ROUND_MS);
            assertEquals(0, lacking(g), "seed " + seed);
        }
    }

    private static long lacking(VirtualAgreement g) {
        return g.alive().stream()
                .filter(n -> !n.core.decidedValue().text().equals("later"))
                .count();
    }
}

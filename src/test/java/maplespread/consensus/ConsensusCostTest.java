package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import maplespread.lab.agreement.VirtualAgreement;
import org.junit.jupiter.api.Test;

/** Bounds on the messages and bytes sent by consensus, which must not grow with the fleet or with the value. */
class ConsensusCostTest {
    private static final List<String> ELECTORS =
            IntStream.range(0, 6).mapToObj(i -> "n10" + i).toList();
    private static final long SETTLE_MS = 10_000;
    private static final long READ_DURATION_MS = 50;
    private static final long FREQUENT_COMPARISONS_MS = 4_000;
    /** Interval between comparisons in a fleet of 60 members with six electors. */
    private static final long IDLE_ROUND_MS = 4_500;

    private static final int LONG_TEXT_LENGTH = 20_000;

    /** A healthy fleet in which a text of this length was decided and has reached all members. */
    private static VirtualAgreement settled(int members, int textLength, long seed) {
        VirtualAgreement network = new VirtualAgreement(ELECTORS, seed);
        IntStream.range(0, members).forEach(i -> network.start("n" + (100 + i)));
        network.run(SETTLE_MS);
        List<ChangeResult> results = new ArrayList<>();
        network.node("n100").change("", v -> "x".repeat(textLength), 5000, results::add);
        network.run(SETTLE_MS);
        assertEquals(ChangeResult.Outcome.DECIDED, results.get(0).outcome());
        assertTrue(network.alive().stream()
                .allMatch(n -> n.core.decidedValue().text().length() == textLength));
        return network;
    }

    /** Bytes of all messages during a read by a member that is not an elector, before the next comparison. */
    private static long readBytes(VirtualAgreement network, int reader) {
        List<ChangeResult> results = new ArrayList<>();
        long before = network.sentBytes();
        network.node("n" + (100 + reader)).core.change(network.now(), Mutation.READ, network.now() + 900, results::add);
        network.run(READ_DURATION_MS);
        assertEquals(ChangeResult.Outcome.DECIDED, results.get(0).outcome());
        return network.sentBytes() - before;
    }

    private static long idleBytes(VirtualAgreement network, long ms) {
        long before = network.sentBytes();
        network.run(ms);
        return network.sentBytes() - before;
    }

    @Test
    void theCostOfAReadIsIndependentOfFleetAndValueSize() {
        for (int members : new int[] {25, 100}) {
            for (int length : new int[] {10, LONG_TEXT_LENGTH}) {
                VirtualAgreement network = settled(members, length, members);
                readBytes(network, 20); // the reader and the electors learn each other's holdings
                long bytes = readBytes(network, 20);
                assertTrue(
                        bytes < LONG_TEXT_LENGTH,
                        members + " members, text of " + length + ": " + bytes + " bytes a read");
            }
        }
    }

    /** In an idle fleet, the traffic per member and the size of a message are bounded for every fleet size. */
    @Test
    void idleTrafficPerMemberDoesNotGrowWithTheFleet() {
        for (int members : new int[] {25, 100}) {
            VirtualAgreement network = settled(members, LONG_TEXT_LENGTH, 3);
            long sent = network.sent();
            long bytes = idleBytes(network, 20_000);
            double messages = network.sent() - sent;
            assertTrue(bytes / messages < 450, members + " members: " + bytes / messages + " bytes a message");
            double perMember = bytes / 20.0 / members;
            assertTrue(perMember < 1200, members + " members: " + perMember + " bytes a second and member");
        }
    }

    /** A decision whose announcements were lost reaches nearly all members in 4 s, and the rest an interval later. */
    @Test
    void aDecisionWhoseAnnouncementWasLostReachesAllMembers() {
        int members = 60;
        for (int seed = 0; seed < 6; seed++) {
            VirtualAgreement network = settled(members, 10, seed);
            network.run(seed * 750L); // at varying times between two comparisons
            List<ChangeResult> results = new ArrayList<>();
            IntStream.range(6, members).forEach(i -> ELECTORS.forEach(e -> network.cut(e, "n" + (100 + i))));
            network.node("n100").change("", v -> "later", 5000, results::add);
            network.run(300);
            assertEquals(ChangeResult.Outcome.DECIDED, results.get(0).outcome());
            network.heal();
            network.run(FREQUENT_COMPARISONS_MS);
            assertTrue(
                    membersWithoutDecision(network) <= 3,
                    "seed " + seed + ": " + membersWithoutDecision(network) + " lack it soon after");
            network.run(IDLE_ROUND_MS);
            assertEquals(0, membersWithoutDecision(network), "seed " + seed);
        }
    }

    private static long membersWithoutDecision(VirtualAgreement network) {
        return network.alive().stream()
                .filter(n -> !n.core.decidedValue().text().equals("later"))
                .count();
    }
}

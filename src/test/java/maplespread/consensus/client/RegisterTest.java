package maplespread.consensus.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;
import maplespread.consensus.ChangeRejectedException;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusNode;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import org.junit.jupiter.api.Test;

/** Registers of four instances over UDP. */
class RegisterTest {
    private static final long SOON = 60_000;
    private static final List<String> ELECTORS = List.of("g0", "g1", "g2");
    private final List<String> at = new ArrayList<>();
    private final ClusterTransport[] groups = new ClusterTransport[4];
    private final ReplicatedRegister[] registers = new ReplicatedRegister[4];

    private static LinkedHashMap<Integer, byte[]> keys() {
        LinkedHashMap<Integer, byte[]> keys = new LinkedHashMap<>();
        keys.put(1, "the secret numbered 1".getBytes());
        return keys;
    }

    private void start(int i) throws Exception {
        groups[i] = new ClusterTransport(MembershipSettings.of("g" + i, at.get(i), at.subList(0, 2)), keys(), i);
        registers[i] = new ReplicatedRegister(ConsensusSettings.of("g" + i, ELECTORS), groups[i], i);
    }

    private void stop(int i) {
        registers[i].close();
        groups[i].close();
    }

    private static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + SOON * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "never came: " + what);
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Test
    void whatOneDecidesAllKnowAndARunThatBeginsReadsItBeforeItVotes() throws Exception {
        List<DatagramSocket> free = new ArrayList<>(); // all at once, so that none comes twice
        for (int i = 0; i < 4; i++) {
            free.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            at.add("127.0.0.1:" + free.get(i).getLocalPort());
        }
        free.forEach(DatagramSocket::close);
        for (int i = 0; i < 4; i++) {
            start(i);
        }
        LinkedBlockingQueue<VersionedValue> heard = new LinkedBlockingQueue<>();
        registers[2].addListener(heard::add);
        String most = "x".repeat(ConsensusNode.MAX_TEXT_BYTES - 1);
        ChangeResult first = registers[3].change(v -> most, SOON); // of one that is no elector
        assertEquals(ChangeResult.Outcome.DECIDED, first.outcome(), first.toString());
        await("the word to all", () -> registers[0].decidedValue() != null && registers[1].decidedValue() != null);
        assertEquals(first.value(), heard.take());
        ChangeResult refused = registers[0].change(
                v -> {
                    throw new ChangeRejectedException("taken", "all else", "wait");
                },
                SOON);
        assertEquals("taken", ((ChangeRejectedException) refused.error()).problem());
        assertEquals(first.value(), refused.value());
        stop(1);
        start(1); // under the same name, and empty
        await("sight", () -> !registers[1].recovering());
        stop(0); // so that the new run's vote is needed
        ChangeResult second = registers[2].change(v -> v.text() + "y", SOON);
        assertEquals(most + "y", second.value().text());
        assertEquals(second.value(), registers[1].change(Mutation.READ, SOON).value());
        for (int i = 1; i < 4; i++) {
            stop(i);
        }
    }

    /** The channel carries what fits, by name, and says so where it cannot. */
    @Test
    void aChannelCarriesUpToItsMostAndListensElsewhereThanItSays() throws Exception {
        try (DatagramSocket between = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int listen = free.getLocalPort();
            free.close();
            String front = "127.0.0.1:" + between.getLocalPort();
            Thread forwards = new Thread(() -> {
                byte[] buffer = new byte[65_536];
                try {
                    while (true) {
                        java.net.DatagramPacket p = new java.net.DatagramPacket(buffer, buffer.length);
                        between.receive(p);
                        p.setSocketAddress(new InetSocketAddress("127.0.0.1", listen));
                        between.send(p);
                    }
                } catch (java.io.IOException e) {
                    return; // closed at the test's end
                }
            });
            forwards.setDaemon(true);
            forwards.start();
            LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
            MembershipSettings set = MembershipSettings.of("a", front, List.of());
            try (ClusterTransport a = new ClusterTransport(set, "127.0.0.1:" + listen, keys(), 1);
                    DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                int port = other.getLocalPort();
                other.close();
                set = MembershipSettings.of("b", "127.0.0.1:" + port, List.of(front));
                try (ClusterTransport b = new ClusterTransport(set, keys(), 2)) {
                    a.registerChannel(2, (from, bytes) -> heard.add(from + ' ' + bytes.length));
                    await(
                            "the way there",
                            () -> b.send(2, "a", new byte[ClusterTransport.MAX_PAYLOAD_BYTES])
                                    && !heard.isEmpty()); // a packet may be lost, also here
                    assertEquals("b " + ClusterTransport.MAX_PAYLOAD_BYTES, heard.take());
                    assertTrue(!b.send(2, "a", new byte[ClusterTransport.MAX_PAYLOAD_BYTES + 1]), "too long");
                    assertTrue(!b.send(2, "c", new byte[1]), "not known");
                }
            }
        }
    }
}

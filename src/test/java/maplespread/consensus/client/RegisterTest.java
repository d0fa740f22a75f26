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

/** Replicated registers of four instances over UDP. */
class RegisterTest {
    private static final long TIMEOUT_MS = 60_000;
    private static final List<String> ELECTORS = List.of("g0", "g1", "g2");
    private final List<String> addresses = new ArrayList<>();
    private final ClusterTransport[] groups = new ClusterTransport[4];
    private final ReplicatedRegister[] registers = new ReplicatedRegister[4];

    private static LinkedHashMap<Integer, byte[]> keys() {
        LinkedHashMap<Integer, byte[]> keys = new LinkedHashMap<>();
        keys.put(1, "the secret numbered 1".getBytes());
        return keys;
    }

    private void start(int i) throws Exception {
        groups[i] = new ClusterTransport(
                MembershipSettings.of("g" + i, addresses.get(i), addresses.subList(0, 2)), keys(), i);
        registers[i] = new ReplicatedRegister(ConsensusSettings.of("g" + i, ELECTORS), groups[i], i);
    }

    private void stop(int i) {
        registers[i].close();
        groups[i].close();
    }

    private static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
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
    void aDecidedValueReachesAllMembersAndARestartedOneRecoversItBeforeItVotes() throws Exception {
        List<DatagramSocket> free = new ArrayList<>(); // opened together so that all ports differ
        for (int i = 0; i < 4; i++) {
            free.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
            addresses.add("127.0.0.1:" + free.get(i).getLocalPort());
        }
        free.forEach(DatagramSocket::close);
        for (int i = 0; i < 4; i++) {
            start(i);
        }
        LinkedBlockingQueue<VersionedValue> received = new LinkedBlockingQueue<>();
        registers[2].addListener(received::add);
        String longest = "x".repeat(ConsensusNode.MAX_TEXT_BYTES - 1);
        ChangeResult first = registers[3].change(v -> longest, TIMEOUT_MS); // by a member that is not an elector
        assertEquals(ChangeResult.Outcome.DECIDED, first.outcome(), first.toString());
        await(
                "the decision at other electors",
                () -> registers[0].decidedValue() != null && registers[1].decidedValue() != null);
        assertEquals(first.value(), received.take());
        ChangeResult rejected = registers[0].change(
                v -> {
                    throw new ChangeRejectedException("taken", "all else", "wait");
                },
                TIMEOUT_MS);
        assertEquals("taken", ((ChangeRejectedException) rejected.error()).problem());
        assertEquals(first.value(), rejected.value());
        stop(1);
        start(1); // under the same name, without state
        await("recovery", () -> !registers[1].recovering());
        stop(0); // so that the vote of the new incarnation is needed
        ChangeResult second = registers[2].change(v -> v.text() + "y", TIMEOUT_MS);
        assertEquals(longest + "y", second.value().text());
        assertEquals(
                second.value(), registers[1].change(Mutation.READ, TIMEOUT_MS).value());
        for (int i = 1; i < 4; i++) {
            stop(i);
        }
    }

    /**
     * A channel delivers payloads up to the maximum size to a member by name, also if the member listens on another
     * address than it advertises. A failed send is reported.
     */
    @Test
    void aChannelDeliversUpToItsMaximumPayloadToAnAdvertisedAddress() throws Exception {
        try (DatagramSocket forwarder = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            int listenPort = free.getLocalPort();
            free.close();
            String advertised = "127.0.0.1:" + forwarder.getLocalPort();
            Thread forwarding = new Thread(() -> {
                byte[] buffer = new byte[65_536];
                try {
                    while (true) {
                        java.net.DatagramPacket p = new java.net.DatagramPacket(buffer, buffer.length);
                        forwarder.receive(p);
                        p.setSocketAddress(new InetSocketAddress("127.0.0.1", listenPort));
                        forwarder.send(p);
                    }
                } catch (java.io.IOException e) {
                    return; // closed at the end of the test
                }
            });
            forwarding.setDaemon(true);
            forwarding.start();
            LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
            MembershipSettings settings = MembershipSettings.of("a", advertised, List.of());
            try (ClusterTransport a = new ClusterTransport(settings, "127.0.0.1:" + listenPort, keys(), 1);
                    DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                int port = other.getLocalPort();
                other.close();
                settings = MembershipSettings.of("b", "127.0.0.1:" + port, List.of(advertised));
                try (ClusterTransport b = new ClusterTransport(settings, keys(), 2)) {
                    a.registerChannel(2, (from, bytes) -> received.add(from + ' ' + bytes.length));
                    await(
                            "the delivery",
                            () -> b.send(2, "a", new byte[ClusterTransport.MAX_PAYLOAD_BYTES])
                                    && !received.isEmpty()); // a packet may be lost even on loopback
                    assertEquals("b " + ClusterTransport.MAX_PAYLOAD_BYTES, received.take());
                    assertTrue(!b.send(2, "a", new byte[ClusterTransport.MAX_PAYLOAD_BYTES + 1]), "too long");
                    assertTrue(!b.send(2, "c", new byte[1]), "not known");
                }
            }
        }
    }
}

package maplespread.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import maplespread.lab.membership.VirtualGroup;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.PacketAuthenticator.DropReason;
import maplespread.membership.SwimMessage.Kind;
import maplespread.membership.client.ClusterTransport;
import org.junit.jupiter.api.Test;

/**
 * Groups on a virtual network, by seeds that are printed where one fails; then the seals, and real sockets.
 */
class SwimMembershipTest {
    private static VirtualGroup group(int size, long seed) {
        VirtualGroup g = new VirtualGroup(n -> MembershipSettings.of(n, n, List.of("m0", "m1")), seed);
        for (int i = 0; i < size; i++) {
            g.start("m" + i);
        }
        return g;
    }

    /** What a node holds to be there, itself among them. */
    private static List<String> view(VirtualGroup.Node n) {
        List<String> names = n.core().members().stream()
                .filter(m -> !m.departed())
                .map(MemberUpdate::name)
                .collect(Collectors.toList());
        names.add(n.name);
        names.sort(null);
        return names;
    }

    private static boolean agreed(VirtualGroup g) {
        List<String> alive = g.alive().stream().map(n -> n.name).sorted().toList();
        return g.alive().stream().allMatch(n -> view(n).equals(alive));
    }

    private static long until(VirtualGroup g, long mostMs, String what) {
        long start = g.now();
        while (!agreed(g)) {
            assertTrue(
                    g.now() - start < mostMs,
                    what + " not within " + mostMs + " ms: "
                            + g.alive().stream().map(n -> n.name + view(n)).toList());
            g.run(20);
        }
        return g.now() - start;
    }

    @Test
    void aDeathIsKnownToAllSoonAndToNobodyElse() {
        for (int size : new int[] {2, 3, 7, 30}) {
            VirtualGroup g = group(size, size);
            until(g, 10_000, "joining of " + size);
            g.kill("m1");
            until(g, 6000, "a death among " + size);
            assertTrue(
                    g.deaths().stream().allMatch(d -> d.whom().equals("m1")),
                    g.deaths().toString());
        }
    }

    /** Guards the others from the judgement of one that has itself stood still. */
    @Test
    void onePausedForTwoSecondsTakesNobodyForDeadAndIsBackAtOnce() {
        for (int seed = 0; seed < 40; seed++) {
            VirtualGroup g = group(5, seed);
            until(g, 10_000, "joining");
            g.run(new SplittableRandom(seed).nextInt(300));
            g.pause("m2", 2000);
            g.run(2000);
            until(g, 5000, "the return, seed " + seed);
            g.run(3000);
            assertTrue(g.deaths().stream().noneMatch(d -> d.by().equals("m2")), "seed " + seed + g.deaths());
            assertTrue(g.deaths().stream().allMatch(d -> d.whom().equals("m2")), "seed " + seed + g.deaths());
        }
    }

    @Test
    void lossAndOneWayCutsKillNobody() {
        for (int seed = 0; seed < 10; seed++) {
            VirtualGroup g = group(7, seed);
            until(g, 10_000, "joining");
            g.loss = 0.1;
            g.twice = 0.1;
            g.delayMs = 10;
            g.cut("m3", "m4"); // helpers still reach it
            g.run(60_000);
            assertEquals(List.of(), g.deaths(), "seed " + seed);
        }
    }

    @Test
    void anotherRunUnderTheNameIsKnownAsSuchAndGoodByesAreNoDeaths() {
        VirtualGroup g = group(4, 3);
        until(g, 10_000, "joining");
        g.alive().get(3).core().leave(g.now());
        g.kill("m3");
        until(g, 2000, "the good-bye");
        assertEquals(List.of(), g.deaths());
        long boot = g.start("m3").core().self().processIncarnation();
        until(g, 5000, "the next run");
        g.alive().stream()
                .filter(n -> !n.name.equals("m3"))
                .forEach(n -> assertEquals(
                        boot,
                        n.core().members().stream()
                                .filter(m -> m.name().equals("m3"))
                                .findFirst()
                                .orElseThrow()
                                .processIncarnation()));
    }

    /** Splits, kills, restarts, pauses and loss as they come: when all is well again, all agree. */
    @Test
    void whateverHappensAllAgreeInTheEnd() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int size = 3 + random.nextInt(5);
            VirtualGroup g = group(size, seed);
            for (int step = 0; step < 12; step++) {
                String one = "m" + random.nextInt(size), two = "m" + random.nextInt(size);
                boolean there = g.alive().stream().anyMatch(n -> n.name.equals(one));
                switch (random.nextInt(7)) {
                    case 0 -> {
                        if (there) {
                            g.kill(one);
                        }
                    }
                    case 1 -> {
                        if (!there) {
                            g.start(one);
                        }
                    }
                    case 2 -> g.pause(one, random.nextInt(3000));
                    case 3 -> g.cut(one, two);
                    case 4 -> {
                        int side = random.nextInt(1 << size);
                        for (int a = 0; a < size; a++) {
                            for (int b = 0; b < size; b++) {
                                if ((side >> a & 1) != (side >> b & 1)) {
                                    g.cut("m" + a, "m" + b);
                                }
                            }
                        }
                    }
                    case 5 -> g.heal();
                    default -> g.loss = random.nextInt(4) * 0.1;
                }
                g.run(random.nextInt(1500));
            }
            g.heal();
            g.loss = 0;
            g.run(3000);
            until(g, 60_000, "agreement, seed " + seed);
        }
    }

    // ------------------------------------------------------------ seals

    private static LinkedHashMap<Integer, byte[]> keys(int... ids) {
        LinkedHashMap<Integer, byte[]> keys = new LinkedHashMap<>();
        for (int id : ids) {
            keys.put(id, ("the secret numbered " + id).getBytes());
        }
        return keys;
    }

    private static PacketAuthenticator sealed(String name, long boot, int... ids) {
        PacketAuthenticator s = new PacketAuthenticator(name, name, boot, 30_000);
        s.setKeys(keys(ids));
        return s;
    }

    private static final SwimMessage PING =
            new SwimMessage(Kind.PING, 7, "b", "", List.of(new MemberUpdate("c", "c:1", State.SUSPECT, 5, 6, "a")));

    @Test
    void keysChangeWithoutAGapAndForgeriesAreRefused() {
        PacketAuthenticator a = sealed("a", 1, 1), b = sealed("b", 1, 1);
        assertEquals(PING, open(b, a.seal(PING, 0)).message());
        b.setKeys(keys(1, 2)); // the new one is added everywhere,
        a.setKeys(keys(2, 1)); // then seals,
        assertNotNull(open(b, a.seal(PING, 0)));
        b.setKeys(keys(2)); // then the old one goes
        assertNotNull(open(b, a.seal(PING, 0)));
        assertNull(open(b, sealed("a", 2, 1).seal(PING, 0)));
        byte[] forged = a.seal(PING, 0);
        forged[40] ^= 1;
        assertNull(open(b, forged));
        assertEquals(1, b.dropped().get(DropReason.KEY));
        assertEquals(1, b.dropped().get(DropReason.SEAL));
    }

    private static PacketAuthenticator.OpenedPacket open(PacketAuthenticator s, byte[] packet) {
        return s.open(packet, packet.length, 0);
    }

    @Test
    void replaysAreRefusedAndLateOnesAreNot() {
        PacketAuthenticator a = sealed("a", 5, 1), b = sealed("b", 5, 1);
        List<byte[]> packets = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            packets.add(a.seal(PING, 0));
        }
        for (int i : new int[] {0, 2, 1, 90, 40, 91}) {
            assertNotNull(open(b, packets.get(i)), "packet " + i);
        }
        for (int i : new int[] {0, 1, 2, 3, 40, 90, 91}) {
            assertNull(open(b, packets.get(i)), "packet " + i);
        }
        assertNotNull(open(b, sealed("a", 6, 1).seal(PING, 0)), "another run begins anew");
        assertNull(open(b, packets.get(99)), "and ends the one before");
        byte[] old = sealed("d", 1, 1).seal(PING, -31_000);
        assertNull(open(b, old), "one that was kept for long");
    }

    /** Whatever comes, reading ends, and only what a holder of a key made is taken. */
    @Test
    void noBytesMakeReadingFail() {
        PacketAuthenticator a = sealed("a", 1, 1), b = sealed("b", 1, 1);
        Random random = new Random(4);
        byte[] good = a.seal(PING, 0);
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = random.nextInt(4) == 0 ? new byte[random.nextInt(200)] : good.clone();
            if (bytes.length != good.length) {
                random.nextBytes(bytes);
            }
            for (int n = 1 + random.nextInt(4); n > 0 && bytes.length > 0; n--) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
            }
            int length = bytes.length == 0 ? 0 : bytes.length - random.nextInt(Math.min(bytes.length, 8));
            PacketAuthenticator.OpenedPacket o = b.open(bytes, length, 0);
            assertTrue(o == null || o.message().equals(PING), "taken: " + o);
        }
    }

    // ------------------------------------------------------------ sockets

    @Test
    void threeInstancesFindEachOtherOverUdpAndOneSaysGoodBye() throws Exception {
        List<String> at = new ArrayList<>();
        List<java.net.DatagramSocket> free = new ArrayList<>(); // all at once, so that none comes twice
        for (int i = 0; i < 3; i++) {
            free.add(new java.net.DatagramSocket(0, java.net.InetAddress.getLoopbackAddress()));
            at.add("127.0.0.1:" + free.get(i).getLocalPort());
        }
        free.forEach(java.net.DatagramSocket::close);
        List<ClusterTransport> groups = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            groups.add(new ClusterTransport(MembershipSettings.of("g" + i, at.get(i), at.subList(0, 1)), keys(1), i));
        }
        await(
                "all know all",
                () -> groups.stream()
                        .allMatch(g ->
                                g.members().stream().filter(m -> !m.departed()).count() == 3));
        try (java.net.DatagramSocket stranger = new java.net.DatagramSocket()) {
            byte[] junk = new byte[100];
            stranger.send(new java.net.DatagramPacket(
                    junk,
                    junk.length,
                    java.net.InetAddress.getLoopbackAddress(),
                    Integer.parseInt(at.get(0).substring(10))));
        }
        await("junk is counted", () -> groups.get(0).dropped().containsKey(DropReason.VERSION));
        groups.get(2).close();
        await(
                "the good-bye",
                () -> groups.subList(0, 2).stream()
                        .allMatch(g ->
                                g.members().stream().anyMatch(m -> m.name().equals("g2") && m.state() == State.LEFT)));
        groups.get(0).close();
        groups.get(1).close();
    }

    private static void await(String what, java.util.function.BooleanSupplier condition) {
        long end = System.nanoTime() + 60_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "never came: " + what);
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}

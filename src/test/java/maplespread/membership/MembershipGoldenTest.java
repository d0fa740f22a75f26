package maplespread.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.SwimMessage.Kind;
import maplespread.testing.GoldenFile;
import maplespread.testing.Transcript;
import org.junit.jupiter.api.Test;

/** The packets of the membership, and the order in which it sends them, as they were recorded. */
class MembershipGoldenTest {
    private static final long WALL_MS = 1_700_000_000_000L;
    private static final long FRESH_MS = 30_000;

    private static PacketAuthenticator sealed(String name, long boot, int... keyIds) {
        PacketAuthenticator sealed = new PacketAuthenticator(name, name + ":7946", boot, FRESH_MS);
        LinkedHashMap<Integer, byte[]> keys = new LinkedHashMap<>();
        for (int id : keyIds) {
            keys.put(id, ("secret " + id).getBytes(StandardCharsets.UTF_8));
        }
        sealed.setKeys(keys);
        return sealed;
    }

    private static SwimMessage message(Kind kind) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (State state : State.values()) {
            updates.add(new MemberUpdate("m" + state.ordinal(), "h:1", state, 5 + state.ordinal(), 6, "caf\u00e9"));
        }
        return new SwimMessage(kind, 7, "target", "h:2", updates);
    }

    @Test
    void packetsOfEveryKindKeepTheirBytes() throws IOException {
        List<String> lines = new ArrayList<>();
        PacketAuthenticator sender = sealed("a", 9, 2, 1);
        PacketAuthenticator receiver = sealed("b", 9, 1, 2);
        for (Kind kind : Kind.values()) {
            byte[] packet = sender.seal(message(kind), WALL_MS);
            lines.add(kind.ordinal() + " " + HexFormat.of().formatHex(packet));
            assertEquals(
                    message(kind), receiver.open(packet, packet.length, WALL_MS).message());
        }
        byte[] packet = sender.seal(3, new byte[] {1, 2, 3}, WALL_MS);
        lines.add("channel " + HexFormat.of().formatHex(packet));
        PacketAuthenticator.OpenedPacket opened = receiver.open(packet, packet.length, WALL_MS);
        assertEquals("a a:7946 3 [1, 2, 3]", describe(opened));
        GoldenFile.check("membership/packets.txt", lines);
    }

    private static String describe(PacketAuthenticator.OpenedPacket opened) {
        return opened.sender() + " " + opened.address() + " " + opened.channel() + " "
                + Arrays.toString(opened.payload());
    }

    /** The names of the reasons are members of an admin answer. */
    @Test
    void everyDroppedPacketIsCountedUnderItsReason() {
        PacketAuthenticator sender = sealed("a", 9, 1);
        PacketAuthenticator receiver = sealed("b", 9, 1);
        byte[] good = sender.seal(3, new byte[] {1}, WALL_MS);
        byte[] version = good.clone();
        version[0]++;
        byte[] forged = good.clone();
        forged[good.length - 1]++;
        byte[] otherKey = sealed("a", 9, 2).seal(3, new byte[] {1}, WALL_MS);
        byte[] noMessage = sender.seal(0, new byte[] {99}, WALL_MS);
        for (byte[] packet : List.of(good, good, version, forged, otherKey, noMessage, new byte[3])) {
            receiver.open(packet, packet.length, WALL_MS);
        }
        byte[] late = sender.seal(3, new byte[] {1}, WALL_MS - FRESH_MS - 1);
        receiver.open(late, late.length, WALL_MS);
        assertEquals(
                "{\"SHORT\":1,\"VERSION\":1,\"KEY\":1,\"SEAL\":1,\"STALE\":1,\"REPLAY\":1,\"FORM\":1}",
                new Gson().toJson(new TreeMap<>(receiver.dropped())));
    }

    @Test
    void whatGossipIsTakenAndInWhichOrder() {
        GossipQueue gossip = new GossipQueue();
        MemberUpdate self = new MemberUpdate("self", "h:0", State.ALIVE, 1, 0, "");
        for (int i = 0; i < 6; i++) {
            gossip.add(new MemberUpdate("m" + i, "h:" + i, State.ALIVE, 1, i, ""));
        }
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            taken.add(String.join(
                    " ",
                    gossip.take(List.of(self), 250, 2).stream()
                            .map(MemberUpdate::name)
                            .toList()));
        }
        assertEquals(
                List.of("self m5 m4 m3", "self m2 m1 m0", "self m5 m4 m3", "self m2 m1 m0", "self", "self", "self"),
                taken);
    }

    // ------------------------------------------------------------ seeded histories

    private static final int SEEDS = 16;
    private static final int STEPS = 500;

    private record Packet(String from, String to, byte[] bytes) {}

    /** Members that come, go, leave and stand still on a network that loses and reorders, by one seed. */
    private static final class History {
        final SplittableRandom random;
        final Transcript transcript = new Transcript();
        final Map<String, SwimMembership> nodes = new TreeMap<>();
        final Map<String, PacketAuthenticator> seals = new TreeMap<>();
        final List<Packet> packets = new ArrayList<>();
        final int size;
        final int lossPercent;
        long now = 1;
        long boots;

        History(long seed) {
            random = new SplittableRandom(seed);
            size = 3 + random.nextInt(5);
            lossPercent = random.nextInt(3) * 15;
            for (int i = 0; i < size; i++) {
                start("m" + i);
            }
        }

        void start(String name) {
            seals.put(name, sealed(name, ++boots, 1));
            MembershipSettings settings = MembershipSettings.of(name, name, List.of("m0", "m1"));
            nodes.put(name, new SwimMembership(settings, boots, boots, now, new MembershipTransport() {
                @Override
                public void send(String to, SwimMessage message) {
                    byte[] bytes = seals.get(name).seal(message, WALL_MS);
                    transcript.add("send", now, name, to, bytes);
                    packets.add(new Packet(name, to, bytes));
                }

                @Override
                public void changed(MemberUpdate before, MemberUpdate after) {
                    transcript.add("changed", now, name, text(before), text(after));
                }

                @Override
                public void event(boolean warning, String event, Object... pairs) {
                    transcript.add("event", name, warning, recordedName(event), Arrays.asList(pairs));
                }
            }));
        }

        static String text(MemberUpdate update) {
            return update == null
                    ? "none"
                    : update.name() + " " + update.address() + " "
                            + update.state().ordinal() + " " + update.processIncarnation() + " " + update.incarnation()
                            + " "
                            + update.suspectedBy();
        }

        void tickAll(long elapsedMs) {
            now += elapsedMs;
            nodes.forEach((name, node) -> transcript.add("tick", name, node.tick(now), node.localHealth()));
        }

        void arrive(Packet packet) {
            PacketAuthenticator seal = seals.get(packet.to());
            if (seal == null || random.nextInt(100) < lossPercent) {
                return;
            }
            PacketAuthenticator.OpenedPacket opened = seal.open(packet.bytes(), packet.bytes().length, WALL_MS);
            if (opened != null) {
                nodes.get(packet.to()).receive(now, opened.sender(), packet.from(), opened.message());
            }
        }

        String run() {
            for (int step = 0; step < STEPS; step++) {
                String name = "m" + random.nextInt(size);
                int choice = random.nextInt(100);
                if (choice == 0) {
                    start(name);
                } else if (choice == 1) {
                    nodes.get(name).leave(now);
                } else if (choice == 2) {
                    tickAll(2_000); // longer than a process may pause unnoticed
                } else if (choice < 35 || packets.isEmpty()) {
                    tickAll(random.nextLong(40));
                } else {
                    arrive(packets.remove(random.nextInt(Math.min(4, packets.size()))));
                }
            }
            nodes.forEach((name, node) -> {
                transcript.add("end", name, text(node.self()), node.size());
                node.members().forEach(member -> transcript.add("member", name, text(member)));
            });
            return transcript.summary();
        }
    }

    @Test
    void seededHistoriesSendTheSamePacketsInTheSameOrder() throws IOException {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + new History(seed).run());
        }
        GoldenFile.check("membership/histories.txt", lines);
    }

    /** The name that an event had when the histories were recorded. */
    private static String recordedName(String event) {
        return event.equals("membership.process_pause") ? "membership.stood_still" : event;
    }
}

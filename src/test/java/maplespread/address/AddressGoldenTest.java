package maplespread.address;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplespread.address.ClaimClient.Verdict;
import maplespread.testing.GoldenFile;
import maplespread.testing.Transcript;
import org.junit.jupiter.api.Test;

/** What elections and claims send and decide, and in which order, as it was recorded. */
class AddressGoldenTest {
    private static final List<String> NAMES = List.of("n0", "n1", "n2", "n3", "n4");
    private static final int SEEDS = 16;
    private static final int STEPS = 1_500;
    private static final long WALL_MS = 1_700_000_000_000L;

    private record Packet<T>(String to, T message) {}

    /** The network and the clock that both kinds of histories share. */
    private abstract static class History<T> {
        final SplittableRandom random;
        final Transcript transcript = new Transcript();
        final List<Packet<T>> packets = new ArrayList<>();
        final int lossPercent;
        long now = 1;
        long boots = 10;

        History(long seed) {
            random = new SplittableRandom(seed);
            lossPercent = random.nextInt(3) * 10;
        }

        abstract void start(String name);

        abstract void receive(String name, T message);

        abstract void tick(String name);

        abstract void call(String name);

        String run() {
            NAMES.forEach(this::start);
            for (int step = 0; step < STEPS; step++) {
                String name = NAMES.get(random.nextInt(NAMES.size()));
                int choice = random.nextInt(400);
                if (choice == 0) {
                    start(name);
                } else if (choice < 34) {
                    call(name);
                } else if (choice < 64 || packets.isEmpty()) {
                    now += random.nextLong(choice < 28 ? 500 : 30);
                    NAMES.forEach(this::tick);
                } else {
                    Packet<T> packet = packets.remove(random.nextInt(Math.min(4, packets.size())));
                    if (random.nextInt(100) >= lossPercent) {
                        receive(packet.to(), packet.message());
                    }
                }
            }
            return transcript.summary();
        }
    }

    /** Three electors and five candidates. */
    private static final class Elections extends History<ElectionMessage> {
        final Map<String, LeaderElection> nodes = new TreeMap<>();

        Elections(long seed) {
            super(seed);
        }

        @Override
        void start(String name) {
            ElectionSettings settings = ElectionSettings.of(name, NAMES.subList(0, 3), NAMES);
            nodes.put(name, new LeaderElection(settings, ++boots, boots, now, new ElectionTransport() {
                @Override
                public void send(String to, ElectionMessage b) {
                    transcript.add(
                            "send" + b.kind().ordinal(),
                            name,
                            to,
                            b.sender(),
                            b.incarnation(),
                            b.term(),
                            b.sequence(),
                            b.holder(),
                            b.voteRemainingMs());
                    packets.add(new Packet<>(to, b));
                }

                @Override
                public void acquired(long term) {
                    transcript.add("owns", now, name, term);
                }

                @Override
                public void lost(long term, String successor) {
                    transcript.add("lost", now, name, term, successor);
                }

                @Override
                public void event(boolean warning, String event, Object... pairs) {
                    transcript.add("event", name, warning, event, Arrays.asList(pairs));
                }
            }));
        }

        @Override
        void receive(String name, ElectionMessage message) {
            nodes.get(name).received(now, message);
        }

        @Override
        void tick(String name) {
            LeaderElection node = nodes.get(name);
            long next = node.tick(now, WALL_MS + now);
            transcript.add("tick", name, next, node.role().ordinal(), node.mayAct(now), node.term(), node.knownOwner());
        }

        @Override
        void call(String name) {
            int choice = random.nextInt(40);
            String successor = NAMES.get(random.nextInt(NAMES.size()));
            if (choice == 0) {
                nodes.get(name).end(now, successor);
            } else if (choice < 6) {
                nodes.get(name).stepDown(now, choice % 2 == 0 ? "" : successor);
            }
        }
    }

    /** Every member is an elector and a claimant; six order ids are claimed again and again. */
    private static final class OrderClaims extends History<ClaimMessage> {
        final Map<String, ClaimClient> claimants = new TreeMap<>();
        final Map<String, ClaimTable> tables = new TreeMap<>();
        final Map<String, Packet<ClaimMessage>> produced = new TreeMap<>();

        OrderClaims(long seed) {
            super(seed);
        }

        /** Claims that end in one call do so in no defined order: what a call sends and reports is sorted. */
        private void flush() {
            produced.forEach((text, packet) -> {
                transcript.add(text.substring(0, text.indexOf(' ')), text);
                if (packet.to() != null) {
                    packets.add(packet);
                }
            });
            produced.clear();
        }

        private void post(String name, String to, ClaimMessage w) {
            StringBuilder text = new StringBuilder("send" + w.kind().ordinal());
            for (Object part : Arrays.asList(
                    name, to, w.sender(), w.incarnation(), w.id(), w.attempt(), w.term(), w.outcome(), w.last())) {
                text.append(' ').append(part);
            }
            for (ClaimMessage.Entry e : w.entries()) {
                for (Object part :
                        Arrays.asList(e.id(), e.claimant(), e.incarnation(), e.attempt(), e.outcome(), e.ageMs())) {
                    text.append(' ').append(part);
                }
            }
            produced.put(text.toString(), new Packet<>(to, w));
        }

        @Override
        void start(String name) {
            ClaimSettings settings = new ClaimSettings(name, NAMES, 400, 60, 30);
            tables.put(name, new ClaimTable(settings, ++boots, now, (to, word) -> post(name, to, word)));
            claimants.put(name, new ClaimClient(settings, boots, new ClaimClient.Transport() {
                @Override
                public void send(String to, ClaimMessage word) {
                    post(name, to, word);
                }

                @Override
                public void decided(String id, Verdict verdict) {
                    String outcome = verdict instanceof Verdict.Known known ? known.outcome() : "";
                    String kind = verdict instanceof Verdict.Granted
                            ? "granted"
                            : verdict instanceof Verdict.InDoubt
                                    ? "inDoubt"
                                    : verdict instanceof Verdict.Known ? "known" : "unavailable";
                    produced.put(kind + ' ' + name + ' ' + id + ' ' + outcome, new Packet<>(null, null));
                }
            }));
        }

        @Override
        void receive(String name, ClaimMessage message) {
            tables.get(name).received(now, message);
            claimants.get(name).received(now, message);
            flush();
        }

        @Override
        void tick(String name) {
            tables.get(name).tick(now);
            claimants.get(name).tick(now);
            flush();
            transcript.add(
                    "tick",
                    name,
                    tables.get(name).recovering(),
                    tables.get(name).size());
        }

        @Override
        void call(String name) {
            String id = "order-" + random.nextInt(6);
            switch (random.nextInt(12)) {
                case 0, 1, 2 -> claimants.get(name).record(id, "done by " + name);
                case 3 -> claimants.get(name).abandon(id);
                case 4 -> tables.get(name).term(random.nextInt(3));
                default -> claimants.get(name).claim(now, id, 3);
            }
            flush();
        }
    }

    @Test
    void seededElectionsSendTheSameMessagesInTheSameOrder() throws IOException {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + new Elections(seed).run());
        }
        GoldenFile.check("address/elections.txt", lines);
    }

    @Test
    void seededClaimsSendTheSameMessagesInTheSameOrder() throws IOException {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + new OrderClaims(seed).run());
        }
        GoldenFile.check("address/claims.txt", lines);
    }
}

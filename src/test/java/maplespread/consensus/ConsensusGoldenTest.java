package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;
import maplespread.consensus.RegisterState.AppliedChange;
import maplespread.errors.FleetException;
import maplespread.testing.GoldenFile;
import maplespread.testing.Transcript;
import org.junit.jupiter.api.Test;

/** The bytes, texts and order of messages equal the recorded ones. */
class ConsensusGoldenTest {
    private static final List<String> ELECTORS = List.of("a", "b", "caf\u00e9");
    private static final Ballot BALLOT = new Ballot(1_700_000_000_123L, 4, "b", 1_700_000_000_001L);
    private static final Ballot PROMISED = new Ballot(1_700_000_000_123L, 5, "a", 1_700_000_000_002L);
    private static final RegisterState PLAIN = new RegisterState(
            new VersionedValue(1_700_000_000_000L, 7, "{\"release\":\"\u20ac\"}", 2, ELECTORS), List.of(), List.of());
    private static final RegisterState MOVING = new RegisterState(
            new VersionedValue(1, 2, "", 3, List.of("a", "b", "d")),
            ELECTORS,
            List.of(new AppliedChange("p", 11, 12, 13), new AppliedChange("q", 21, 22, 23)));

    private static ConsensusMessage message(Kind kind, boolean flag, AcceptedState accepted) {
        return new ConsensusMessage(
                kind,
                "a",
                1_700_000_000_003L,
                new TreeMap<>(Map.of("a", 3L, "b", 4L)),
                BALLOT,
                PROMISED,
                flag,
                !flag,
                99,
                ELECTORS,
                new TreeMap<>(Map.of("b", 4L, "caf\u00e9", 5L)),
                accepted);
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    @Test
    void messagesOfEveryKindKeepTheirBytes() throws IOException {
        List<String> lines = new ArrayList<>();
        Digest digest = Digest.of(MessageFormat.encode(PLAIN));
        for (Kind kind : Kind.values()) {
            int kindNumber = kind.ordinal();
            for (RegisterState state : Arrays.asList(null, PLAIN, MOVING)) {
                AcceptedState accepted = state == null ? null : new AcceptedState(BALLOT, state);
                ConsensusMessage sent = message(kind, kindNumber % 2 == 0, accepted);
                byte[] bytes = MessageFormat.encode(sent, null, List.of());
                assertEquals(sent, MessageFormat.decode(bytes).orElseThrow().message());
                lines.add(kindNumber + " " + hex(bytes));
            }
            ConsensusMessage sent = message(kind, true, new AcceptedState(BALLOT, PLAIN));
            lines.add(kindNumber + " reference "
                    + hex(MessageFormat.encode(sent, digest, List.of(digest, new Digest(1, 2)))));
        }
        lines.add("state " + hex(MessageFormat.encode(PLAIN)));
        lines.add("state " + hex(MessageFormat.encode(MOVING)));
        lines.add("digest " + digest.high() + " " + digest.low());
        GoldenFile.check("consensus/messages.txt", lines);
    }

    @Test
    void invalidMessagesAreNotDecoded() {
        byte[] bytes = MessageFormat.encode(message(Kind.PREPARE, true, null), null, List.of());
        byte[] version = bytes.clone();
        version[0] = 3;
        byte[] kind = bytes.clone();
        kind[1] = (byte) Kind.values().length;
        for (byte[] corrupt : List.of(
                new byte[0], version, kind, Arrays.copyOf(bytes, bytes.length - 1), Arrays.copyOf(bytes, 999))) {
            assertEquals(Optional.empty(), MessageFormat.decode(corrupt));
        }
    }

    /** Whole states, references, a state request and the repeated message, between two members. */
    @Test
    void aConversationKeepsItsBytes() throws IOException {
        List<String> lines = new ArrayList<>();
        MessageCodec first = new MessageCodec();
        MessageCodec second = new MessageCodec();
        for (int round = 0; round < 3; round++) {
            byte[] sentBytes = first.encode("b", fromMember("a", 1));
            lines.add("there " + hex(sentBytes));
            second.decode("a", sentBytes);
            byte[] answerBytes = second.encode("a", fromMember("b", 1));
            lines.add("back " + hex(answerBytes));
            first.decode("b", answerBytes);
        }
        MessageCodec restarted = new MessageCodec();
        byte[] request =
                restarted.decode("a", first.encode("b", fromMember("a", 1))).reply();
        lines.add("request " + hex(request));
        lines.add("repeated " + hex(first.decode("b", request).reply()));
        lines.add("counts " + new Gson().toJson(first.counts()));
        GoldenFile.check("consensus/conversation.txt", lines);
    }

    private static ConsensusMessage fromMember(String name, long incarnation) {
        Ballot ballot = new Ballot(1, 2, "a", 3);
        return new ConsensusMessage(
                Kind.ACCEPT,
                name,
                incarnation,
                Map.of(),
                ballot,
                Ballot.NONE,
                false,
                true,
                7,
                ELECTORS,
                Map.of(),
                new AcceptedState(ballot, PLAIN));
    }

    @Test
    void errorsKeepTheirWords() {
        assertEquals(
                "x; still works: what was decided before holds and is known; this change may yet be decided, or not;"
                        + " to do: read the value again; if most electors have restarted at once, found it anew by call",
                new QuorumLostException("x").getMessage());
        assertEquals(
                "the value would have 50000 bytes, of 49152 at most; still works: the value stays as it was;"
                        + " to do: end or remove what is no longer needed in it",
                new ValueTooLargeException(50_000, ConsensusNode.MAX_TEXT_BYTES).getMessage());
        assertEquals("w; still works: k; to do: r", new ChangeRejectedException("w", "k", "r").getMessage());
    }

    // ------------------------------------------------------------ seeded histories

    private static final List<String> MEMBERS = List.of("a", "b", "c", "d", "e");
    private static final int SEEDS = 24;
    private static final int STEPS = 2_000;
    private static final long GIVE_UP_MS = 2_500;

    private record Packet(String from, String to, byte[] bytes) {}

    /** A seeded history of five members with message loss and reordering, restarts, elector changes and bootstraps. */
    private static final class History {
        final SplittableRandom random;
        final Transcript transcript = new Transcript();
        final Map<String, ConsensusNode> nodes = new TreeMap<>();
        final Map<String, MessageCodec> codecs = new TreeMap<>();
        final List<Packet> packets = new ArrayList<>();
        final int lossPercent;
        long now = 1;
        long lastIncarnation = 1000;

        History(long seed) {
            random = new SplittableRandom(seed);
            lossPercent = random.nextInt(3) * 10;
            MEMBERS.forEach(this::start);
        }

        void start(String name) {
            MessageCodec codec = new MessageCodec();
            codecs.put(name, codec);
            ConsensusSettings settings = new ConsensusSettings(name, MEMBERS.subList(0, 3), 50, 500);
            nodes.put(
                    name,
                    new ConsensusNode(settings, ++lastIncarnation, lastIncarnation, now, new ConsensusTransport() {
                        @Override
                        public void send(String to, ConsensusMessage message) {
                            byte[] bytes = codec.encode(to, message);
                            transcript.add("send", now, name, to, bytes);
                            packets.add(new Packet(name, to, bytes));
                        }

                        @Override
                        public void learned(VersionedValue value) {
                            transcript.add("learned", name, text(value));
                        }

                        @Override
                        public void event(boolean warning, String event, Object... pairs) {
                            transcript.add("event", name, warning, recordedName(event), Arrays.asList(pairs));
                        }
                    }));
            nodes.get(name).members(MEMBERS);
        }

        static String text(VersionedValue value) {
            return value == null
                    ? "none"
                    : value.epoch() + " " + value.version() + " " + value.text() + " " + value.electorsVersion() + " "
                            + value.electors();
        }

        Consumer<ChangeResult> recordResult(String name) {
            return result -> transcript.add(
                    "result" + result.outcome().ordinal(),
                    now,
                    name,
                    text(result.value()),
                    result.error() == null ? "" : result.error().getMessage());
        }

        void deliverOrLose(Packet packet) {
            if (random.nextInt(100) < lossPercent) {
                return;
            }
            MessageCodec.Received received = codecs.get(packet.to()).decode(packet.from(), packet.bytes());
            if (received.reply() != null) {
                transcript.add("reply", packet.to(), received.reply());
                packets.add(new Packet(packet.to(), packet.from(), received.reply()));
            }
            if (received.message() != null) {
                nodes.get(packet.to()).receive(now, received.message());
            }
        }

        void tickAll(long elapsedMs) {
            now += elapsedMs;
            nodes.forEach((name, node) -> transcript.add("tick", name, node.tick(now)));
        }

        void call(String name, int step) {
            ConsensusNode node = nodes.get(name);
            long giveUpAt = now + random.nextLong(GIVE_UP_MS);
            switch (random.nextInt(12)) {
                case 0 -> node.change(now, Mutation.READ, giveUpAt, recordResult(name));
                case 1 -> node.change(now, value -> rejectChange(), giveUpAt, recordResult(name));
                case 2 ->
                    node.change(
                            now, value -> "x".repeat(ConsensusNode.MAX_TEXT_BYTES + 1), giveUpAt, recordResult(name));
                case 3 -> {
                    int from = random.nextInt(3);
                    node.electors(now, MEMBERS.subList(from, from + 3), giveUpAt, recordResult(name));
                }
                case 4 -> node.bootstrap(now, 1000 + now, MEMBERS.subList(0, 3), giveUpAt, recordResult(name));
                default -> node.change(now, value -> value.text() + step + ' ', giveUpAt, recordResult(name));
            }
        }

        private static String rejectChange() throws FleetException {
            throw new ChangeRejectedException("not this value", "all", "wait");
        }

        String run() {
            for (int step = 0; step < STEPS; step++) {
                String name = MEMBERS.get(random.nextInt(MEMBERS.size()));
                int choice = random.nextInt(400);
                if (choice == 0 && step > STEPS / 5) {
                    start(name);
                } else if (choice < 14) {
                    call(name, step);
                } else if (choice < 54 || packets.isEmpty()) {
                    tickAll(random.nextLong(choice < 18 ? 400 : 30));
                } else {
                    deliverOrLose(packets.remove(random.nextInt(Math.min(4, packets.size()))));
                }
            }
            nodes.forEach((name, node) -> transcript.add(
                    "end",
                    name,
                    text(node.decidedValue()),
                    text(node.acceptedValue()),
                    node.recovering(),
                    node.electors()));
            return transcript.summary();
        }
    }

    @Test
    void seededHistoriesSendTheSameMessagesInTheSameOrder() throws IOException {
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            lines.add(seed + " " + new History(seed).run());
        }
        GoldenFile.check("consensus/histories.txt", lines);
    }

    /** Maps an event to the name that it had when the histories were recorded. */
    private static String recordedName(String event) {
        return switch (event) {
            case "consensus.recovered" -> "agreement.sighted";
            case "consensus.value_lost" -> "agreement.lost";
            case "consensus.malformed_message" -> "agreement.not_a_word";
            default -> event.replaceFirst("^consensus\\.", "agreement.");
        };
    }
}

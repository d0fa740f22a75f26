package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.consensus.RegisterState.AcceptedState;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    private static final String LONG = "x".repeat(2_000);
    private static final int SHORT = 600; // bytes: less than any message with the long text

    private static RegisterState kept(long version, String text) {
        return new RegisterState(new VersionedValue(1, version, text, 0, List.of("a", "b")), List.of(), List.of());
    }

    private static ConsensusMessage message(String from, long boot, RegisterState kept) {
        Ballot at = new Ballot(1, 2, "a", 3);
        AcceptedState held = kept == null ? null : new AcceptedState(at, kept);
        return new ConsensusMessage(
                Kind.ACCEPT, from, boot, Map.of(), at, Ballot.NONE, false, true, 7, List.of("a", "b"), Map.of(), held);
    }

    /** Both know each other, and each knows that the other holds the value. */
    private static void acquainted(MessageCodec a, MessageCodec b, RegisterState kept) {
        for (int i = 0; i < 2; i++) {
            b.decode("a", a.encode("b", message("a", 1, kept)));
            a.decode("b", b.encode("a", message("b", 1, kept)));
        }
    }

    @Test
    void aValueGoesWholeUntilThePeerIsKnownToHoldIt() {
        MessageCodec a = new MessageCodec();
        MessageCodec b = new MessageCodec();
        ConsensusMessage sent = message("a", 1, kept(1, LONG));
        for (int i = 0; i < 3; i++) { // no sign that any has arrived
            assertTrue(a.encode("b", sent).length > LONG.length());
        }
        assertEquals(sent, b.decode("a", a.encode("b", sent)).message());
        assertNull(a.decode("b", b.encode("a", message("b", 1, null))).reply());
        byte[] reference = a.encode("b", sent);
        assertTrue(reference.length < SHORT, reference.length + " bytes");
        assertEquals(sent, b.decode("a", reference).message());
    }

    /** Its earlier incarnation held the value, this one does not: nothing wrong is read, and the value comes at once. */
    @Test
    void whoCannotResolveAReferenceRequestsTheValue() {
        MessageCodec a = new MessageCodec();
        RegisterState kept = kept(1, LONG);
        acquainted(a, new MessageCodec(), kept);
        MessageCodec again = new MessageCodec();
        ConsensusMessage sent = message("a", 1, kept);
        MessageCodec.Received received = again.decode("a", a.encode("b", sent));
        assertNull(received.message());
        assertNotNull(received.reply());
        byte[] whole = a.decode("b", received.reply()).reply();
        assertEquals(sent, again.decode("a", whole).message());
        assertNull(a.decode("b", received.reply()).reply(), "a repeated request is answered once");
        assertTrue(a.encode("b", sent).length > LONG.length(), "it is known not to hold it");
    }

    @Test
    void aNewIncarnationOfAPeerHoldsNothing() {
        MessageCodec a = new MessageCodec();
        RegisterState kept = kept(1, LONG);
        acquainted(a, new MessageCodec(), kept);
        assertTrue(a.encode("b", message("a", 1, kept)).length < SHORT);
        a.decode("b", new MessageCodec().encode("a", message("b", 2, null)));
        assertTrue(a.encode("b", message("a", 1, kept)).length > LONG.length());
        a.decode("b", new MessageCodec().encode("a", message("b", 1, kept))); // late, of the run that is over
        assertTrue(a.encode("b", message("a", 1, kept)).length > LONG.length());
    }

    /** A member of the version before looks at the first three flags alone, and sets no other. */
    @Test
    void aMemberOfTheVersionBeforeIsSentWholeValuesWithoutHoldings() {
        MessageCodec a = new MessageCodec();
        RegisterState kept = kept(1, LONG);
        byte[] blind = MessageFormat.encode(message("b", 1, kept), null, List.of());
        ConsensusMessage w = message("b", 1, kept);
        byte[] other = MessageFormat.encode(
                new ConsensusMessage(
                        w.kind(),
                        "b",
                        1,
                        w.crashVector(),
                        w.ballot(),
                        w.promisedBallot(),
                        true,
                        true,
                        7,
                        w.configuredElectors(),
                        w.promiseQuorum(),
                        w.accepted()),
                null,
                List.of());
        int flags = 0;
        while (blind[flags] == other[flags]) {
            flags++;
        }
        blind[flags] &= 7;
        assertEquals(w, a.decode("b", blind).message());
        byte[] answer = a.encode("b", message("a", 1, kept));
        assertTrue(answer.length > LONG.length());
        assertTrue(MessageFormat.decode(answer).orElseThrow().holdings().isEmpty());
        assertNull(MessageFormat.decode(answer).orElseThrow().reference());
    }

    @Test
    void whatIsNoMessageIsNotReadable() {
        MessageCodec a = new MessageCodec();
        assertFalse(a.decode("b", new byte[0]).readable());
        assertFalse(a.decode("b", new byte[] {2, 1, 1}).readable(), "a request without its digest");
        assertFalse(a.decode("b", new byte[] {9}).readable());
        byte[] unknown = new byte[17];
        unknown[0] = 2;
        assertNull(a.decode("b", unknown).reply(), "a request of one who was sent nothing");
        assertEquals(
                "a",
                a.decode("b", new MessageCodec().encode("b", message("a", 1, null)))
                        .message()
                        .sender());
    }

    /**
     * Packets are lost, repeated and passed by later ones, members begin anew, and there are more values than are
     * kept: each message that is read is one that was sent, and once the network is sound the newest one arrives.
     */
    @Test
    void whatIsReadWasSentWhateverTheNetworkDoes() {
        String[] names = {"a", "b", "c"};
        int references = 0;
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, MessageCodec> codecs = new HashMap<>();
            Map<String, Long> boots = new HashMap<>();
            for (String n : names) {
                codecs.put(n, new MessageCodec());
                boots.put(n, 1L);
            }
            List<ConsensusMessage> sent = new ArrayList<>();
            List<Packet> open = new ArrayList<>();
            for (int step = 0; step < 200; step++) {
                String from = names[random.nextInt(3)];
                String to = names[(List.of(names).indexOf(from) + 1 + random.nextInt(2)) % 3];
                if (random.nextInt(40) == 0) {
                    codecs.put(from, new MessageCodec());
                    boots.merge(from, 1L, Long::sum);
                }
                int version = random.nextInt(12);
                ConsensusMessage w = message(from, boots.get(from), kept(version, LONG + version));
                sent.add(w);
                byte[] bytes = codecs.get(from).encode(to, w);
                references += bytes.length < SHORT ? 1 : 0;
                open.add(new Packet(from, to, bytes));
                while (open.size() > random.nextInt(6)) {
                    Packet p = open.remove(random.nextInt(open.size()));
                    int fate = random.nextInt(10);
                    for (int copy = fate == 0 ? 1 : 0; copy < (fate == 1 ? 2 : 1); copy++) {
                        deliver(codecs, p, open, sent);
                    }
                }
            }
            ConsensusMessage last = message("a", boots.get("a"), kept(99, LONG));
            sent.add(last);
            open.clear();
            open.add(new Packet("a", "b", codecs.get("a").encode("b", last)));
            ConsensusMessage got = null;
            while (!open.isEmpty()) {
                ConsensusMessage w = deliver(codecs, open.remove(0), open, sent);
                got = w == null ? got : w;
            }
            assertEquals(last, got, "seed " + seed);
        }
        assertTrue(references > 1_000, references + " messages went by reference");
    }

    private record Packet(String from, String to, byte[] bytes) {}

    private static ConsensusMessage deliver(
            Map<String, MessageCodec> codecs, Packet p, List<Packet> open, List<ConsensusMessage> sent) {
        MessageCodec.Received received = codecs.get(p.to).decode(p.from, p.bytes);
        assertTrue(received.readable());
        if (received.reply() != null) {
            open.add(new Packet(p.to, p.from, received.reply()));
        }
        if (received.message() != null) {
            assertTrue(sent.contains(received.message()), "never sent: " + received.message());
        }
        return received.message();
    }
}

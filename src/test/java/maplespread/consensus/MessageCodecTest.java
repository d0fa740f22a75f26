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
    /** In bytes; less than the size of any message with the long text. */
    private static final int SHORT = 600;

    private static RegisterState state(long version, String text) {
        return new RegisterState(new VersionedValue(1, version, text, 0, List.of("a", "b")), List.of(), List.of());
    }

    private static ConsensusMessage message(String from, long incarnation, RegisterState state) {
        Ballot at = new Ballot(1, 2, "a", 3);
        AcceptedState accepted = state == null ? null : new AcceptedState(at, state);
        return new ConsensusMessage(
                Kind.ACCEPT,
                from,
                incarnation,
                Map.of(),
                at,
                Ballot.NONE,
                false,
                true,
                7,
                List.of("a", "b"),
                Map.of(),
                accepted);
    }

    /** Exchanges messages until each codec knows that the other holds the state. */
    private static void exchangeStates(MessageCodec a, MessageCodec b, RegisterState state) {
        for (int i = 0; i < 2; i++) {
            b.decode("a", a.encode("b", message("a", 1, state)));
            a.decode("b", b.encode("a", message("b", 1, state)));
        }
    }

    @Test
    void aStateIsSentWholeUntilThePeerIsKnownToHoldIt() {
        MessageCodec a = new MessageCodec();
        MessageCodec b = new MessageCodec();
        ConsensusMessage sent = message("a", 1, state(1, LONG));
        for (int i = 0; i < 3; i++) { // no response yet
            assertTrue(a.encode("b", sent).length > LONG.length());
        }
        assertEquals(sent, b.decode("a", a.encode("b", sent)).message());
        assertNull(a.decode("b", b.encode("a", message("b", 1, null))).reply());
        byte[] reference = a.encode("b", sent);
        assertTrue(reference.length < SHORT, reference.length + " bytes");
        assertEquals(sent, b.decode("a", reference).message());
    }

    /** A restarted peer has lost the state: the reference is not resolved wrongly, and the state is sent on request. */
    @Test
    void aReceiverThatCannotResolveAReferenceRequestsTheState() {
        MessageCodec a = new MessageCodec();
        RegisterState state = state(1, LONG);
        exchangeStates(a, new MessageCodec(), state);
        MessageCodec restarted = new MessageCodec();
        ConsensusMessage sent = message("a", 1, state);
        MessageCodec.Received received = restarted.decode("a", a.encode("b", sent));
        assertNull(received.message());
        assertNotNull(received.reply());
        byte[] whole = a.decode("b", received.reply()).reply();
        assertEquals(sent, restarted.decode("a", whole).message());
        assertNull(a.decode("b", received.reply()).reply(), "a repeated request is answered once");
        assertTrue(a.encode("b", sent).length > LONG.length(), "the peer is known not to hold it");
    }

    @Test
    void aNewIncarnationOfAPeerHoldsNothing() {
        MessageCodec a = new MessageCodec();
        RegisterState state = state(1, LONG);
        exchangeStates(a, new MessageCodec(), state);
        assertTrue(a.encode("b", message("a", 1, state)).length < SHORT);
        a.decode("b", new MessageCodec().encode("a", message("b", 2, null)));
        assertTrue(a.encode("b", message("a", 1, state)).length > LONG.length());
        a.decode("b", new MessageCodec().encode("a", message("b", 1, state))); // delayed, from the ended incarnation
        assertTrue(a.encode("b", message("a", 1, state)).length > LONG.length());
    }

    /** A member of the previous version evaluates and sets only the first three flags. */
    @Test
    void aMemberOfThePreviousVersionIsSentWholeStatesWithoutHoldings() {
        MessageCodec a = new MessageCodec();
        RegisterState state = state(1, LONG);
        byte[] withoutReferences = MessageFormat.encode(message("b", 1, state), null, List.of());
        ConsensusMessage message = message("b", 1, state);
        byte[] withOtherFlags = MessageFormat.encode(
                new ConsensusMessage(
                        message.kind(),
                        "b",
                        1,
                        message.crashVector(),
                        message.ballot(),
                        message.promisedBallot(),
                        true,
                        true,
                        7,
                        message.configuredElectors(),
                        message.promiseQuorum(),
                        message.accepted()),
                null,
                List.of());
        int flags = 0;
        while (withoutReferences[flags] == withOtherFlags[flags]) {
            flags++;
        }
        withoutReferences[flags] &= 7;
        assertEquals(message, a.decode("b", withoutReferences).message());
        byte[] answer = a.encode("b", message("a", 1, state));
        assertTrue(answer.length > LONG.length());
        assertTrue(MessageFormat.decode(answer).orElseThrow().holdings().isEmpty());
        assertNull(MessageFormat.decode(answer).orElseThrow().reference());
    }

    @Test
    void invalidPacketsAreNotReadable() {
        MessageCodec a = new MessageCodec();
        assertFalse(a.decode("b", new byte[0]).readable());
        assertFalse(a.decode("b", new byte[] {2, 1, 1}).readable(), "a request without its digest");
        assertFalse(a.decode("b", new byte[] {9}).readable());
        byte[] unknown = new byte[17];
        unknown[0] = 2;
        assertNull(a.decode("b", unknown).reply(), "a request from a peer that was sent nothing");
        assertEquals(
                "a",
                a.decode("b", new MessageCodec().encode("b", message("a", 1, null)))
                        .message()
                        .sender());
    }

    /**
     * Packets are lost, duplicated and reordered, members restart, and there are more states than are cached. Each
     * decoded message was sent before, and the newest one arrives once the network works again.
     */
    @Test
    void decodedMessagesWereSentDespiteNetworkFaults() {
        String[] names = {"a", "b", "c"};
        int references = 0;
        for (int seed = 0; seed < 60; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, MessageCodec> codecs = new HashMap<>();
            Map<String, Long> incarnations = new HashMap<>();
            for (String n : names) {
                codecs.put(n, new MessageCodec());
                incarnations.put(n, 1L);
            }
            List<ConsensusMessage> sent = new ArrayList<>();
            List<Packet> inFlight = new ArrayList<>();
            for (int step = 0; step < 200; step++) {
                String from = names[random.nextInt(3)];
                String to = names[(List.of(names).indexOf(from) + 1 + random.nextInt(2)) % 3];
                if (random.nextInt(40) == 0) {
                    codecs.put(from, new MessageCodec());
                    incarnations.merge(from, 1L, Long::sum);
                }
                int version = random.nextInt(12);
                ConsensusMessage message = message(from, incarnations.get(from), state(version, LONG + version));
                sent.add(message);
                byte[] bytes = codecs.get(from).encode(to, message);
                references += bytes.length < SHORT ? 1 : 0;
                inFlight.add(new Packet(from, to, bytes));
                while (inFlight.size() > random.nextInt(6)) {
                    Packet p = inFlight.remove(random.nextInt(inFlight.size()));
                    int fate = random.nextInt(10);
                    for (int copy = fate == 0 ? 1 : 0; copy < (fate == 1 ? 2 : 1); copy++) {
                        deliver(codecs, p, inFlight, sent);
                    }
                }
            }
            ConsensusMessage last = message("a", incarnations.get("a"), state(99, LONG));
            sent.add(last);
            inFlight.clear();
            inFlight.add(new Packet("a", "b", codecs.get("a").encode("b", last)));
            ConsensusMessage received = null;
            while (!inFlight.isEmpty()) {
                ConsensusMessage message = deliver(codecs, inFlight.remove(0), inFlight, sent);
                received = message == null ? received : message;
            }
            assertEquals(last, received, "seed " + seed);
        }
        assertTrue(references > 1_000, references + " messages were sent by reference");
    }

    private record Packet(String from, String to, byte[] bytes) {}

    private static ConsensusMessage deliver(
            Map<String, MessageCodec> codecs, Packet p, List<Packet> inFlight, List<ConsensusMessage> sent) {
        MessageCodec.Received received = codecs.get(p.to).decode(p.from, p.bytes);
        assertTrue(received.readable());
        if (received.reply() != null) {
            inFlight.add(new Packet(p.to, p.from, received.reply()));
        }
        if (received.message() != null) {
            assertTrue(sent.contains(received.message()), "never sent: " + received.message());
        }
        return received.message();
    }
}

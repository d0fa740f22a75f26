package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import maplespread.consensus.ConsensusMessage.Kind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Votes of an ended incarnation that arrive after the next one has recovered are not counted. */
class CrashVectorTest {
    private record Packet(String to, ConsensusMessage message) {}

    private static final List<String> ELECTORS = List.of("a", "b", "c");
    private static final List<String> ALL = List.of("a", "b", "c", "p", "q");
    private final Map<String, ConsensusNode> nodes = new TreeMap<>();
    private final List<Packet> packets = new ArrayList<>();
    private final List<String> decided = new ArrayList<>();
    private long now, lastIncarnation = 1000;

    private void start(String name) {
        ConsensusSettings settings = new ConsensusSettings(name, ELECTORS, 100_000, 100_000);
        nodes.put(name, new ConsensusNode(settings, ++lastIncarnation, 1, now, new ConsensusTransport() {
            @Override
            public void send(String to, ConsensusMessage message) {
                packets.add(new Packet(to, message));
            }

            @Override
            public void learned(VersionedValue value) {}

            @Override
            public void event(boolean warning, String event, Object... pairs) {}
        }));
        nodes.get(name).members(ALL);
        nodes.get(name).tick(now);
    }

    /** Delivers the matching messages, including matching ones that are sent in response. */
    private void deliver(Predicate<Packet> which) {
        for (int i = 0; i < packets.size(); ) {
            if (which.test(packets.get(i))) {
                Packet p = packets.remove(i);
                nodes.get(p.to()).receive(now, p.message());
                i = 0;
            } else {
                i++;
            }
        }
    }

    private void deliver(Kind kind, String from, String to) {
        deliver(p -> p.message().kind() == kind && p.message().sender().equals(from) && p.to().equals(to));
    }

    private long countInFlight(Kind kind) {
        return packets.stream().filter(p -> p.message().kind() == kind).count();
    }

    private void append(String by) {
        nodes.get(by).change(now, v -> v.text() + by, now + 1_000_000, r -> decided.add(by));
    }

    /** Delivers recovery requests only to electors: a proposer must learn of the new incarnation from their votes. */
    private void restart(String name) {
        start(name);
        deliver(p -> p.message().kind() == Kind.RECOVERY_REQUEST && ELECTORS.contains(p.to())
                || p.message().kind() == Kind.RECOVERY_RESPONSE);
        assertTrue(!nodes.get(name).recovering());
    }

    @BeforeEach
    void allHaveRecoveredAndKnowAValue() {
        ALL.forEach(this::start);
        deliver(p -> true);
        now = 100_000;
        ALL.forEach(n -> nodes.get(n).tick(now));
        deliver(p -> true);
        ALL.forEach(n -> nodes.get(n).tick(now));
        append("a");
        deliver(p -> true);
        assertEquals(List.of("a"), decided);
    }

    @Test
    void anAcceptanceOfAnEndedIncarnationDecidesNothing() {
        append("p");
        deliver(p -> p.message().kind() == Kind.PREPARE || p.message().kind() == Kind.PROMISE);
        deliver(Kind.ACCEPT, "p", "c");
        restart("c");
        deliver(Kind.ACCEPT, "p", "a");
        deliver(Kind.ACCEPTED, "c", "p");
        deliver(Kind.ACCEPTED, "a", "p");
        assertEquals(List.of("a"), decided, "c has lost its acceptance");
        deliver(Kind.ACCEPT, "p", "b");
        deliver(p -> p.message().kind() == Kind.ACCEPTED);
        assertEquals(List.of("a", "p"), decided, "a and b have accepted it");
    }

    @Test
    void aPromiseOfAnEndedIncarnationIsNotCounted() {
        append("p");
        deliver(Kind.PREPARE, "p", "c");
        restart("c");
        deliver(Kind.PREPARE, "p", "a");
        deliver(Kind.PROMISE, "c", "p");
        deliver(Kind.PROMISE, "a", "p");
        assertEquals(0, countInFlight(Kind.ACCEPT), "c has lost its promise");
        deliver(Kind.PREPARE, "p", "b");
        deliver(p -> p.message().kind() == Kind.PROMISE);
        assertEquals(3, countInFlight(Kind.ACCEPT));
    }

    @Test
    void aRoundWithAPromiseOfAnEndedIncarnationIsRejected() {
        append("p");
        deliver(Kind.PREPARE, "p", "a");
        deliver(Kind.PREPARE, "p", "c");
        deliver(p -> p.message().kind() == Kind.PROMISE);
        restart("c");
        deliver(Kind.ACCEPT, "p", "a");
        deliver(Kind.ACCEPT, "p", "c");
        assertEquals(2, countInFlight(Kind.REFUSE));
    }

    /** A new incarnation restores what a majority has promised and accepted. */
    @Test
    void promisesAndValuesOutliveARestart() {
        append("p");
        append("q"); // same round number: the ballot of q is above that of p
        deliver(Kind.PREPARE, "q", "a");
        deliver(Kind.PREPARE, "q", "c");
        deliver(p -> p.message().kind() == Kind.PROMISE);
        restart("c");
        deliver(Kind.PREPARE, "p", "c");
        assertEquals(1, countInFlight(Kind.REFUSE), "c has restored the promise to q");
        assertEquals(0, countInFlight(Kind.PROMISE));
    }

    @Test
    void aLaterEpochIsLaterWhateverItsVersion() {
        VersionedValue old = new VersionedValue(1, 9, "", 0, ELECTORS),
                next = new VersionedValue(2, 1, "", 1, ELECTORS);
        assertTrue(next.isLaterThan(old) && !old.isLaterThan(next) && !old.isLaterThan(old));
    }

    @Test
    void anIncarnationWithoutAnswersKeepsRecovering() {
        start("c");
        now += 300_000;
        nodes.get("c").tick(now);
        assertTrue(nodes.get("c").recovering());
    }

    @Test
    void anElectorFinishesTheChangeOfADeadProposer() {
        append("p");
        deliver(p -> p.message().kind() != Kind.ACCEPTED);
        packets.clear();
        for (int i = 0; i < 20; i++) {
            now += 50_000;
            ELECTORS.forEach(n -> nodes.get(n).tick(now));
            deliver(p -> !p.to().equals("p"));
        }
        assertEquals("ap", nodes.get("b").decidedValue().text());
    }

    @Test
    void aRejectionIsReportedOnceItsBaseStateIsDecided() {
        append("p");
        deliver(p -> p.message().kind() == Kind.PREPARE || p.message().kind() == Kind.PROMISE);
        deliver(Kind.ACCEPT, "p", "a");
        List<ChangeResult> results = new ArrayList<>();
        nodes.get("q")
                .change(
                        now,
                        v -> {
                            throw new ChangeRejectedException("there: " + v.text(), "", "");
                        },
                        now + 1_000_000,
                        results::add);
        deliver(p -> p.message().kind() == Kind.PREPARE || p.message().kind() == Kind.PROMISE);
        assertEquals(List.of(), results, "the base state is not decided yet");
        deliver(p -> true);
        assertEquals("ap", results.get(0).value().text());
    }
}

package maplespread.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import maplespread.cluster.SharedState;
import maplespread.consensus.ConsensusMessage.Kind;
import maplespread.errors.FleetException;
import org.junit.jupiter.api.Test;

/**
 * Scripted message deliveries: the shortest known scripts in which the omission of one safety check leads to a
 * violation. Member names are single letters. The steps of a script are:
 *
 * <ul>
 *   <li>{@code up ab} starts members without state; {@code down a} stops a member.
 *   <li>{@code p+x} appends to the text; {@code p:part=x} writes a section; {@code p=abc} replaces the electors; {@code
 *       p!abc} bootstraps with these electors.
 *   <li>{@code again p} ends the round of p and its backoff; {@code rest p} ends only the backoff.
 *   <li>{@code KIND a bc} delivers the messages of this kind from a to b and c; {@code last KIND a b} delivers the
 *       newest; {@code copy KIND a b} delivers it and leaves a duplicate in flight.
 *   <li>{@code ask p ab} delivers PREPARE and its answers; {@code put p ab} ACCEPT and its answers; {@code see c ab}
 *       RECOVERY_REQUEST and its answers.
 *   <li>{@code lose} drops all messages in flight; {@code among ab} delivers all between these members; {@code first 3}
 *       delivers the oldest three.
 *   <li>{@code freeze p} pauses a member and holds its messages back; {@code thaw p} resumes it.
 *   <li>{@code peace} delivers everything and advances the time until all changes have a result.
 * </ul>
 */
class ScriptedMessagesTest {
    private static final int EVERY = Integer.getInteger("every", 16);
    private static final long STEP = 100_000, FAR = 1_000_000_000_000L;

    private record Packet(String to, ConsensusMessage message) {}

    /** One run of a script. */
    private static final class ScriptRun {
        final List<String> configuredElectors;
        final Map<String, ConsensusNode> nodes = new TreeMap<>();
        final Map<String, Long> times = new TreeMap<>();
        final List<Packet> packets = new ArrayList<>();
        final Set<String> frozen = new HashSet<>();
        final TreeMap<Long, TreeMap<Long, VersionedValue>> valuesByEpoch = new TreeMap<>();
        final List<String> results = new ArrayList<>(), faults = new ArrayList<>();
        long lastIncarnation = 1000, wall = 1_000_000;
        /** The number of calls without a result, by member that is up. */
        final TreeMap<String, Integer> waiting = new TreeMap<>();
        /** The part of the last {@code first} step's count for which there was no message. */
        int missingMessages;

        ScriptRun(String electors) {
            configuredElectors = List.of(electors.split(""));
        }

        ScriptRun run(String script) {
            for (String step : script.split("; *")) {
                String[] s = step.split(" ");
                switch (s[0]) {
                    case "up" -> forEachName(s[1], this::start);
                    case "down" ->
                        forEachName(s[1], n -> {
                            nodes.remove(n);
                            waiting.remove(n);
                        });
                    case "again" ->
                        forEachName(s[1], n -> {
                            tick(n, STEP);
                            tick(n, STEP);
                        });
                    case "rest" -> forEachName(s[1], n -> tick(n, STEP));
                    case "lose" -> packets.clear();
                    case "first" -> {
                        for (missingMessages = Integer.parseInt(s[1]);
                                missingMessages > 0 && !packets.isEmpty();
                                missingMessages--) {
                            deliver(packets.remove(0));
                        }
                    }
                    case "freeze" -> forEachName(s[1], frozen::add);
                    case "thaw" -> forEachName(s[1], frozen::remove);
                    case "among" -> deliverAll(p -> s[1].contains(p.to) && s[1].contains(p.message.sender()));
                    case "ask" -> deliverRoundTrip(Kind.PREPARE, Kind.PROMISE, s);
                    case "put" -> deliverRoundTrip(Kind.ACCEPT, Kind.ACCEPTED, s);
                    case "see" -> deliverRoundTrip(Kind.RECOVERY_REQUEST, Kind.RECOVERY_RESPONSE, s);
                    case "last", "copy" -> {
                        List<Packet> fit = packets.stream()
                                .filter(p -> fits(p, s[1], s[2], s[3]))
                                .toList();
                        Packet p = fit.get(fit.size() - 1);
                        if (s[0].equals("last")) {
                            packets.remove(packets.lastIndexOf(p));
                        }
                        deliver(p);
                    }
                    case "peace" -> deliverUntilSettled();
                    default -> {
                        if (s.length == 3) {
                            deliverAll(p -> fits(p, s[0], s[1], s[2]));
                        } else {
                            call(step);
                        }
                    }
                }
            }
            return this;
        }

        private static void forEachName(String names, java.util.function.Consumer<String> what) {
            List.of(names.split("")).forEach(what);
        }

        private static boolean fits(Packet p, String kind, String from, String to) {
            return p.message.kind().name().equals(kind) && from.contains(p.message.sender()) && to.contains(p.to);
        }

        private void deliverRoundTrip(Kind there, Kind back, String[] s) {
            deliverAll(p -> fits(p, there.name(), s[1], s[2]) || fits(p, back.name(), s[2], s[1]));
        }

        private void call(String step) {
            ConsensusNode node = nodes.get(step.substring(0, 1));
            String with = step.substring(2);
            long at = times.get(step.substring(0, 1));
            waiting.merge(step.substring(0, 1), 1, Integer::sum);
            java.util.function.Consumer<ChangeResult> done = r -> {
                results.add(
                        step + ' ' + r.outcome() + (r.error() instanceof FleetException e ? " " + e.problem() : ""));
                waiting.merge(step.substring(0, 1), -1, (a, b) -> a + b == 0 ? null : a + b);
                if (r.outcome() == ChangeResult.Outcome.DECIDED) {
                    checkSequence(r.value());
                }
            };
            switch (step.charAt(1)) {
                case '+' -> node.change(at, v -> v.text() + with, FAR, done);
                case ':' -> {
                    String[] section = with.split("=");
                    String text = section[1].equals("BIG") ? "x".repeat(SharedState.MAX_SECTION_BYTES) : section[1];
                    node.change(at, v -> SharedState.write(v.text(), section[0], text), FAR, done);
                }
                case '=' -> node.electors(at, List.of(with.split("")), FAR, done);
                case '!' -> node.bootstrap(at, wall, List.of(with.split("")), FAR, done);
                default -> throw new IllegalArgumentException(step);
            }
        }

        private void start(String name) {
            ConsensusSettings settings = new ConsensusSettings(name, configuredElectors, STEP, STEP);
            times.putIfAbsent(name, 0L);
            waiting.remove(name);
            nodes.put(
                    name,
                    new ConsensusNode(
                            settings, ++lastIncarnation, lastIncarnation, times.get(name), new ConsensusTransport() {
                                @Override
                                public void send(String to, ConsensusMessage message) {
                                    packets.add(new Packet(to, message));
                                }

                                @Override
                                public void learned(VersionedValue value) {
                                    checkSequence(value);
                                }

                                @Override
                                public void event(boolean warning, String event, Object... pairs) {}
                            }));
            nodes.forEach((n, core) -> core.members(nodes.keySet()));
            nodes.get(name).tick(times.get(name));
        }

        private void tick(String name, long ms) {
            nodes.get(name).tick(times.merge(name, ms, Long::sum));
        }

        private void deliver(Packet p) {
            if (nodes.containsKey(p.to)) {
                nodes.get(p.to).receive(times.get(p.to), p.message);
            }
        }

        private void deliverAll(Predicate<Packet> which) {
            for (int i = 0; i < packets.size(); ) {
                Packet p = packets.get(i);
                if (which.test(p) && !frozen.contains(p.to) && !frozen.contains(p.message.sender())) {
                    packets.remove(i);
                    deliver(p);
                    i = 0;
                } else {
                    i++;
                }
            }
        }

        private void deliverUntilSettled() {
            for (int i = 0; i < 2 || i < 60 && !settled(); i++) {
                deliverAll(p -> true);
                for (String n : List.copyOf(nodes.keySet())) {
                    if (!frozen.contains(n)) {
                        tick(n, STEP);
                        deliverAll(p -> true);
                    }
                }
            }
        }

        private boolean settled() {
            List<ConsensusNode> up = nodes.keySet().stream()
                    .filter(n -> !frozen.contains(n))
                    .map(nodes::get)
                    .toList();
            return frozen.containsAll(waiting.keySet())
                    && up.stream()
                            .allMatch(n -> !n.recovering()
                                    && n.decidedValue() != null
                                    && n.decidedValue().equals(last())
                                    && n.electors().size() == 1);
        }

        /** Checks that the decided values of an epoch form one sequence in which each text extends the previous one. */
        private void checkSequence(VersionedValue v) {
            TreeMap<Long, VersionedValue> epochValues = valuesByEpoch.computeIfAbsent(v.epoch(), e -> new TreeMap<>());
            VersionedValue other = epochValues.putIfAbsent(v.version(), v);
            if (other != null && !other.equals(v)) {
                faults.add(other + " and " + v);
            }
            VersionedValue before = null;
            for (VersionedValue one : epochValues.values()) {
                if (before != null && !one.text().startsWith("{") && !one.text().startsWith(before.text())) {
                    faults.add(one + " does not follow " + before);
                }
                before = one;
            }
        }

        String electors() {
            return String.join("", new java.util.TreeSet<>(last().electors()));
        }

        VersionedValue last() {
            return valuesByEpoch.lastEntry().getValue().lastEntry().getValue();
        }
    }

    private static final String BEGIN = "; peace; a+0; peace; ";

    /** Description; electors; script; results at the end of the script; text and electors after {@code peace}. */
    private static final String[][] SAFETY_CHECK_SCRIPTS = {
        {
            "a single list is used during a change of electors: two changes remove different electors",
            "abcd",
            "up abcdpq" + BEGIN + "p=bcd; ask p bcd; put p d; q=abc; ask q abc; put q ab; again p; ask p cd; "
                    + "put p cd",
            "",
            "0",
            ""
        },
        {
            "the previous electors are dropped over a state that is not known to be decided",
            "a",
            "up abp" + BEGIN + "b=b; ask b a; lose; again b; ask b a; lose; again b; ask b a; lose; again b; "
                    + "ask b a; lose; p+x; PREPARE p a; REFUSE a p; rest p; ask p a; put p a",
            "p+x DECIDED",
            "0x",
            "b"
        },
        {
            "an elector change begins while another is in progress",
            "a",
            "up abcp" + BEGIN + "b=bc; ask b ac; lose; again b; ask b ac; lose; again b; ask b ac; put b c; "
                    + "lose; p+x; PREPARE p a; REFUSE a p; rest p; ask p a; put p a",
            "p+x DECIDED",
            "0x",
            "bc"
        },
        {
            "a decision does not raise the promise: the only remaining elector replaces it by an older proposal",
            "abc",
            "up abcpq" + BEGIN + "p+x; ask p ab; q+y; ask q ab; put q ab; DECIDED q c; ACCEPT p c; down pq; "
                    + "lose; up ab; lose; c!abc",
            "q+y DECIDED",
            "0y",
            "abc"
        },
        {
            "a recovering elector joins an epoch whose round is not based on its promise",
            "abc",
            "up abcpq" + BEGIN + "up bcpq; lose; p!abc; ask p ab; rest p; q!abc; ask q bc; rest q; up c; "
                    + "PREPARE p c; put p ac; put q ab; b+y",
            "q!abc DECIDED",
            "y",
            "abc"
        },
        {
            "a delayed vote of an ended incarnation replaces that of the next incarnation",
            "abc",
            "up abcp" + BEGIN + "p+x; copy PREPARE p c; up c; see c ab; PREPARE p c; last PROMISE c p; "
                    + "PROMISE c p; ask p a; put p ac",
            "p+x DECIDED",
            "0x",
            "abc"
        },
        {
            "a new epoch equals a known epoch",
            "abc",
            "up abcp" + BEGIN + "up abc; lose; again abc; among abc; again abc; among abc; p+x; ask p abc; "
                    + "put p abc; ask p abc; put p abc",
            "p+x DECIDED",
            "x",
            "abc"
        },
        {
            "a new epoch equals one that is known only from a ballot and is above all incarnations",
            "abc",
            "up abcp" + BEGIN + "up ab; lose; p!abc; peace; up abc; lose; p+z; PREPARE p a; lose; "
                    + "again abc; among abc; again abc; among abc; a+x; among abc; a+y; among abc",
            "p!abc DECIDED, a+x DECIDED, a+y DECIDED",
            "xyz",
            "abc"
        },
        {
            "a new epoch is below one that is unknown to the queried members",
            "abc",
            "up abcp" + BEGIN + "freeze p; up abc; lose; again abc; among abc; again abc; among abc; a+x; "
                    + "among abc; thaw p",
            "a+x DECIDED",
            "x",
            "abc"
        },
        {
            "the bootstrapping member is no elector and holds the only copy of the value",
            "abc",
            "up abcpq" + BEGIN + "up abcq; lose; p!abc",
            "",
            "0",
            "abc"
        },
    };

    @Test
    void scriptsCauseNoViolation() {
        for (String[] row : SAFETY_CHECK_SCRIPTS) {
            ScriptRun scriptRun = new ScriptRun(row[1]).run(row[2]);
            String results = String.join(", ", scriptRun.results.subList(1, scriptRun.results.size()));
            scriptRun.run("peace");
            assertEquals(List.of(), scriptRun.faults, row[0]);
            assertEquals(row[3], results, row[0]);
            assertEquals(Map.of(), scriptRun.waiting, row[0] + scriptRun.results);
            assertEquals(row[4], scriptRun.last().text(), row[0] + scriptRun.results);
            String now = scriptRun.electors();
            assertTrue(row[5].isEmpty() || row[5].equals(now), row[0] + " electors " + now);
        }
    }

    /** Initial calls; the steps that follow after each number of messages; text and electors after {@code peace}. */
    private static final String[][] ELECTOR_CHANGE_SCRIPTS = {
        {"p=cde", "up a", "0", "cde"},
        {"p=cde", "up b; q+y", "0y", "cde"},
        {"p=cde", "up c", "0", "cde"},
        {"p=cde", "up d; q+y", "0y", "cde"},
        {"p=cde; q+y", "up e", "0y", "cde"},
        {"p=cde", "up p; q=cde", "0", "cde"},
        {"p=abd", "down c; up c; q+y", "0y", "abd"},
        {"p=abd; peace; p=abc", "up c; q+y", "0y", "abc"},
        {"p=abd; peace; up c; p=abc", "up a", "0", "abc"},
        {"p=bcd", "freeze p; q=cde; peace; thaw p", "0", ""},
        {"p=cde", "freeze p; q=abd; peace; up c; thaw p", "0", ""},
        {"p=cde", "freeze p; q=abcd; peace; q+x; peace; up d; peace; thaw p; q+y", "0xy", ""},
        {"p=acde; q=bcd", "up c", "0", ""},
        {"p=cde; q=abe", "freeze a; peace; thaw a; up b", "0", ""},
    };

    /** Replaces several electors, with a restart, a new member of the same name, or a paused proposer at any point. */
    @Test
    void electorsAreReplacedDespiteAFaultAfterAnyMessage() {
        int scriptRuns = 0;
        for (String[] row : ELECTOR_CHANGE_SCRIPTS) {
            int missingMessages = 0;
            for (int messages = 0; missingMessages == 0; messages += EVERY, scriptRuns++) {
                String at = row[0] + ", " + messages + " messages, " + row[1];
                ScriptRun scriptRun = new ScriptRun("abc").run("up abcdepq" + BEGIN + row[0] + "; first " + messages);
                missingMessages = scriptRun.missingMessages; // above 0 once all messages were delivered
                scriptRun.run(row[1] + "; peace");
                assertEquals(List.of(), scriptRun.faults, at);
                String now = scriptRun.electors();
                assertTrue(row[3].isEmpty() || row[3].equals(now), at + ": electors " + now + scriptRun.results);
                assertEquals(row[2], scriptRun.last().text(), at);
                assertTrue(
                        scriptRun.waiting.isEmpty()
                                && scriptRun.settled()
                                && scriptRun.results.stream().allMatch(t -> t.endsWith("DECIDED")),
                        at + scriptRun.results);
            }
        }
        System.out.println(scriptRuns + " scripts");
        assertTrue(scriptRuns * EVERY > 40 * ELECTOR_CHANGE_SCRIPTS.length, scriptRuns + " scripts");
    }

    /** Concurrent writes of two sections preserve each other's section in every message order. */
    @Test
    void concurrentlyWrittenSectionsAreBothPreserved() {
        int missingMessages = 0, messages = 0;
        for (; missingMessages == 0; messages++) {
            ScriptRun scriptRun =
                    new ScriptRun("abc").run("up abcpq; peace; p:release=1; q:partition=2; first " + messages);
            missingMessages = scriptRun.missingMessages;
            scriptRun.run("p:release=3; q:relief=BIG; q:relief=4; peace");
            String text = scriptRun.last().text();
            assertEquals(
                    List.of("3", "2", "4"),
                    java.util.stream.Stream.of("release", "partition", "relief")
                            .map(part -> SharedState.read(text, part))
                            .toList(),
                    messages + " messages");
            assertTrue(
                    scriptRun.faults.isEmpty()
                            && scriptRun.waiting.isEmpty()
                            && scriptRun.results.contains("q:relief=BIG "
                                    + "REJECTED the section relief would have 15362 bytes, of 15360 at most"),
                    scriptRun.results + "");
        }
        assertTrue(messages > 30, messages + " messages");
    }
}

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
 * Words one by one, by scripts: the shortest that were found in which a guard that is left out breaks what
 * is promised. Members are single letters. Steps: {@code up ab} starts them, empty; {@code down a}; {@code
 * p+x} appends; {@code p:part=x} writes a section; {@code p=abc} moves the electors there; {@code p!abc}
 * founds with these; {@code again p} ends its try and its rest, {@code rest p} its rest alone; {@code KIND
 * a bc} has such messages from a to each arrive, {@code last KIND a b} the newest, {@code copy KIND a b}
 * leaves one under way; {@code ask p ab} stands for PREPARE and its answers, {@code put p ab} for ACCEPT,
 * {@code see c ab} for ASK; {@code lose} drops all; {@code among ab} has all between these arrive; {@code
 * first 3} the oldest three; {@code freeze p}, {@code thaw p}, whose messages wait; {@code peace}: all
 * arrives and time goes on until all are told.
 */
class ScriptedMessagesTest {
    private static final int EVERY = Integer.getInteger("every", 16);
    private static final long STEP = 100_000, FAR = 1_000_000_000_000L;

    private record Packet(String to, ConsensusMessage message) {}

    /** One play of a script. */
    private static final class Play {
        final List<String> file;
        final Map<String, ConsensusNode> nodes = new TreeMap<>();
        final Map<String, Long> times = new TreeMap<>();
        final List<Packet> packets = new ArrayList<>();
        final Set<String> frozen = new HashSet<>();
        final TreeMap<Long, TreeMap<Long, VersionedValue>> seen = new TreeMap<>();
        final List<String> told = new ArrayList<>(), faults = new ArrayList<>();
        long boots = 1000, wall = 1_000_000;
        final TreeMap<String, Integer> waiting = new TreeMap<>(); // for results, in runs that are up
        int left;

        Play(String electors) {
            file = List.of(electors.split(""));
        }

        Play run(String script) {
            for (String step : script.split("; *")) {
                String[] s = step.split(" ");
                switch (s[0]) {
                    case "up" -> each(s[1], this::start);
                    case "down" ->
                        each(s[1], n -> {
                            nodes.remove(n);
                            waiting.remove(n);
                        });
                    case "again" ->
                        each(s[1], n -> {
                            tick(n, STEP);
                            tick(n, STEP);
                        });
                    case "rest" -> each(s[1], n -> tick(n, STEP));
                    case "lose" -> packets.clear();
                    case "first" -> {
                        for (left = Integer.parseInt(s[1]); left > 0 && !packets.isEmpty(); left--) {
                            arrive(packets.remove(0));
                        }
                    }
                    case "freeze" -> each(s[1], frozen::add);
                    case "thaw" -> each(s[1], frozen::remove);
                    case "among" -> all(p -> s[1].contains(p.to) && s[1].contains(p.message.sender()));
                    case "ask" -> both(Kind.PREPARE, Kind.PROMISE, s);
                    case "put" -> both(Kind.ACCEPT, Kind.ACCEPTED, s);
                    case "see" -> both(Kind.RECOVERY_REQUEST, Kind.RECOVERY_RESPONSE, s);
                    case "last", "copy" -> {
                        List<Packet> fit = packets.stream()
                                .filter(p -> fits(p, s[1], s[2], s[3]))
                                .toList();
                        Packet p = fit.get(fit.size() - 1);
                        if (s[0].equals("last")) {
                            packets.remove(packets.lastIndexOf(p));
                        }
                        arrive(p);
                    }
                    case "peace" -> peace();
                    default -> {
                        if (s.length == 3) {
                            all(p -> fits(p, s[0], s[1], s[2]));
                        } else {
                            call(step);
                        }
                    }
                }
            }
            return this;
        }

        private static void each(String names, java.util.function.Consumer<String> what) {
            List.of(names.split("")).forEach(what);
        }

        private static boolean fits(Packet p, String kind, String from, String to) {
            return p.message.kind().name().equals(kind) && from.contains(p.message.sender()) && to.contains(p.to);
        }

        private void both(Kind there, Kind back, String[] s) {
            all(p -> fits(p, there.name(), s[1], s[2]) || fits(p, back.name(), s[2], s[1]));
        }

        private void call(String step) {
            ConsensusNode node = nodes.get(step.substring(0, 1));
            String with = step.substring(2);
            long at = times.get(step.substring(0, 1));
            waiting.merge(step.substring(0, 1), 1, Integer::sum);
            java.util.function.Consumer<ChangeResult> done = r -> {
                told.add(step + ' ' + r.outcome() + (r.error() instanceof FleetException e ? " " + e.problem() : ""));
                waiting.merge(step.substring(0, 1), -1, (a, b) -> a + b == 0 ? null : a + b);
                if (r.outcome() == ChangeResult.Outcome.DECIDED) {
                    saw(r.value());
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
            ConsensusSettings set = new ConsensusSettings(name, file, STEP, STEP);
            times.putIfAbsent(name, 0L);
            waiting.remove(name);
            nodes.put(name, new ConsensusNode(set, ++boots, boots, times.get(name), new ConsensusTransport() {
                @Override
                public void send(String to, ConsensusMessage message) {
                    packets.add(new Packet(to, message));
                }

                @Override
                public void learned(VersionedValue value) {
                    saw(value);
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

        private void arrive(Packet p) {
            if (nodes.containsKey(p.to)) {
                nodes.get(p.to).receive(times.get(p.to), p.message);
            }
        }

        private void all(Predicate<Packet> which) {
            for (int i = 0; i < packets.size(); ) {
                Packet p = packets.get(i);
                if (which.test(p) && !frozen.contains(p.to) && !frozen.contains(p.message.sender())) {
                    packets.remove(i);
                    arrive(p);
                    i = 0;
                } else {
                    i++;
                }
            }
        }

        private void peace() {
            for (int i = 0; i < 2 || i < 60 && !settled(); i++) {
                all(p -> true);
                for (String n : List.copyOf(nodes.keySet())) {
                    if (!frozen.contains(n)) {
                        tick(n, STEP);
                        all(p -> true);
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

        /** Decided values of one life are one sequence, each text beginning with the one before. */
        private void saw(VersionedValue v) {
            TreeMap<Long, VersionedValue> life = seen.computeIfAbsent(v.epoch(), e -> new TreeMap<>());
            VersionedValue other = life.putIfAbsent(v.version(), v);
            if (other != null && !other.equals(v)) {
                faults.add(other + " and " + v);
            }
            VersionedValue before = null;
            for (VersionedValue one : life.values()) {
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
            return seen.lastEntry().getValue().lastEntry().getValue();
        }
    }

    private static final String BEGIN = "; peace; a+0; peace; ";

    /** Electors; the script; which results are told by its end; the text and the electors after peace. */
    private static final String[][] GUARDS = {
        {
            "one list, not two, while electors change: two moves that remove different ones",
            "abcd",
            "up abcdpq" + BEGIN + "p=bcd; ask p bcd; put p d; q=abc; ask q abc; put q ab; again p; ask p cd; "
                    + "put p cd",
            "",
            "0",
            ""
        },
        {
            "old electors end over what is not known as decided",
            "a",
            "up abp" + BEGIN + "b=b; ask b a; lose; again b; ask b a; lose; again b; ask b a; lose; again b; "
                    + "ask b a; lose; p+x; PREPARE p a; REFUSE a p; rest p; ask p a; put p a",
            "p+x DECIDED",
            "0x",
            "b"
        },
        {
            "a step begins while another is under way",
            "a",
            "up abcp" + BEGIN + "b=bc; ask b ac; lose; again b; ask b ac; lose; again b; ask b ac; put b c; "
                    + "lose; p+x; PREPARE p a; REFUSE a p; rest p; ask p a; put p a",
            "p+x DECIDED",
            "0x",
            "bc"
        },
        {
            "what is decided raises no promise: the only one left forgets it for an older try",
            "abc",
            "up abcpq" + BEGIN + "p+x; ask p ab; q+y; ask q ab; put q ab; DECIDED q c; ACCEPT p c; down pq; "
                    + "lose; up ab; lose; c!abc",
            "q+y DECIDED",
            "0y",
            "abc"
        },
        {
            "a blind one joins a life whose try does not rest on its promise",
            "abc",
            "up abcpq" + BEGIN + "up bcpq; lose; p!abc; ask p ab; rest p; q!abc; ask q bc; rest q; up c; "
                    + "PREPARE p c; put p ac; put q ab; b+y",
            "q!abc DECIDED",
            "y",
            "abc"
        },
        {
            "a late vote of a run that is over takes the place of the next run's",
            "abc",
            "up abcp" + BEGIN + "p+x; copy PREPARE p c; up c; see c ab; PREPARE p c; last PROMISE c p; "
                    + "PROMISE c p; ask p a; put p ac",
            "p+x DECIDED",
            "0x",
            "abc"
        },
        {
            "a life begins in the epoch of one that is known",
            "abc",
            "up abcp" + BEGIN + "up abc; lose; again abc; among abc; again abc; among abc; p+x; ask p abc; "
                    + "put p abc; ask p abc; put p abc",
            "p+x DECIDED",
            "x",
            "abc"
        },
        {
            "a life begins in an epoch that is known by a ballot alone, and above all runs",
            "abc",
            "up abcp" + BEGIN + "up ab; lose; p!abc; peace; up abc; lose; p+z; PREPARE p a; lose; "
                    + "again abc; among abc; again abc; among abc; a+x; among abc; a+y; among abc",
            "p!abc DECIDED, a+x DECIDED, a+y DECIDED",
            "xyz",
            "abc"
        },
        {
            "a life begins below the epoch of one that nobody asked knows",
            "abc",
            "up abcp" + BEGIN + "freeze p; up abc; lose; again abc; among abc; again abc; among abc; a+x; "
                    + "among abc; thaw p",
            "a+x DECIDED",
            "x",
            "abc"
        },
        {
            "who founds is no elector and alone in knowing the value",
            "abc",
            "up abcpq" + BEGIN + "up abcq; lose; p!abc",
            "",
            "0",
            "abc"
        },
    };

    @Test
    void noScriptBreaksWhatIsPromised() {
        for (String[] row : GUARDS) {
            Play play = new Play(row[1]).run(row[2]);
            String told = String.join(", ", play.told.subList(1, play.told.size()));
            play.run("peace");
            assertEquals(List.of(), play.faults, row[0]);
            assertEquals(row[3], told, row[0]);
            assertEquals(Map.of(), play.waiting, row[0] + play.told);
            assertEquals(row[4], play.last().text(), row[0] + play.told);
            String now = play.electors();
            assertTrue(row[5].isEmpty() || row[5].equals(now), row[0] + " electors " + now);
        }
    }

    /** What is begun; what befalls it after each number of messages; the text and the electors after peace. */
    private static final String[][] MOVES = {
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

    /** Lists that move by more than one, with a restart, a newcomer of the same name, a frozen proposer. */
    @Test
    void electorsMoveWhateverHappensAfterWhicheverMessage() {
        int plays = 0;
        for (String[] row : MOVES) {
            int left = 0;
            for (int messages = 0; left == 0; messages += EVERY, plays++) {
                String at = row[0] + ", " + messages + " messages, " + row[1];
                Play play = new Play("abc").run("up abcdepq" + BEGIN + row[0] + "; first " + messages);
                left = play.left; // more than there were: the last one
                play.run(row[1] + "; peace");
                assertEquals(List.of(), play.faults, at);
                String now = play.electors();
                assertTrue(row[3].isEmpty() || row[3].equals(now), at + ": electors " + now + play.told);
                assertEquals(row[2], play.last().text(), at);
                assertTrue(
                        play.waiting.isEmpty()
                                && play.settled()
                                && play.told.stream().allMatch(t -> t.endsWith("DECIDED")),
                        at + play.told);
            }
        }
        System.out.println(plays + " plays");
        assertTrue(plays * EVERY > 40 * MOVES.length, plays + " plays");
    }

    /** Whichever messages of two changes come first: neither undoes the other's section, nor harms it. */
    @Test
    void sectionsThatAreWrittenAtOnceAreBothKept() {
        int left = 0, messages = 0;
        for (; left == 0; messages++) {
            Play play = new Play("abc").run("up abcpq; peace; p:release=1; q:partition=2; first " + messages);
            left = play.left;
            play.run("p:release=3; q:relief=BIG; q:relief=4; peace");
            String text = play.last().text();
            assertEquals(
                    List.of("3", "2", "4"),
                    java.util.stream.Stream.of("release", "partition", "relief")
                            .map(part -> SharedState.read(text, part))
                            .toList(),
                    messages + " messages");
            assertTrue(
                    play.faults.isEmpty()
                            && play.waiting.isEmpty()
                            && play.told.contains("q:relief=BIG "
                                    + "REJECTED the section relief would have 15362 bytes, of 15360 at most"),
                    play.told + "");
        }
        assertTrue(messages > 30, messages + " messages");
    }
}

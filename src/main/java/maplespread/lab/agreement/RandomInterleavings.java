package maplespread.lab.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplespread.consensus.ConsensusMessage;
import maplespread.consensus.ConsensusNode;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.ConsensusTransport;
import maplespread.consensus.VersionedValue;

/**
 * Five members, three of them electors at first, with words that arrive in any order or never, and changes,
 * restarts and tries given up at any place: one order by chance.
 */
public final class RandomInterleavings {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
    private static final long FAR = 1_000_000_000_000L; // nothing but tries and questions is due
    private final int members, restarts, tries, changes;
    private final boolean moves;
    private String fault;

    /**
     * {@code members}: 3 to 5; {@code restarts}, {@code tries} given up and {@code changes}: of all together;
     * {@code moves}: whether some changes are of the electors.
     */
    public RandomInterleavings(int members, int restarts, int tries, int changes, boolean moves) {
        this.members = members;
        this.restarts = restarts;
        this.tries = tries;
        this.changes = changes;
        this.moves = moves;
    }

    /** One order by chance, of so many steps at most; how many values it decided. */
    public int walk(long seed, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        Play play = new Play();
        for (int i = 0; i < steps && fault == null; i++) {
            List<Runnable> choices = play.choices();
            int words = play.packets.size();
            if (choices.isEmpty()) {
                break;
            }
            boolean word = words > 0 && random.nextInt(12) > 0 || choices.size() == words;
            choices.get(word ? random.nextInt(words) : words + random.nextInt(choices.size() - words))
                    .run();
        }
        return play.decided.size();
    }

    public String fault() {
        return fault;
    }

    /** One order, from a common start. */
    private final class Play {
        private record Packet(String to, ConsensusMessage word) {}

        private final List<String> names = NAMES.subList(0, members);
        private final Map<String, ConsensusNode> nodes = new TreeMap<>();
        private final Map<String, Long> times = new TreeMap<>();
        private final List<Packet> packets = new ArrayList<>();
        private final Map<Long, VersionedValue> decided = new TreeMap<>();
        private final StringBuilder log = new StringBuilder();
        private int restarted, again, changed;
        private long boots = 1000;
        private boolean begun;

        Play() {
            names.forEach(this::start);
            for (long at = 0; !begun; at += 100) { // all see, and know one value
                for (String n : names) {
                    nodes.get(n).members(names);
                    nodes.get(n).tick(at);
                    times.put(n, at);
                }
                if (nodes.values().stream().noneMatch(ConsensusNode::recovering) && decided.isEmpty()) {
                    nodes.get("a").change(at, v -> "0 ", FAR, r -> {});
                }
                while (!packets.isEmpty()) {
                    Packet p = packets.remove(0);
                    nodes.get(p.to()).receive(at, p.word());
                }
                begun = nodes.values().stream().allMatch(n -> n.decidedValue() != null);
            }
        }

        private void start(String name) {
            ConsensusSettings set = new ConsensusSettings(name, NAMES.subList(0, 3), 100, begun ? FAR : 100);
            long run = ++boots;
            nodes.put(name, new ConsensusNode(set, run, 1, times.getOrDefault(name, 0L), new ConsensusTransport() {
                @Override
                public void send(String to, ConsensusMessage word) {
                    if (word.kind() != ConsensusMessage.Kind.DECIDED_BALLOT) {
                        packets.add(new Packet(to, word));
                    }
                }

                @Override
                public void learned(VersionedValue value) {
                    VersionedValue other = decided.putIfAbsent(value.version(), value);
                    if (other != null && !other.equals(value)) {
                        fault = "two values: " + other + ", " + value + " by" + log;
                    }
                }

                @Override
                public void event(boolean warning, String event, Object... pairs) {
                    log.append(event.endsWith("sighted") ? " " + name + run + " sighted" : "");
                }
            }));
        }

        /** One of the packets arrives; or one begins a change, gives its try up, or restarts. */
        List<Runnable> choices() {
            List<Runnable> choices = new ArrayList<>();
            for (Packet p : packets) {
                choices.add(() -> {
                    packets.remove(p);
                    log.append(' ').append(p.word().kind() + p.word().sender() + ">" + p.to());
                    nodes.get(p.to()).receive(times.get(p.to()), p.word());
                });
            }
            for (String name : names) {
                ConsensusNode node = nodes.get(name);
                long at = times.get(name);
                if (changed < changes) {
                    choices.add(() -> {
                        log.append(" change ").append(name);
                        int number = ++changed;
                        if (moves && number % 2 == 0) {
                            int to = Math.min(members, 4 + number % 3 / 2);
                            node.electors(at, names.subList(number % 4 / 2, to), FAR, r -> {});
                        } else {
                            node.change(at, v -> v.text() + number + ' ', FAR, r -> {});
                        }
                    });
                }
                if (again < tries) {
                    choices.add(() -> {
                        again++;
                        log.append(" again ").append(name);
                        for (int i = 0; i < 2; i++) { // its end, and the rest after it
                            times.merge(name, 1000L, Long::sum);
                            node.tick(times.get(name));
                        }
                    });
                }
                if (restarted < restarts) {
                    choices.add(() -> {
                        restarted++;
                        log.append(" restart ").append(name);
                        start(name);
                        nodes.get(name).members(names);
                        nodes.get(name).tick(at);
                    });
                }
            }
            return choices;
        }
    }
}

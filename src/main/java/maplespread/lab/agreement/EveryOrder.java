package maplespread.lab.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplespread.agreement.Agreement;
import maplespread.agreement.AgreementSettings;
import maplespread.agreement.AgreementSink;
import maplespread.agreement.Ballot;
import maplespread.agreement.Kept;
import maplespread.agreement.Kept.Held;
import maplespread.agreement.Value;
import maplespread.agreement.Word;

/**
 * Five members, three of them electors at first, with words that arrive in any order or never, and changes,
 * restarts and tries given up at any place. Either every order of the words of two changes, as deep as a
 * number of states goes (a state is reached by playing its choices anew; one that was met before is not
 * followed again), or one by chance.
 */
public final class EveryOrder {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
    private static final long FAR = 1_000_000_000_000L;          // nothing but tries and questions is due
    private final int members, restarts, tries, changes;
    private final boolean moves;
    private final Set<String> met = new HashSet<>();
    private String fault;
    private int depth;

    /**
     * {@code members}: 3 to 5; {@code restarts}, {@code tries} given up and {@code changes}: of all together;
     * {@code moves}: whether some changes are of the electors.
     */
    public EveryOrder(int members, int restarts, int tries, int changes, boolean moves) {
        this.members = members;
        this.restarts = restarts;
        this.tries = tries;
        this.changes = changes;
        this.moves = moves;
    }

    /** How many states were met. */
    public int states() {
        return met.size();
    }

    /**
     * What is wrong in one of the states, and what led there; null: nothing. All that so many steps reach,
     * then all that one more does, up to so many; see {@link #depth}.
     */
    public String search(int mostDepth, int mostStates) {
        List<byte[]> open = List.of(new byte[0]);                // how to come to the states of this depth
        met.add(new Play(true).state());
        for (depth = 0; depth < mostDepth && !open.isEmpty(); depth++) {
            List<byte[]> next = new ArrayList<>();
            for (byte[] path : open) {
                for (int choice = 0, all = 1; choice < all; choice++) {
                    Play play = new Play(true);
                    for (byte before : path) {
                        play.choices().get(before).run();
                    }
                    List<Runnable> choices = play.choices();
                    all = choices.size();
                    if (all == 0) {
                        break;
                    }
                    choices.get(choice).run();
                    if (fault == null && met.add(play.state())) {
                        byte[] longer = java.util.Arrays.copyOf(path, path.length + 1);
                        longer[path.length] = (byte) choice;
                        next.add(longer);
                    }
                    if (fault != null || met.size() >= mostStates) {
                        return fault;
                    }
                }
            }
            open = next;
        }
        return fault;
    }

    /** Up to how many steps every order was followed. */
    public int depth() {
        return depth;
    }

    /** The same for one order by chance, of so many steps at most; and how many values it decided. */
    public int walk(long seed, int steps) {
        SplittableRandom random = new SplittableRandom(seed);
        Play play = new Play(false);
        for (int i = 0; i < steps && fault == null; i++) {
            List<Runnable> choices = play.choices();
            int words = play.packets.size();
            if (choices.isEmpty()) {
                break;
            }
            boolean word = words > 0 && random.nextInt(12) > 0 || choices.size() == words;
            choices.get(word ? random.nextInt(words) : words + random.nextInt(choices.size() - words)).run();
        }
        return play.decided.size();
    }

    public String fault() {
        return fault;
    }

    /** One order, from a common start. */
    private final class Play {
        private record Packet(String to, Word word) { }

        private final List<String> names = NAMES.subList(0, members);
        private final Map<String, Agreement> nodes = new TreeMap<>();
        private final Map<String, Long> times = new TreeMap<>();
        private final List<Packet> packets = new ArrayList<>();
        private final Map<Long, Value> decided = new TreeMap<>();
        private final StringBuilder log = new StringBuilder();
        private int restarted, again, changed;
        private long boots = 1000;
        private final boolean two;
        private boolean begun;

        /** {@code two}: the first two have begun a change each, and nobody else does. */
        Play(boolean two) {
            this.two = two;
            begun = two;
            names.forEach(this::start);
            if (two) {
                names.forEach(this::know);
                packets.clear();
                changed = changes;
                names.subList(0, 2).forEach(n -> nodes.get(n).change(0, v -> v.text() + n, FAR, r -> { }));
            }
            for (long at = 0; !begun; at += 100) {               // all see, and know one value
                for (String n : names) {
                    nodes.get(n).members(names);
                    nodes.get(n).tick(at);
                    times.put(n, at);
                }
                if (nodes.values().stream().noneMatch(Agreement::blind) && decided.isEmpty()) {
                    nodes.get("a").change(at, v -> "0 ", FAR, r -> { });
                }
                while (!packets.isEmpty()) {
                    Packet p = packets.remove(0);
                    nodes.get(p.to()).received(at, p.word());
                }
                begun = nodes.values().stream().allMatch(n -> n.known() != null);
            }
        }

        /** As if it had read a value that is decided; without the words that this takes, for their time. */
        private void know(String name) {
            nodes.get(name).members(names);
            times.put(name, 0L);
            Kept kept = new Kept(new Value(1, 1, "0 ", 0, names), List.of(), List.of());
            Ballot at = new Ballot(1, 1, "a", 1);
            long run = 1001 + names.indexOf(name);
            for (int i = 0; i < members; i++) {
                for (Word.Kind kind : List.of(Word.Kind.STATE, Word.Kind.DECIDED)) {
                    if (!names.get(i).equals(name)) {
                        nodes.get(name).received(0, new Word(kind, names.get(i), 1001 + i, Map.of(), at, at,
                            false, false, run, names, Map.of(), new Held(at, kept)));
                    }
                }
            }
        }

        private void start(String name) {
            AgreementSettings set = new AgreementSettings(name, NAMES.subList(0, 3), 100, begun ? FAR : 100);
            long run = ++boots;
            nodes.put(name, new Agreement(set, run, 1, times.getOrDefault(name, 0L), new AgreementSink() {
                @Override public void send(String to, Word word) {
                    boolean told = word.kind() == Word.Kind.DECIDED || word.kind() == Word.Kind.REFUSE;
                    if (word.kind() != Word.Kind.NEWS && !(two && told)) {
                        packets.add(new Packet(to, word));
                    }
                }

                @Override public void learned(Value value) {
                    Value other = decided.putIfAbsent(value.version(), value);
                    if (other != null && !other.equals(value)) {
                        fault = "two values: " + other + ", " + value + " by" + log;
                    }
                }

                @Override public void event(boolean warning, String event, Object... pairs) {
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
                    log.append(' ').append(p.word().kind() + p.word().from() + ">" + p.to());
                    nodes.get(p.to()).received(times.get(p.to()), p.word());
                });
            }
            for (String name : names) {
                Agreement node = nodes.get(name);
                long at = times.get(name);
                if (changed < changes) {
                    choices.add(() -> {
                        log.append(" change ").append(name);
                        int number = ++changed;
                        if (moves && number % 2 == 0) {
                            int to = Math.min(members, 4 + number % 3 / 2);
                            node.electors(at, names.subList(number % 4 / 2, to), FAR, r -> { });
                        } else {
                            node.change(at, v -> v.text() + number + ' ', FAR, r -> { });
                        }
                    });
                }
                if (again < tries && (!two || names.indexOf(name) < 2)) {
                    choices.add(() -> {
                        again++;
                        log.append(" again ").append(name);
                        for (int i = 0; i < 2; i++) {            // its end, and the rest after it
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

        String state() {
            List<String> under = new ArrayList<>(packets.stream().map(Packet::toString).toList());
            under.sort(null);
            String all = nodes.values() + " " + under + restarted + ' ' + again + ' ' + changed;
            return Integer.toHexString(all.hashCode()) + Long.toHexString(mixed(all));
        }

        private static long mixed(String text) {
            long mixed = 7;
            for (int i = 0; i < text.length(); i++) {
                mixed = (mixed ^ text.charAt(i)) * 0x9E3779B97F4A7C15L;
                mixed ^= mixed >>> 29;
            }
            return mixed;
        }
    }
}

package maplespread.lab.agreement;

import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.consensus.Ballot;
import maplespread.consensus.ConsensusMessage;
import maplespread.consensus.ConsensusNode;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.ConsensusTransport;
import maplespread.consensus.RegisterState;
import maplespread.consensus.VersionedValue;

/**
 * Three electors, two of which have begun a change each: every order in which their words arrive, or never,
 * with restarts and tries given up at any place. A state is copied for each thing that may come next; one
 * that was met before, by its text, is not followed again. Words that only tell or refuse are left out.
 */
public final class ExhaustiveInterleavings {
    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final long FAR = 1_000_000_000_000L; // nothing but tries and questions is due

    private record Packet(String to, ConsensusMessage word, long hash) {}

    private record Node(ConsensusNode core, long time, long hash) {}

    /** What led to a state. */
    private record Step(Step before, String what) {
        @Override
        public String toString() {
            return (before == null ? "" : before + ", ") + what;
        }
    }

    private record State(
            Map<String, Node> nodes,
            List<Packet> packets,
            Map<Long, VersionedValue> decided,
            int restarts,
            int tries,
            Step by) {
        long hash() {
            long hash = restarts * 31L + tries;
            for (Node n : nodes.values()) {
                hash = mixed(hash * 31 + n.hash);
            }
            return hash + packets.stream().mapToLong(Packet::hash).sum(); // in whatever order
        }
    }

    private final Map<Class<?>, List<Field>> fields = new java.util.HashMap<>();
    private final Set<Long> met = new HashSet<>();
    private final List<Packet> sent = new ArrayList<>();
    private final List<VersionedValue> learned = new ArrayList<>();
    private final ConsensusTransport sink = new ConsensusTransport() {
        @Override
        public void send(String to, ConsensusMessage word) {
            if (!Set.of(
                            ConsensusMessage.Kind.DECIDED_BALLOT,
                            ConsensusMessage.Kind.DECIDED,
                            ConsensusMessage.Kind.REFUSE)
                    .contains(word.kind())) {
                sent.add(new Packet(to, word, hash(to + word)));
            }
        }

        @Override
        public void learned(VersionedValue value) {
            learned.add(value);
        }

        @Override
        public void event(boolean warning, String event, Object... pairs) {}
    };
    private String fault;
    private int depth;

    /** How many states were met. */
    public int states() {
        return met.size();
    }

    /** Up to how many steps every order was followed. */
    public int depth() {
        return depth;
    }

    /**
     * What is wrong in one of the states, and what led there; null: nothing. All that so many steps reach,
     * then all that one more does, up to so many states.
     */
    public String search(int restarts, int tries, int mostDepth, int mostStates) {
        List<State> open = List.of(begin(restarts, tries));
        for (depth = 0; depth < mostDepth && !open.isEmpty(); depth++) {
            List<State> next = new ArrayList<>();
            for (State s : open) {
                follow(s, next);
                if (fault != null || met.size() >= mostStates) {
                    return fault;
                }
            }
            open = next;
        }
        return fault;
    }

    private State begin(int restarts, int tries) {
        Map<String, Node> nodes = new TreeMap<>();
        List<Packet> packets = new ArrayList<>();
        for (String name : NAMES) {
            ConsensusNode core = start(name, 1001 + NAMES.indexOf(name), 0);
            know(core, name);
            sent.clear();
            if (!name.equals("c")) {
                core.change(0, v -> v.text() + name, FAR, r -> {});
            }
            packets.addAll(sent);
            nodes.put(name, new Node(core, 0, hash(core.toString())));
        }
        learned.clear();
        return new State(nodes, packets, Map.of(), restarts, tries, null);
    }

    private ConsensusNode start(String name, long run, long at) {
        ConsensusSettings set = new ConsensusSettings(name, NAMES, 100, FAR);
        ConsensusNode core = new ConsensusNode(set, run, 1, at, sink);
        core.members(NAMES);
        return core;
    }

    /** As if it had read a value that is decided. */
    private static void know(ConsensusNode core, String name) {
        Ballot at = new Ballot(1, 1, "a", 1);
        RegisterState kept = new RegisterState(new VersionedValue(1, 1, "0", 0, NAMES), List.of(), List.of());
        for (String from : NAMES) {
            for (ConsensusMessage.Kind kind :
                    List.of(ConsensusMessage.Kind.RECOVERY_RESPONSE, ConsensusMessage.Kind.DECIDED)) {
                if (!from.equals(name)) {
                    core.receive(
                            0,
                            new ConsensusMessage(
                                    kind,
                                    from,
                                    1001 + NAMES.indexOf(from),
                                    Map.of(),
                                    at,
                                    at,
                                    false,
                                    false,
                                    1001 + NAMES.indexOf(name),
                                    NAMES,
                                    Map.of(),
                                    new RegisterState.AcceptedState(at, kept)));
                }
            }
        }
    }

    /** All that may come next. */
    private void follow(State s, List<State> next) {
        Set<Long> done = new HashSet<>();
        for (Packet p : s.packets) {
            if (done.add(p.hash)) { // one of those that are the same
                Node n = s.nodes.get(p.to);
                ConsensusNode core = copy(n.core);
                core.receive(n.time, p.word);
                List<Packet> left = new ArrayList<>(s.packets);
                left.remove(p);
                String what = p.word.kind() + " " + p.word.sender() + '>' + p.to;
                add(s, p.to, core, n.time, left, 0, 0, what, next);
            }
        }
        for (String name : NAMES) {
            Node n = s.nodes.get(name);
            if (s.tries > 0 && !name.equals("c")) {
                ConsensusNode core = copy(n.core);
                core.tick(n.time + 1000); // its end, and the rest after it
                core.tick(n.time + 2000);
                add(s, name, core, n.time + 2000, new ArrayList<>(s.packets), 0, 1, "again " + name, next);
            }
            if (s.restarts > 0) {
                ConsensusNode core = start(name, 2000 + s.restarts, n.time);
                core.tick(n.time);
                add(s, name, core, n.time, new ArrayList<>(s.packets), 1, 0, "restart " + name, next);
            }
        }
    }

    private void add(
            State s,
            String name,
            ConsensusNode core,
            long time,
            List<Packet> packets,
            int restart,
            int again,
            String what,
            List<State> next) {
        packets.addAll(sent);
        Map<Long, VersionedValue> decided = learned.isEmpty() ? s.decided : new TreeMap<>(s.decided);
        Step by = new Step(s.by, what);
        for (VersionedValue v : learned) {
            VersionedValue other = decided.putIfAbsent(v.version(), v);
            if (other != null && !other.equals(v)) {
                fault = "two values: " + other + ", " + v + " by " + by;
            }
        }
        sent.clear();
        learned.clear();
        Map<String, Node> nodes = new TreeMap<>(s.nodes);
        nodes.put(name, new Node(core, time, hash(core.toString() + time)));
        State n = new State(nodes, packets, decided, s.restarts - restart, s.tries - again, by);
        if (met.add(n.hash())) {
            next.add(n);
        }
    }

    // ------------------------------------------------------------ copies

    private ConsensusNode copy(ConsensusNode core) {
        try {
            ConsensusNode to = start("a", 1, 0);
            fill(core, to, Collections.newSetFromMap(new IdentityHashMap<>()));
            sent.clear();
            return to;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Parts that a new node has already are filled in place, as others refer to them. */
    private void fill(Object from, Object to, Set<Object> filled) throws ReflectiveOperationException {
        if (!filled.add(from)) {
            return;
        }
        for (Field f : fields.computeIfAbsent(from.getClass(), ExhaustiveInterleavings::fields)) {
            Object value = f.get(from);
            Object there = f.get(to);
            if (isPart(value) && there != null) {
                fill(value, there, filled);
            } else {
                f.set(to, copied(value, filled));
            }
        }
    }

    private static List<Field> fields(Class<?> of) {
        List<Field> all = new ArrayList<>();
        for (Field f : of.getDeclaredFields()) {
            if (!Modifier.isStatic(f.getModifiers())) {
                f.setAccessible(true);
                all.add(f);
            }
        }
        return all;
    }

    /** Whether this is an object of the core that may change: records, lambdas and what is passed in do not. */
    private static boolean isPart(Object o) {
        if (o == null) {
            return false;
        }
        Class<?> type = o.getClass();
        return type.getPackage().equals(ConsensusNode.class.getPackage())
                && !type.isRecord()
                && !type.isEnum()
                && !type.isHidden();
    }

    /** Of what a core keeps only collections, and its own parts, ever change. */
    private Object copied(Object o, Set<Object> filled) throws ReflectiveOperationException {
        if (o instanceof TreeMap<?, ?> m) {
            return new TreeMap<>(m);
        } else if (o instanceof TreeSet<?> s) {
            return new TreeSet<>(s);
        } else if (o instanceof HashSet<?> s) {
            return new HashSet<>(s);
        } else if (o instanceof ArrayDeque<?> q) {
            ArrayDeque<Object> to = new ArrayDeque<>();
            for (Object each : q) {
                to.add(copied(each, filled));
            }
            return to;
        } else if (!isPart(o)) {
            return o;
        }
        Constructor<?> c = o.getClass().getDeclaredConstructors()[0];
        c.setAccessible(true);
        Object[] none = new Object[c.getParameterCount()];
        for (int i = 0; i < none.length; i++) {
            Class<?> type = c.getParameterTypes()[i];
            none[i] = type == long.class ? 0L : type == boolean.class ? false : null;
        }
        Object to = c.newInstance(none);
        fill(o, to, filled);
        return to;
    }

    private static long hash(String text) {
        long mixed = 7;
        for (int i = 0; i < text.length(); i++) {
            mixed = (mixed ^ text.charAt(i)) * 0x9E3779B97F4A7C15L;
            mixed ^= mixed >>> 29;
        }
        return mixed(mixed);
    }

    private static long mixed(long of) {
        long z = (of ^ of >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}

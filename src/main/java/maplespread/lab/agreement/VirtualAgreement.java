package maplespread.lab.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusMessage;
import maplespread.consensus.ConsensusNode;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.ConsensusTransport;
import maplespread.consensus.MessageCodec;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;

/** Members and a network between them; some words go as bytes. Deterministic by seed. */
public final class VirtualAgreement {
    private record Packet(long at, long order, String from, String to, byte[] bytes) implements Comparable<Packet> {
        @Override
        public int compareTo(Packet o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** What a caller was told: its change began and ended then. */
    public record Told(String token, long from, long to, ChangeResult result) {}

    /** One run of one member. */
    public final class Node {
        public final String name;
        public final ConsensusNode core;
        private final MessageCodec codec = new MessageCodec();
        private long due, stalledUntil;
        private boolean dead;
        private VersionedValue last;

        private Node(String name, long boot) {
            this.name = name;
            core = new ConsensusNode(
                    new ConsensusSettings(name, electors, 50, 500),
                    boot,
                    random.nextLong(),
                    now,
                    new ConsensusTransport() {
                        @Override
                        public void send(String to, ConsensusMessage word) {
                            post(Node.this.name, to, codec.encode(to, word), word.accepted() != null);
                        }

                        @Override
                        public void learned(VersionedValue value) {
                            if (!value.isLaterThan(last)) {
                                faults.add(name + " learned " + value + " after " + last);
                            }
                            last = value;
                            saw(value);
                        }

                        @Override
                        public void event(boolean warning, String event, Object... pairs) {
                            events.merge(event, 1, Integer::sum);
                        }
                    });
        }

        /** A change that appends its token. */
        public void append(String token, long waitMs) {
            change(token, v -> v.text() + token + ' ', waitMs, r -> {});
        }

        /** A change by any rule; the token is checked for where it is decided, unless it is empty. */
        public void change(String token, Mutation c, long waitMs, Consumer<ChangeResult> done) {
            long from = now;
            core.change(now, c, now + waitMs, r -> {
                told.add(new Told(token, from, now, r));
                done.accept(r);
            });
            due = now;
        }

        /** Moves the electors. */
        public void electors(List<String> next, long waitMs, Consumer<ChangeResult> done) {
            core.electors(now, next, now + waitMs, done);
            movingTo.addAll(next);
            movingUntil = Math.max(movingUntil, now + waitMs + 3000);
            due = now;
        }

        public void found(List<String> with, long waitMs, Consumer<ChangeResult> done) {
            core.bootstrap(now, BOOT + now, with, now + waitMs, done);
            due = now;
        }
    }

    private static final long BOOT = 1_000_000;
    private final List<String> electors;
    private final SplittableRandom random;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Packet> packets = new PriorityQueue<>();
    private final Set<String> cut = new HashSet<>(); // "from to"
    private final Map<String, Integer> events = new HashMap<>();
    private final TreeMap<Long, TreeMap<Long, VersionedValue>> seen = new TreeMap<>(); // by epoch, then version
    private final List<Told> told = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final Set<String> movingTo = new HashSet<>();
    private long movingUntil; // words of a move may be under way
    private long now = 1, order, boots, sent, sentBytes;
    /** Chances of a packet to be lost, and to come twice; the most that it is delayed, in milliseconds. */
    public double loss, twice;

    public int delayMs = 3;
    /** What a word with a value in it takes beside that. */
    public int valueMs;

    /** {@code electors}: of everybody's settings, at every start. */
    public VirtualAgreement(List<String> electors, long seed) {
        this.electors = electors;
        random = new SplittableRandom(seed);
    }

    public long now() {
        return now;
    }

    public long sent() {
        return sent;
    }

    /** Of all words so far, as they stand in their packets. */
    public long sentBytes() {
        return sentBytes;
    }

    public int events(String name) {
        return events.getOrDefault(name, 0);
    }

    public List<Told> told() {
        return told;
    }

    public List<Node> alive() {
        return nodes.values().stream().filter(n -> !n.dead).toList();
    }

    /** The run of this name that is up; null: none. */
    public Node node(String name) {
        Node n = nodes.get(name);
        return n == null || n.dead ? null : n;
    }

    /** A first or another run of this name, which knows nothing. */
    public Node start(String name) {
        Node n = new Node(name, BOOT + now + ++boots);
        n.due = now;
        nodes.put(name, n);
        alive().forEach(m -> m.core.members(alive().stream().map(a -> a.name).toList()));
        return n;
    }

    public void kill(String name) {
        nodes.get(name).dead = true;
    }

    /**
     * Whether every list that may be in force keeps a majority that is up and sighted, without this one;
     * while electors change, no other of them may be out.
     */
    public boolean spared(String name) {
        Set<String> sighted = new HashSet<>();
        alive().stream().filter(n -> !n.core.recovering()).forEach(n -> sighted.add(n.name));
        sighted.remove(name);
        List<List<String>> lists = new ArrayList<>(List.of(electors));
        alive().forEach(n -> lists.addAll(n.core.electors()));
        if (now < movingUntil) {
            sighted.add(name);
            return sighted.containsAll(movingTo) && lists.stream().allMatch(sighted::containsAll);
        }
        movingTo.clear();
        return lists.stream()
                .allMatch(l -> 2 * l.stream().filter(sighted::contains).count() > l.size());
    }

    /** Stands still; what comes meanwhile is read when it goes on. */
    public void stall(String name, long ms) {
        nodes.get(name).stalledUntil = now + ms;
    }

    /** Nothing goes that way any more. */
    public void cut(String from, String to) {
        cut.add(from + ' ' + to);
    }

    /** Nothing goes between these and all others. */
    public void split(Set<String> side) {
        for (String a : nodes.keySet()) {
            for (String b : nodes.keySet()) {
                if (side.contains(a) != side.contains(b)) {
                    cut(a, b);
                }
            }
        }
    }

    /** All links as they should be; nobody stands still. */
    public void heal() {
        cut.clear();
        loss = 0;
        twice = 0;
        delayMs = 3;
        nodes.values().forEach(n -> n.stalledUntil = 0);
    }

    private void post(String from, String to, byte[] bytes, boolean value) {
        sent++;
        sentBytes += bytes.length;
        int copies = random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss && !cut.contains(from + ' ' + to)) {
                long at = now + 1 + random.nextInt(delayMs) + (value ? valueMs : 0);
                packets.add(new Packet(at, ++order, from, to, bytes));
            }
        }
    }

    /** Runs until then, from one thing that is due to the next. */
    public void run(long ms) {
        long end = now + ms;
        while (true) {
            long next = packets.isEmpty() ? end : packets.peek().at();
            for (Node n : nodes.values()) {
                next = n.dead ? next : Math.min(next, Math.max(n.due, n.stalledUntil));
            }
            now = Math.max(now, Math.min(next, end));
            if (next >= end) {
                return;
            }
            while (!packets.isEmpty() && packets.peek().at() <= now) {
                Packet p = packets.remove();
                Node to = nodes.get(p.to());
                if (to != null && to.stalledUntil > now) {
                    packets.add(new Packet(to.stalledUntil, p.order(), p.from(), p.to(), p.bytes()));
                } else if (to != null && !to.dead) {
                    arrived(to, p);
                }
            }
            for (Node n : nodes.values()) {
                if (!n.dead && n.due <= now && n.stalledUntil <= now) {
                    n.due = Math.max(now + 1, n.core.tick(now));
                }
            }
        }
    }

    private void arrived(Node to, Packet p) {
        MessageCodec.Received received = to.codec.decode(p.from(), p.bytes());
        if (!received.readable()) {
            faults.add(to.name + " cannot read what " + p.from() + " sent");
        }
        if (received.reply() != null) {
            post(to.name, p.from(), received.reply(), false);
        }
        if (received.message() != null) {
            to.core.receive(now, received.message());
            to.due = now;
        }
    }

    // ------------------------------------------------------------ the check

    private void saw(VersionedValue v) {
        VersionedValue other =
                seen.computeIfAbsent(v.epoch(), e -> new TreeMap<>()).putIfAbsent(v.version(), v);
        if (other != null && !other.equals(v)) {
            faults.add("two values: " + other + " and " + v);
        }
    }

    /** The last value that anybody learned; null: none. */
    public VersionedValue last() {
        return seen.isEmpty() ? null : seen.lastEntry().getValue().lastEntry().getValue();
    }

    /**
     * What is wrong with the history: decided values are one sequence in which each text begins with the one
     * before; a token is in it once, if its change was decided, or never, if it was refused; and a change
     * that began after another had ended does not rest on an earlier value. Where lives were founded, that
     * holds in each.
     */
    public List<String> faults() {
        told.stream()
                .map(Told::result)
                .filter(r -> r.outcome() == ChangeResult.Outcome.DECIDED)
                .forEach(r -> saw(r.value()));
        for (TreeMap<Long, VersionedValue> life : seen.values()) {
            VersionedValue before = null;
            for (VersionedValue v : life.values()) {
                if (before != null
                        && (!v.text().startsWith(before.text()) || v.electorsVersion() < before.electorsVersion())) {
                    faults.add(v + " does not follow " + before);
                }
                before = v;
            }
            List<String> tokens =
                    before.text().isBlank() ? List.of() : List.of(before.text().split(" "));
            if (Set.copyOf(tokens).size() < tokens.size()) {
                faults.add("applied twice: " + tokens);
            }
        }
        boolean one = seen.size() <= 1;
        List<String> end = one && last() != null ? List.of(last().text().split(" ")) : List.of();
        for (Told t : told) {
            boolean decided = t.result().outcome() == ChangeResult.Outcome.DECIDED;
            boolean there =
                    decided && List.of(t.result().value().text().split(" ")).contains(t.token());
            if (!t.token().isEmpty() && decided && (!there || one && !end.contains(t.token()))) {
                faults.add("lost: " + t);
            }
            if (one && t.result().outcome() == ChangeResult.Outcome.REJECTED && end.contains(t.token())) {
                faults.add("refused, and there: " + t);
            }
        }
        VersionedValue newest = null;
        List<Told> ends = told.stream()
                .filter(t -> t.result().outcome() != ChangeResult.Outcome.NO_MAJORITY)
                .toList();
        List<Told> begins = new ArrayList<>(ends);
        begins.sort(java.util.Comparator.comparingLong(Told::from));
        int i = 0;
        for (Told t : begins) { // told is in the order of the ends
            for (; i < ends.size() && ends.get(i).to() < t.from(); i++) {
                VersionedValue v = ends.get(i).result().value();
                newest = v.isLaterThan(newest) ? v : newest;
            }
            if (one && newest != null && newest.isLaterThan(t.result().value())) {
                faults.add("rests on an earlier value than " + newest + ": " + t);
            }
        }
        return faults;
    }
}

package maplespread.lab.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.membership.MemberUpdate;
import maplespread.membership.MembershipSettings;
import maplespread.membership.MembershipTransport;
import maplespread.membership.SwimMembership;
import maplespread.membership.SwimMessage;

/** Members and a network between them. Deterministic by seed; one millisecond is the smallest step. */
public final class VirtualGroup {
    private record Packet(long at, long order, String from, String to, SwimMessage message)
            implements Comparable<Packet> {
        @Override
        public int compareTo(Packet o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** One run of one member. */
    public final class Node {
        public final String name;
        private final SwimMembership core;
        private final Map<String, Integer> verdicts = new LinkedHashMap<>();
        private long due;
        private long pausedUntil;
        private boolean dead;

        private Node(String name, long boot) {
            this.name = name;
            MembershipSettings set = settings.apply(name);
            core = new SwimMembership(set, boot, random.nextLong(), now, new MembershipTransport() {
                @Override
                public void send(String to, SwimMessage message) {
                    post(name, to, message);
                }

                @Override
                public void changed(MemberUpdate before, MemberUpdate after) {
                    verdicts.merge(after.name() + ' ' + after.state(), 1, Integer::sum);
                    if (after.state() == MemberUpdate.State.DEAD) {
                        deaths.add(new Death(now, name, after.name()));
                    }
                }

                @Override
                public void event(boolean warning, String event, Object... pairs) {
                    verdicts.merge(event, 1, Integer::sum);
                }
            });
        }

        public SwimMembership core() {
            return core;
        }

        /** How often it has told of this. */
        public int told(String what) {
            return verdicts.getOrDefault(what, 0);
        }
    }

    /** {@code by} has taken {@code whom} for dead. */
    public record Death(long at, String by, String whom) {}

    /** Makes the settings of a member by its name. */
    public interface Settings {
        MembershipSettings apply(String name);
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Packet> packets = new PriorityQueue<>();
    private final Set<String> cut = new HashSet<>(); // "from to"
    private final List<Death> deaths = new ArrayList<>();
    private long now = 1;
    private long order;
    private long sent;
    /** Chances of a packet to be lost, and to come twice; the most that it is delayed, in milliseconds. */
    public double loss, twice;

    public int delayMs = 2;

    public VirtualGroup(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }

    public long now() {
        return now;
    }

    public long sent() {
        return sent;
    }

    public List<Death> deaths() {
        return deaths;
    }

    public List<Node> alive() {
        return nodes.values().stream().filter(n -> !n.dead).toList();
    }

    /** A first or another run of this name. */
    public Node start(String name) {
        Node n = new Node(name, 1_000_000 + now);
        nodes.put(name, n);
        return n;
    }

    public void kill(String name) {
        nodes.get(name).dead = true;
    }

    /** Stands still; what comes meanwhile is read when it goes on. */
    public void pause(String name, long ms) {
        nodes.get(name).pausedUntil = now + ms;
    }

    /** Nothing goes that way any more. */
    public void cut(String from, String to) {
        cut.add(from + ' ' + to);
    }

    public void heal() {
        cut.clear();
    }

    private void post(String from, String to, SwimMessage message) {
        sent++;
        int copies = random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss && !cut.contains(from + ' ' + to)) {
                packets.add(new Packet(now + 1 + random.nextInt(delayMs), ++order, from, to, message));
            }
        }
    }

    public void run(long ms) {
        for (long end = now + ms; now < end; now++) {
            List<Packet> later = new ArrayList<>();
            while (!packets.isEmpty() && packets.peek().at() <= now) {
                Packet p = packets.remove();
                Node to = nodes.get(p.to());
                if (to == null || to.dead) {
                    continue;
                }
                if (to.pausedUntil > now) {
                    later.add(new Packet(to.pausedUntil, p.order(), p.from(), p.to(), p.message()));
                    continue;
                }
                to.core.receive(now, p.from(), p.from(), p.message());
                to.due = now;
            }
            packets.addAll(later);
            for (Node n : nodes.values()) {
                if (!n.dead && n.pausedUntil <= now && n.due <= now) {
                    n.due = Math.max(now + 1, n.core.tick(now));
                }
            }
        }
    }
}

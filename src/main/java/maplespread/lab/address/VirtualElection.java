package maplespread.lab.address;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import maplespread.address.ElectionMessage;
import maplespread.address.ElectionSettings;
import maplespread.address.ElectionTransport;
import maplespread.address.LeaderElection;

/**
 * Instances that elect an owner, each on a clock of its own that drifts up to the bound, over a network
 * that loses, delays without bound, repeats and reorders. After each true millisecond it is checked that no
 * two may act at once, and that whoever becomes owner has a higher term than all before. Deterministic by
 * seed.
 */
public final class VirtualElection {
    private record Packet(long at, long order, int from, int to, ElectionMessage ballot) implements Comparable<Packet> {
        @Override
        public int compareTo(Packet o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** One instance's present run. */
    private final class Node implements ElectionTransport {
        final int place;
        double rate; // local milliseconds a true one
        double local;
        long due;
        long pausedUntil;
        boolean dead;
        LeaderElection election;

        Node(int place) {
            this.place = place;
        }

        void begin() {
            rate = 1 + (random.nextDouble() * 2 - 1) * drift;
            local = random.nextInt(1_000_000);
            election = new LeaderElection(settings.get(place), 1000 + now, random.nextLong(), clock(), this);
            due = clock();
            dead = false;
        }

        long clock() {
            return (long) local;
        }

        @Override
        public void send(String to, ElectionMessage ballot) {
            post(place, Integer.parseInt(to.substring(1)), ballot);
        }

        @Override
        public void acquired(long term) {
            if (term <= lastTerm) {
                fault = "term " + term + " after " + lastTerm + " at " + now;
            }
            lastTerm = Math.max(lastTerm, term);
            hops++;
        }

        @Override
        public void lost(long term, String successor) {}

        @Override
        public void event(boolean warning, String name, Object... pairs) {}
    }

    private final List<ElectionSettings> settings = new ArrayList<>();
    private final SplittableRandom random;
    private final double drift;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Packet> packets = new PriorityQueue<>();
    private final boolean[][] cut;
    private long now = 1;
    private long order;
    private long lastTerm;
    private int hops;
    private String fault = "";
    private long unownedSince = 1;
    private long longestUnowned;
    /** Chances to be lost and to come twice; the most that a packet is late, in milliseconds. */
    public double loss, twice;

    public int delayMs = 2;

    /**
     * {@code size} instances, all of them electors and candidates, with the clocks' drift of the settings.
     */
    public VirtualElection(int size, double actualDrift, long seed) {
        random = new SplittableRandom(seed);
        drift = actualDrift;
        cut = new boolean[size][size];
        List<String> names = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            names.add("n" + i);
        }
        for (int i = 0; i < size; i++) {
            settings.add(ElectionSettings.of("n" + i, names, names));
            nodes.add(new Node(i));
            nodes.get(i).begin();
        }
    }

    public long now() {
        return now;
    }

    /** What has gone wrong; empty: nothing. */
    public String fault() {
        return fault;
    }

    /** How often the address has changed hands. */
    public int hops() {
        return hops;
    }

    /** The place of the one that may act; -1: nobody. */
    public int owner() {
        for (Node n : nodes) {
            if (!n.dead && n.pausedUntil <= now && n.election.mayAct(n.clock())) {
                return n.place;
            }
        }
        return -1;
    }

    /** The longest time that nobody owned the address, since it was last asked. */
    public long takeLongestUnowned() {
        long most = longestUnowned;
        longestUnowned = 0;
        return most;
    }

    /** Nothing is kept: the next run knows neither votes nor terms. */
    public void kill(int place) {
        nodes.get(place).dead = true;
    }

    public boolean dead(int place) {
        return nodes.get(place).dead;
    }

    public void restart(int place) {
        nodes.get(place).begin();
    }

    /** Stands still while its clock goes on. */
    public void pause(int place, long ms) {
        nodes.get(place).pausedUntil = now + ms;
    }

    public void cut(int from, int to) {
        cut[from][to] = true;
    }

    public void heal() {
        for (boolean[] row : cut) {
            java.util.Arrays.fill(row, false);
        }
    }

    public void giveUp(int place, int successor) {
        Node n = nodes.get(place);
        if (!n.dead && n.pausedUntil <= now) {
            n.election.stepDown(n.clock(), "n" + successor);
        }
    }

    private void post(int from, int to, ElectionMessage ballot) {
        int copies = random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (!cut[from][to] && random.nextDouble() >= loss) {
                packets.add(new Packet(now + 1 + random.nextInt(delayMs), ++order, from, to, ballot));
            }
        }
    }

    public void run(long ms) {
        for (long end = now + ms; now < end && fault.isEmpty(); now++) {
            for (Node n : nodes) {
                n.local += n.rate;
            }
            List<Packet> later = new ArrayList<>();
            while (!packets.isEmpty() && packets.peek().at() <= now) {
                Packet p = packets.remove();
                Node to = nodes.get(p.to());
                if (to.pausedUntil > now) {
                    later.add(new Packet(to.pausedUntil, p.order(), p.from(), p.to(), p.ballot()));
                } else if (!to.dead) {
                    to.election.received(to.clock(), p.ballot());
                    to.due = to.clock();
                }
            }
            packets.addAll(later);
            int acting = 0;
            for (Node n : nodes) {
                if (!n.dead && n.pausedUntil <= now && n.due <= n.clock()) {
                    n.due = Math.max(n.clock() + 1, n.election.tick(n.clock(), 1_000_000_000L + now));
                }
                // One that stands still acts too, if its fence would let it at this very instant.
                acting += !n.dead && n.election.mayAct(n.clock()) ? 1 : 0;
            }
            if (acting > 1) {
                fault = acting + " may act at " + now;
            }
            if (owner() >= 0) {
                unownedSince = now;
            }
            longestUnowned = Math.max(longestUnowned, now - unownedSince);
        }
    }
}

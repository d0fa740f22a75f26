package maplespread.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplespread.membership.MemberUpdate.State;
import maplespread.membership.SwimMessage.Kind;

/**
 * One member's part in the group. Probes one other each period, in an order that is drawn anew each round;
 * asks helpers where that one does not answer; suspects it, which it may refute; and takes it for dead when
 * nobody has heard better for long enough. A member that may itself be slow, or has stood still, judges
 * others more slowly.
 */
public final class SwimMembership {
    private static final int CONFIRMATIONS = 3; // that shorten a suspicion to its least
    private static final double STANDSTILL_PERIODS = 4;

    /** A probe that is out. */
    private static final class Probe {
        final String target;
        final long seq, helpAt, endAt;
        boolean helped, acked;
        int asked, nacks;

        Probe(String target, long seq, long helpAt, long endAt) {
            this.target = target;
            this.seq = seq;
            this.helpAt = helpAt;
            this.endAt = endAt;
        }
    }

    /** A suspicion that runs. */
    private static final class Suspicion {
        final Set<String> by = new HashSet<>();
        long since;
    }

    /** A probe made for another. */
    private record Errand(String askerAddress, long askerSeq, long nackAt) {}

    private final MembershipSettings set;
    private final MembershipTransport sink;
    private final SplittableRandom random;
    private final Map<String, MemberUpdate> members = new TreeMap<>(); // all but this one, the dead too
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    private final Map<Long, Errand> errands = new TreeMap<>();
    private final GossipQueue gossip = new GossipQueue();
    private final List<String> round = new ArrayList<>();
    private MemberUpdate self;
    private Probe probe;
    private long seq;
    private long nextProbeAt, nextRejoinAt, dueAt;
    private int localHealth; // Lifeguard's local health, 0: sound
    private boolean left;

    /** {@code boot}: Unix milliseconds, above that of every earlier run under this name. */
    public SwimMembership(MembershipSettings set, long boot, long seed, long now, MembershipTransport sink) {
        this.set = set;
        this.sink = sink;
        random = new SplittableRandom(seed);
        self = new MemberUpdate(set.name(), set.address(), State.ALIVE, boot, 0, "");
        dueAt = now;
        nextProbeAt = now + random.nextLong(set.probePeriodMs()) + 1; // members must not probe in step
        nextRejoinAt = now;
        gossip.add(self);
    }

    public MemberUpdate self() {
        return self;
    }

    /** All others that are known, the dead too, by name. */
    public Collection<MemberUpdate> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** The one of this name, the dead too; null: not known, or this one. */
    public MemberUpdate member(String name) {
        return members.get(name);
    }

    /** Members that are not gone, this one among them. */
    public int size() {
        return 1 + (int) members.values().stream().filter(m -> !m.departed()).count();
    }

    /** How much this member doubts itself; 0: not at all. */
    public int localHealth() {
        return localHealth;
    }

    // ------------------------------------------------------------ time

    /** Does what is due; returns when to be called again at the latest. */
    public long tick(long now) {
        if (left) {
            return Long.MAX_VALUE;
        }
        if (now - dueAt > STANDSTILL_PERIODS * set.probePeriodMs()) {
            stoodStill(now, now - dueAt);
        }
        if (probe != null) {
            run(now);
        }
        if (probe == null && now >= nextProbeAt) {
            nextProbeAt = now + scaled(set.probePeriodMs());
            begin(now);
        }
        errands.entrySet().removeIf(e -> {
            if (e.getValue().nackAt() > now) {
                return false;
            }
            send(e.getValue().askerAddress(), Kind.NACK, e.getValue().askerSeq(), "", "", "");
            return true;
        });
        for (String name : List.copyOf(suspicions.keySet())) {
            if (now >= endsAt(suspicions.get(name))) {
                MemberUpdate m = members.get(name);
                take(now, m.withState(State.DEAD, set.name()));
            }
        }
        if (now >= nextRejoinAt) {
            rejoin(now);
        }
        goneAt.entrySet().removeIf(e -> {
            boolean forgotten = now - e.getValue() > set.departedRetentionMs();
            if (forgotten) {
                members.remove(e.getKey());
            }
            return forgotten;
        });
        dueAt = nextAt();
        return dueAt;
    }

    private long nextAt() {
        long at = Math.min(nextRejoinAt, probe == null ? nextProbeAt : probe.helped ? probe.endAt : probe.helpAt);
        for (Errand e : errands.values()) {
            at = Math.min(at, e.nackAt());
        }
        for (Suspicion s : suspicions.values()) {
            at = Math.min(at, endsAt(s));
        }
        return at;
    }

    /**
     * This process did not run for a while: answers that came meanwhile lie unread, so what it was waiting
     * for proves nothing of the others. It begins its waits anew and doubts itself.
     */
    private void stoodStill(long now, long ms) {
        sink.event(true, "membership.stood_still", "ms", ms);
        probe = null;
        errands.clear();
        localHealth = set.maxLocalHealth();
        suspicions.values().forEach(s -> s.since = now);
        nextProbeAt = now + scaled(set.probePeriodMs());
    }

    private long scaled(long ms) {
        return ms * (1 + localHealth);
    }

    private double log() {
        return Math.max(1, Math.log10(size()));
    }

    /** Shorter with each member that suspects the same on its own: LHA-Suspicion. */
    private long endsAt(Suspicion s) {
        double least = set.suspicionMultiplier() * log() * set.probePeriodMs();
        double most = least * set.maxSuspicionStretch();
        double share = Math.log(s.by.size()) / Math.log(CONFIRMATIONS + 1);
        return s.since + (long) Math.max(least, most - (most - least) * share);
    }

    // ------------------------------------------------------------ probes

    private void begin(long now) {
        String target = next();
        if (target == null) {
            return;
        }
        probe = new Probe(target, ++seq, now + scaled(set.ackTimeoutMs()), now + scaled(set.probePeriodMs()));
        ping(target, probe.seq);
    }

    /** Each member once a round, in an order drawn anew: a failure is found within two rounds at worst. */
    private String next() {
        while (true) {
            if (round.isEmpty()) {
                members.values().stream().filter(m -> !m.departed()).forEach(m -> round.add(m.name()));
                if (round.isEmpty()) {
                    return null;
                }
                shuffle(round);
            }
            String name = round.remove(round.size() - 1);
            MemberUpdate m = members.get(name);
            if (m != null && !m.departed()) {
                return name;
            }
        }
    }

    private void shuffle(List<String> names) {
        for (int i = names.size() - 1; i > 0; i--) {
            Collections.swap(names, i, random.nextInt(i + 1));
        }
    }

    private void ping(String name, long number) {
        MemberUpdate m = members.get(name);
        send(m.address(), Kind.PING, number, name, "", name);
    }

    private void run(long now) {
        if (probe.acked) {
            localHealth = Math.max(0, localHealth - 1);
            probe = null;
        } else if (!probe.helped && now >= probe.helpAt) {
            probe.helped = true;
            MemberUpdate target = members.get(probe.target);
            List<String> helpers = new ArrayList<>();
            members.values().stream()
                    .filter(m -> m.state() == State.ALIVE && !m.name().equals(probe.target))
                    .forEach(m -> helpers.add(m.name()));
            shuffle(helpers);
            for (String helper : helpers.subList(0, Math.min(set.indirectProbes(), helpers.size()))) {
                probe.asked++;
                send(
                        members.get(helper).address(),
                        Kind.PING_REQ,
                        probe.seq,
                        probe.target,
                        target.address(),
                        probe.target);
            }
        } else if (probe.helped && now >= probe.endAt) {
            // Helpers that say nothing at all are a sign that this member is the one that is cut off or slow.
            int silent = probe.asked - probe.nacks;
            localHealth = Math.min(set.maxLocalHealth(), localHealth + (probe.asked > 0 ? silent : 1));
            MemberUpdate m = members.get(probe.target);
            probe = null;
            if (m != null && !m.departed()) {
                take(now, m.withState(State.SUSPECT, set.name()));
            }
        }
    }

    // ------------------------------------------------------------ what came

    /** A message of {@code from}, which is known to have sent it. */
    public void received(long now, String from, String fromAddress, SwimMessage message) {
        if (left || from.equals(set.name()) && fromAddress.equals(set.address())) {
            return;
        }
        message.updates().forEach(u -> take(now, u));
        switch (message.kind()) {
            case PING -> {
                if (message.target().equals(set.name())) { // else it is for another
                    send(fromAddress, Kind.ACK, message.sequence(), "", "", from);
                }
            }
            case PING_REQ -> {
                long number = ++seq;
                errands.put(number, new Errand(fromAddress, message.sequence(), now + set.ackTimeoutMs() * 4 / 5));
                send(message.targetAddress(), Kind.PING, number, message.target(), "", message.target());
            }
            case ACK -> {
                Errand errand = errands.remove(message.sequence());
                if (errand != null) {
                    send(errand.askerAddress(), Kind.ACK, errand.askerSeq(), "", "", "");
                } else if (probe != null && probe.seq == message.sequence()) {
                    probe.acked = true;
                }
            }
            case NACK -> {
                if (probe != null && probe.seq == message.sequence()) {
                    probe.nacks++;
                }
            }
            case JOIN -> sync(fromAddress);
            case SYNC -> {} // its updates are all it brings
        }
    }

    /** Takes one member's state in, if it is news; passes it on. */
    private void take(long now, MemberUpdate u) {
        if (u.name().equals(set.name())) {
            aboutSelf(u);
            return;
        }
        MemberUpdate held = members.get(u.name());
        if (u.state() == State.SUSPECT
                && suspicions.containsKey(u.name())
                && held.processIncarnation() == u.processIncarnation()
                && held.incarnation() == u.incarnation()
                && suspicions.get(u.name()).by.size() <= CONFIRMATIONS
                && suspicions.get(u.name()).by.add(u.suspectedBy())) {
            gossip.add(u); // an independent confirmation is news, too
            return;
        }
        if (held != null && !u.overrides(held)) {
            if (u.state() != State.ALIVE && held.overrides(u) && held.state() == State.ALIVE) {
                gossip.add(held); // a refutation that somebody has not heard
            }
            return;
        }
        if (held == null && u.departed()) {
            return;
        }
        if (held != null
                && held.processIncarnation() != u.processIncarnation()
                && !held.departed()
                && !held.address().equals(u.address())) {
            sink.event(
                    true,
                    "membership.name_taken_twice",
                    "member",
                    u.name(),
                    "address",
                    held.address(),
                    "other",
                    u.address());
        }
        members.put(u.name(), u);
        suspicions.remove(u.name());
        goneAt.remove(u.name());
        if (u.state() == State.SUSPECT) {
            Suspicion s = new Suspicion();
            s.since = now;
            s.by.add(u.suspectedBy());
            suspicions.put(u.name(), s);
        } else if (u.departed()) {
            goneAt.put(u.name(), now);
        }
        gossip.add(u);
        if (held == null) {
            round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), u.name());
        }
        sink.changed(held, u);
    }

    /** Others say that this member is suspect or dead, or that another run of it is there. */
    private void aboutSelf(MemberUpdate u) {
        if (u.processIncarnation() > self.processIncarnation()) {
            sink.event(
                    true,
                    "membership.name_taken_twice",
                    "member",
                    u.name(),
                    "address",
                    self.address(),
                    "other",
                    u.address());
            return;
        }
        if (u.processIncarnation() == self.processIncarnation()
                && u.state() != State.ALIVE
                && u.incarnation() >= self.incarnation()) {
            self = new MemberUpdate(
                    self.name(), self.address(), State.ALIVE, self.processIncarnation(), u.incarnation() + 1, "");
            localHealth = Math.min(set.maxLocalHealth(), localHealth + 1);
            gossip.add(self);
            sink.event(false, "membership.refuted", "incarnation", self.incarnation(), "by", u.suspectedBy());
        }
    }

    // ------------------------------------------------------------ joining and leaving

    /** Asks seeds, and one of the dead: groups that were split find each other again. */
    private void rejoin(long now) {
        nextRejoinAt = now + set.rejoinIntervalMs() + random.nextLong(Math.max(1, set.rejoinIntervalMs() / 2));
        List<String> dead = new ArrayList<>();
        members.values().stream().filter(m -> m.state() == State.DEAD).forEach(m -> dead.add(m.address()));
        if (!dead.isEmpty()) {
            send(dead.get(random.nextInt(dead.size())), Kind.JOIN, ++seq, "", "", "");
        }
        List<String> unknown = new ArrayList<>(set.seeds());
        unknown.remove(set.address());
        members.values().stream().filter(m -> !m.departed()).forEach(m -> unknown.remove(m.address()));
        if (!unknown.isEmpty()) {
            send(unknown.get(random.nextInt(unknown.size())), Kind.JOIN, ++seq, "", "", "");
        } else if (size() > 1) {
            // Now and then the whole is compared with one other: news that every copy of was lost.
            String name = next();
            if (name != null && random.nextInt(8) == 0) {
                sync(members.get(name).address());
            }
        }
    }

    /** The whole group, in as many messages as it takes. */
    private void sync(String address) {
        List<MemberUpdate> part = new ArrayList<>();
        int bytes = 0;
        List<MemberUpdate> all = new ArrayList<>(members.values());
        all.add(self);
        for (MemberUpdate u : all) {
            if (bytes + GossipQueue.bytes(u) > set.maxPacketBytes() && !part.isEmpty()) {
                sink.send(address, new SwimMessage(Kind.SYNC, 0, "", "", part));
                part.clear();
                bytes = 0;
            }
            part.add(u);
            bytes += GossipQueue.bytes(u);
        }
        sink.send(address, new SwimMessage(Kind.SYNC, 0, "", "", part));
    }

    /** Says good-bye to a few, who pass it on; nothing is done after it. */
    public void leave(long now) {
        if (left) {
            return;
        }
        self = self.withState(State.LEFT, set.name());
        List<String> names = new ArrayList<>();
        members.values().stream().filter(m -> !m.departed()).forEach(m -> names.add(m.name()));
        shuffle(names);
        for (String name : names.subList(0, Math.min(set.indirectProbes() + 1, names.size()))) {
            sink.send(members.get(name).address(), new SwimMessage(Kind.SYNC, 0, "", "", List.of(self)));
        }
        left = true;
    }

    private void send(String address, Kind kind, long number, String target, String targetAddress, String to) {
        MemberUpdate m = members.get(to);
        List<MemberUpdate> first = new ArrayList<>(List.of(self)); // so that whoever hears of it knows it
        if (m != null && m.state() != State.ALIVE) {
            first.add(m); // who is thought ill of hears of it first
        }
        int most = (int) Math.ceil(set.retransmitMultiplier() * Math.max(1, Math.log10(size() + 1.0)));
        sink.send(
                address,
                new SwimMessage(
                        kind, number, target, targetAddress, gossip.take(first, set.maxPacketBytes() - 200, most)));
    }
}

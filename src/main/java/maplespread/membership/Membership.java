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
import maplespread.membership.Message.Kind;
import maplespread.membership.Update.State;

/**
 * One member's part in the group. Probes one other each period, in an order that is drawn anew each round;
 * asks helpers where that one does not answer; suspects it, which it may refute; and takes it for dead when
 * nobody has heard better for long enough. A member that may itself be slow, or has stood still, judges
 * others more slowly.
 */
public final class Membership {
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
    private final MembershipSink sink;
    private final SplittableRandom random;
    private final Map<String, Update> members = new TreeMap<>(); // all but this one, the dead too
    private final Map<String, Suspicion> suspicions = new HashMap<>();
    private final Map<String, Long> goneAt = new HashMap<>();
    private final Map<Long, Errand> errands = new TreeMap<>();
    private final Gossip gossip = new Gossip();
    private final List<String> round = new ArrayList<>();
    private Update self;
    private Probe probe;
    private long seq;
    private long nextProbeAt, nextRejoinAt, dueAt;
    private int doubt; // Lifeguard's local health, 0: sound
    private boolean left;

    /** {@code boot}: Unix milliseconds, above that of every earlier run under this name. */
    public Membership(MembershipSettings set, long boot, long seed, long now, MembershipSink sink) {
        this.set = set;
        this.sink = sink;
        random = new SplittableRandom(seed);
        self = new Update(set.name(), set.address(), State.ALIVE, boot, 0, "");
        dueAt = now;
        nextProbeAt = now + random.nextLong(set.periodMs()) + 1; // members must not probe in step
        nextRejoinAt = now;
        gossip.add(self);
    }

    public Update self() {
        return self;
    }

    /** All others that are known, the dead too, by name. */
    public Collection<Update> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** The one of this name, the dead too; null: not known, or this one. */
    public Update member(String name) {
        return members.get(name);
    }

    /** Members that are not gone, this one among them. */
    public int size() {
        return 1 + (int) members.values().stream().filter(m -> !m.gone()).count();
    }

    /** How much this member doubts itself; 0: not at all. */
    public int doubt() {
        return doubt;
    }

    // ------------------------------------------------------------ time

    /** Does what is due; returns when to be called again at the latest. */
    public long tick(long now) {
        if (left) {
            return Long.MAX_VALUE;
        }
        if (now - dueAt > STANDSTILL_PERIODS * set.periodMs()) {
            stoodStill(now, now - dueAt);
        }
        if (probe != null) {
            run(now);
        }
        if (probe == null && now >= nextProbeAt) {
            nextProbeAt = now + scaled(set.periodMs());
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
                Update m = members.get(name);
                take(now, m.as(State.DEAD, set.name()));
            }
        }
        if (now >= nextRejoinAt) {
            rejoin(now);
        }
        goneAt.entrySet().removeIf(e -> {
            boolean forgotten = now - e.getValue() > set.forgetMs();
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
        doubt = set.awareness();
        suspicions.values().forEach(s -> s.since = now);
        nextProbeAt = now + scaled(set.periodMs());
    }

    private long scaled(long ms) {
        return ms * (1 + doubt);
    }

    private double log() {
        return Math.max(1, Math.log10(size()));
    }

    /** Shorter with each member that suspects the same on its own: LHA-Suspicion. */
    private long endsAt(Suspicion s) {
        double least = set.suspicion() * log() * set.periodMs();
        double most = least * set.stretch();
        double share = Math.log(s.by.size()) / Math.log(CONFIRMATIONS + 1);
        return s.since + (long) Math.max(least, most - (most - least) * share);
    }

    // ------------------------------------------------------------ probes

    private void begin(long now) {
        String target = next();
        if (target == null) {
            return;
        }
        probe = new Probe(target, ++seq, now + scaled(set.ackMs()), now + scaled(set.periodMs()));
        ping(target, probe.seq);
    }

    /** Each member once a round, in an order drawn anew: a failure is found within two rounds at worst. */
    private String next() {
        while (true) {
            if (round.isEmpty()) {
                members.values().stream().filter(m -> !m.gone()).forEach(m -> round.add(m.name()));
                if (round.isEmpty()) {
                    return null;
                }
                shuffle(round);
            }
            String name = round.remove(round.size() - 1);
            Update m = members.get(name);
            if (m != null && !m.gone()) {
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
        Update m = members.get(name);
        send(m.address(), Kind.PING, number, name, "", name);
    }

    private void run(long now) {
        if (probe.acked) {
            doubt = Math.max(0, doubt - 1);
            probe = null;
        } else if (!probe.helped && now >= probe.helpAt) {
            probe.helped = true;
            Update target = members.get(probe.target);
            List<String> helpers = new ArrayList<>();
            members.values().stream()
                    .filter(m -> m.state() == State.ALIVE && !m.name().equals(probe.target))
                    .forEach(m -> helpers.add(m.name()));
            shuffle(helpers);
            for (String helper : helpers.subList(0, Math.min(set.helpers(), helpers.size()))) {
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
            doubt = Math.min(set.awareness(), doubt + (probe.asked > 0 ? silent : 1));
            Update m = members.get(probe.target);
            probe = null;
            if (m != null && !m.gone()) {
                take(now, m.as(State.SUSPECT, set.name()));
            }
        }
    }

    // ------------------------------------------------------------ what came

    /** A message of {@code from}, which is known to have sent it. */
    public void received(long now, String from, String fromAddress, Message message) {
        if (left || from.equals(set.name()) && fromAddress.equals(set.address())) {
            return;
        }
        message.updates().forEach(u -> take(now, u));
        switch (message.kind()) {
            case PING -> {
                if (message.target().equals(set.name())) { // else it is for another
                    send(fromAddress, Kind.ACK, message.seq(), "", "", from);
                }
            }
            case PING_REQ -> {
                long number = ++seq;
                errands.put(number, new Errand(fromAddress, message.seq(), now + set.ackMs() * 4 / 5));
                send(message.address(), Kind.PING, number, message.target(), "", message.target());
            }
            case ACK -> {
                Errand errand = errands.remove(message.seq());
                if (errand != null) {
                    send(errand.askerAddress(), Kind.ACK, errand.askerSeq(), "", "", "");
                } else if (probe != null && probe.seq == message.seq()) {
                    probe.acked = true;
                }
            }
            case NACK -> {
                if (probe != null && probe.seq == message.seq()) {
                    probe.nacks++;
                }
            }
            case JOIN -> sync(fromAddress);
            case SYNC -> {} // its updates are all it brings
        }
    }

    /** Takes one member's state in, if it is news; passes it on. */
    private void take(long now, Update u) {
        if (u.name().equals(set.name())) {
            aboutSelf(u);
            return;
        }
        Update held = members.get(u.name());
        if (u.state() == State.SUSPECT
                && suspicions.containsKey(u.name())
                && held.boot() == u.boot()
                && held.incarnation() == u.incarnation()
                && suspicions.get(u.name()).by.size() <= CONFIRMATIONS
                && suspicions.get(u.name()).by.add(u.by())) {
            gossip.add(u); // an independent confirmation is news, too
            return;
        }
        if (held != null && !u.overrides(held)) {
            if (u.state() != State.ALIVE && held.overrides(u) && held.state() == State.ALIVE) {
                gossip.add(held); // a refutation that somebody has not heard
            }
            return;
        }
        if (held == null && u.gone()) {
            return;
        }
        if (held != null
                && held.boot() != u.boot()
                && !held.gone()
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
            s.by.add(u.by());
            suspicions.put(u.name(), s);
        } else if (u.gone()) {
            goneAt.put(u.name(), now);
        }
        gossip.add(u);
        if (held == null) {
            round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), u.name());
        }
        sink.changed(held, u);
    }

    /** Others say that this member is suspect or dead, or that another run of it is there. */
    private void aboutSelf(Update u) {
        if (u.boot() > self.boot()) {
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
        if (u.boot() == self.boot() && u.state() != State.ALIVE && u.incarnation() >= self.incarnation()) {
            self = new Update(self.name(), self.address(), State.ALIVE, self.boot(), u.incarnation() + 1, "");
            doubt = Math.min(set.awareness(), doubt + 1);
            gossip.add(self);
            sink.event(false, "membership.refuted", "incarnation", self.incarnation(), "by", u.by());
        }
    }

    // ------------------------------------------------------------ joining and leaving

    /** Asks seeds, and one of the dead: groups that were split find each other again. */
    private void rejoin(long now) {
        nextRejoinAt = now + set.rejoinMs() + random.nextLong(Math.max(1, set.rejoinMs() / 2));
        List<String> dead = new ArrayList<>();
        members.values().stream().filter(m -> m.state() == State.DEAD).forEach(m -> dead.add(m.address()));
        if (!dead.isEmpty()) {
            send(dead.get(random.nextInt(dead.size())), Kind.JOIN, ++seq, "", "", "");
        }
        List<String> unknown = new ArrayList<>(set.seeds());
        unknown.remove(set.address());
        members.values().stream().filter(m -> !m.gone()).forEach(m -> unknown.remove(m.address()));
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
        List<Update> part = new ArrayList<>();
        int bytes = 0;
        List<Update> all = new ArrayList<>(members.values());
        all.add(self);
        for (Update u : all) {
            if (bytes + Gossip.bytes(u) > set.packet() && !part.isEmpty()) {
                sink.send(address, new Message(Kind.SYNC, 0, "", "", part));
                part.clear();
                bytes = 0;
            }
            part.add(u);
            bytes += Gossip.bytes(u);
        }
        sink.send(address, new Message(Kind.SYNC, 0, "", "", part));
    }

    /** Says good-bye to a few, who pass it on; nothing is done after it. */
    public void leave(long now) {
        if (left) {
            return;
        }
        self = self.as(State.LEFT, set.name());
        List<String> names = new ArrayList<>();
        members.values().stream().filter(m -> !m.gone()).forEach(m -> names.add(m.name()));
        shuffle(names);
        for (String name : names.subList(0, Math.min(set.helpers() + 1, names.size()))) {
            sink.send(members.get(name).address(), new Message(Kind.SYNC, 0, "", "", List.of(self)));
        }
        left = true;
    }

    private void send(String address, Kind kind, long number, String target, String targetAddress, String to) {
        Update m = members.get(to);
        List<Update> first = new ArrayList<>(List.of(self)); // so that whoever hears of it knows it
        if (m != null && m.state() != State.ALIVE) {
            first.add(m); // who is thought ill of hears of it first
        }
        int most = (int) Math.ceil(set.repeats() * Math.max(1, Math.log10(size() + 1.0)));
        sink.send(
                address,
                new Message(kind, number, target, targetAddress, gossip.take(first, set.packet() - 200, most)));
    }
}

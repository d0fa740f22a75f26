package maplespread.address;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.address.ElectionMessage.Kind;

/**
 * One instance's part in who owns the address: elector, candidate or both.
 *
 * <p>An elector gives its vote to one run of one candidate at a time, for a lease by its own clock. A
 * candidate owns the address while a majority has voted for it, and counts the lease from the moment at
 * which it asked, cut by the drift of both clocks: it has ended here before any of the votes has. So two
 * never own it at once, whatever the network does; message delays are not bounded, clocks need only run at
 * nearly the same rate.
 *
 * <p>Nothing is stored. An elector that begins knows neither its votes nor the terms: it is silent for longer
 * than any lease. Terms begin at Unix time, so that they grow over restarts of all.
 */
public final class LeaderElection {
    /** ELECTED counts while {@link #mayAct} says so. */
    public enum Role {
        FOLLOWER,
        CANDIDATE,
        LEADER,
        BACKOFF
    }

    private final ElectionSettings set;
    private final ElectionTransport sink;
    private final SplittableRandom random;
    private final boolean elector;
    private final int rank; // -1: no candidate
    private final long boot;
    private final long startedAt;

    // as an elector
    private String votedFor = "";
    private long votedBoot, votedTerm, votedUntil;
    private String reservedFor = "";
    private long reservedUntil;
    private long highest; // term ever heard of

    // as a candidate
    private Role role = Role.FOLLOWER;
    private long term, seq, askedAt, leaseUntil;
    private long nextAt;
    private long rest;
    private long stableSince;
    private long ownedSince;
    private String knownOwner = "";
    private long ownerSeenAt;
    private final Set<String> granted = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private boolean over;

    /** {@code boot} tells runs of one name apart; {@code now}: of a monotonic clock. */
    public LeaderElection(ElectionSettings set, long boot, long seed, long now, ElectionTransport sink) {
        this.set = set;
        this.sink = sink;
        this.boot = boot;
        random = new SplittableRandom(seed);
        elector = set.electors().contains(set.name());
        rank = set.candidates().indexOf(set.name());
        startedAt = now;
        stableSince = now;
        ownerSeenAt = now;
        nextAt = now + delay(0);
    }

    /** The term of the lease held, or of the last one. */
    public long term() {
        return term;
    }

    public Role role() {
        return role;
    }

    /** Who was last heard to own the address; empty: nobody. */
    public String knownOwner() {
        return knownOwner;
    }

    /**
     * The fence: whether this instance owns the address at this very moment. To be asked at each use with the
     * clock as it is then; guards against one that stood still beyond its lease and has not noticed.
     */
    public boolean mayAct(long now) {
        return role == Role.LEADER && now < leaseUntil;
    }

    // ------------------------------------------------------------ time

    /** Does what is due; {@code wallMs}: Unix time, for terms only. Returns when to be called again. */
    public long tick(long now, long wallMs) {
        if (over) {
            return Long.MAX_VALUE;
        }
        if (role == Role.LEADER && now >= leaseUntil) {
            lose(now, "the lease has run out", "");
        }
        if (now >= nextAt && rank >= 0) {
            switch (role) {
                case LEADER -> ask(now, false);
                case BACKOFF -> {
                    role = Role.FOLLOWER;
                    nextAt = now + delay(0);
                }
                case CANDIDATE -> retreat(now); // no majority in time
                case FOLLOWER -> follow(now, wallMs);
            }
        }
        return role == Role.LEADER ? Math.min(nextAt, leaseUntil) : rank < 0 ? Long.MAX_VALUE : nextAt;
    }

    private void follow(long now, long wallMs) {
        boolean known = !knownOwner.isEmpty() && now - ownerSeenAt < set.leaseMs();
        if (!known) {
            term = Math.max(highest + 1, wallMs);
            role = Role.CANDIDATE;
            ask(now, true);
            return;
        }
        int better = set.candidates().indexOf(knownOwner);
        if (better > rank && now - stableSince >= set.stableMs()) {
            sink.send(knownOwner, new ElectionMessage(Kind.HANDOVER_REQUEST, set.name(), boot, highest, 0, "", 0));
        }
        // Looked at again when the owner's last word is a lease old, the preferred ones first.
        nextAt = Math.max(now + 1, ownerSeenAt + set.leaseMs()) + delay(0);
        if (better > rank) {
            nextAt = Math.min(nextAt, now + set.renewMs());
        }
    }

    private long delay(long base) {
        return base + Math.max(0, rank) * set.staggerMs() + random.nextLong(Math.max(1, set.staggerMs()));
    }

    private void ask(long now, boolean first) {
        seq++;
        askedAt = now;
        granted.clear();
        refused.clear();
        nextAt = now + (first ? set.leaseMs() / 2 : set.renewMs());
        ElectionMessage b = new ElectionMessage(Kind.REQUEST, set.name(), boot, term, seq, "", 0);
        for (String to : set.electors()) {
            if (to.equals(set.name())) {
                vote(now, b);
            } else {
                sink.send(to, b);
            }
        }
    }

    // ------------------------------------------------------------ what came

    /** A ballot, known to be of the instance that it names. */
    public void received(long now, ElectionMessage b) {
        if (over) {
            return;
        }
        switch (b.kind()) {
            case REQUEST -> {
                if (elector) {
                    vote(now, b);
                }
            }
            case GRANT -> granted(now, b);
            case REFUSE -> refused(now, b);
            case RELEASE -> givenUp(now, b);
            case HANDOVER_REQUEST -> {
                int asks = set.candidates().indexOf(b.sender());
                if (mayAct(now) && asks >= 0 && asks < rank && now - ownedSince >= set.stableMs()) {
                    stepDown(now, b.sender());
                }
            }
        }
    }

    private void heard(long now, String holder, long ofTerm) {
        highest = Math.max(highest, ofTerm);
        if (!holder.equals(set.name()) && ofTerm >= highest) {
            knownOwner = holder;
            ownerSeenAt = now;
        }
    }

    private void vote(long now, ElectionMessage b) {
        boolean same = votedFor.equals(b.sender()) && votedBoot == b.incarnation() && votedTerm == b.term();
        boolean free = now >= votedUntil && (now >= reservedUntil || reservedFor.equals(b.sender()));
        // One that has just begun may have voted before, and does not know for whom.
        boolean blind = now - startedAt < set.quarantineMs();
        if (!blind
                && b.term() >= highest
                && (same && now < votedUntil || free && b.term() > votedTerm)
                && set.candidates().contains(b.sender())) {
            votedFor = b.sender();
            votedBoot = b.incarnation();
            votedTerm = b.term();
            votedUntil = now + set.leaseMs();
            highest = b.term();
            reservedUntil = now;
            heard(now, b.sender(), b.term());
            answer(now, b, new ElectionMessage(Kind.GRANT, set.name(), boot, b.term(), b.sequence(), "", 0));
        } else {
            highest = Math.max(highest, b.term());
            answer(
                    now,
                    b,
                    new ElectionMessage(
                            Kind.REFUSE,
                            set.name(),
                            boot,
                            highest,
                            b.sequence(),
                            now < votedUntil ? votedFor : "",
                            Math.max(0, votedUntil - now)));
        }
    }

    private void answer(long now, ElectionMessage asked, ElectionMessage answer) {
        if (!asked.sender().equals(set.name())) {
            sink.send(asked.sender(), answer);
        } else if (answer.kind() == Kind.GRANT) {
            granted(now, answer);
        }
    }

    private void granted(long now, ElectionMessage b) {
        boolean mine = (role == Role.CANDIDATE || role == Role.LEADER) && b.sequence() == seq && b.term() == term;
        if (!mine
                || !set.electors().contains(b.sender())
                || !granted.add(b.sender())
                || granted.size() < set.majority()) {
            return;
        }
        long until = askedAt + set.ownLeaseMs();
        if (now >= until) {
            return; // the votes came too late to be of use
        }
        leaseUntil = until;
        if (role == Role.CANDIDATE) {
            role = Role.LEADER;
            ownedSince = now;
            knownOwner = set.name();
            nextAt = askedAt + set.renewMs();
            sink.event(false, "address.owned", "term", term);
            sink.acquired(term);
        }
    }

    private void refused(long now, ElectionMessage b) {
        highest = Math.max(highest, b.term());
        if (b.sequence() != seq || role != Role.CANDIDATE) {
            return;
        }
        refused.add(b.sender());
        if (!b.holder().isEmpty() && !b.holder().equals(set.name())) {
            knownOwner = b.holder();
            ownerSeenAt = now;
        }
        if (refused.size() > set.electors().size() - set.majority()) {
            retreat(now);
        }
    }

    /**
     * No majority is to be had: the votes that were given are given back, or they would stand in
     * everybody's way for a lease. Grants that are still on their way count for nothing from here on.
     */
    private void retreat(long now) {
        role = Role.FOLLOWER;
        nextAt = now + delay(set.renewMs() / 2);
        giveUp(now, "");
    }

    /** The owner has given its lease up: its vote here is free, for the successor first. */
    private void givenUp(long now, ElectionMessage b) {
        highest = Math.max(highest, b.term());
        if (votedFor.equals(b.sender()) && votedBoot == b.incarnation() && votedTerm == b.term()) {
            votedUntil = Math.min(votedUntil, now);
            reservedFor = b.holder();
            reservedUntil = b.holder().isEmpty() ? now : now + set.leaseMs() / 2;
        }
        if (knownOwner.equals(b.sender())) {
            knownOwner = "";
            if (role == Role.FOLLOWER && rank >= 0) {
                nextAt = b.holder().equals(set.name())
                        ? now
                        : now + delay(b.holder().isEmpty() ? 0 : set.leaseMs() / 2);
            }
        }
    }

    /**
     * Gives the lease up, for a successor where one is named. From here on this instance does not act; only
     * then do the electors hear of it.
     */
    public void stepDown(long now, String successor) {
        if (role != Role.LEADER) {
            return;
        }
        lose(now, "given up", successor);
        giveUp(now, successor);
    }

    private void giveUp(long now, String successor) {
        ElectionMessage b = new ElectionMessage(Kind.RELEASE, set.name(), boot, term, seq, successor, 0);
        Set<String> all = new HashSet<>(set.electors());
        all.addAll(set.candidates());
        List<String> others = new ArrayList<>(all);
        others.sort(null);
        for (String to : others) {
            if (!to.equals(set.name())) {
                sink.send(to, b);
            } else if (elector) {
                givenUp(now, b);
            }
        }
    }

    /** Ends this run: gives up what it owns, and neither asks nor votes any more. */
    public void end(long now, String successor) {
        stepDown(now, successor);
        over = true;
    }

    private void lose(long now, String why, String successor) {
        // One that loses it soon after it had it is not stable, and waits longer each time.
        boolean soon = now - ownedSince < set.stableMs();
        rest = successor.isEmpty() && soon
                ? Math.min(set.maxBackoffMs(), Math.max(set.backoffMs(), rest * 2))
                : set.backoffMs();
        sink.event(!why.equals("given up"), "address.lost", "term", term, "why", why, "rests_ms", rest);
        role = Role.BACKOFF;
        knownOwner = "";
        stableSince = now;
        nextAt = now + rest;
        sink.lost(term, successor);
    }
}

package maplespread.address;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.address.ElectionMessage.Kind;

/**
 * One instance's part in who owns the address, as elector, candidate or both: a lease by majority, in the manner of
 * PaxosLease (Trencseni, Gazso, Reinhardt 2012) with terms as in Raft.
 *
 * <p>An elector gives its vote to one incarnation of one candidate at a time, for a lease by its own clock. A candidate
 * owns the address while a majority has voted for it, and counts the lease from the moment at which it asked, shortened
 * by the drift of both clocks: it has ended here before any of the votes has. So two never own the address at once,
 * whatever the network does; message delays are not bounded, clocks need only run at nearly the same rate.
 *
 * <p>Nothing is stored. An elector that starts knows neither its votes nor the terms, so it is silent for longer than any
 * lease. Terms begin at Unix time, so that they grow over restarts of all.
 *
 * <p>Its owner passes the time in, in milliseconds of a clock that never goes back, and calls it from one thread at a
 * time.
 */
public final class LeaderElection {
    /** What this instance does as a candidate. */
    public enum Role {
        /** Another instance owns the address, or nobody. */
        FOLLOWER,
        /** It has asked for votes. */
        CANDIDATE,
        /** It owns the address, while {@link #mayAct} says so. */
        LEADER,
        /** It has lost the address and waits before it asks again. */
        BACKOFF
    }

    private static final int NO_CANDIDATE = -1;
    private static final String RELEASED = "given up";
    private static final String EXPIRED = "the lease has run out";

    private final ElectionSettings settings;
    private final ElectionTransport transport;
    private final SplittableRandom random;
    private final boolean elector;
    private final int rank;
    private final long incarnation;
    private final long startedAt;
    private final ElectorVote vote = new ElectorVote();
    private final Set<String> grants = new HashSet<>();
    private final Set<String> refusals = new HashSet<>();
    private long highestTerm;
    private Role role = Role.FOLLOWER;
    private long term;
    private long sequence;
    private long requestedAt;
    private long leaseUntil;
    private long nextTickAt;
    private long backoffMs;
    private long stableSince;
    private long acquiredAt;
    private String knownOwner = "";
    private long ownerSeenAt;
    private boolean ended;

    /**
     * An instance that knows neither votes nor terms.
     *
     * @param incarnation Unix milliseconds of this process' start; tells processes of one name apart
     * @param seed of the random source that spreads requests
     * @param now milliseconds of a monotonic clock
     * @param transport takes what the instance sends and reports, during calls of it
     */
    public LeaderElection(
            ElectionSettings settings, long incarnation, long seed, long now, ElectionTransport transport) {
        this.settings = settings;
        this.transport = transport;
        this.incarnation = incarnation;
        random = new SplittableRandom(seed);
        elector = settings.electors().contains(settings.name());
        rank = settings.candidates().indexOf(settings.name());
        startedAt = now;
        stableSince = now;
        ownerSeenAt = now;
        nextTickAt = now + delayMs(0);
    }

    /** The term of the lease held, or of the last one. */
    public long term() {
        return term;
    }

    /** What this instance does as a candidate. */
    public Role role() {
        return role;
    }

    /** Who was last known to own the address; empty: nobody. */
    public String knownOwner() {
        return knownOwner;
    }

    /**
     * The fence: whether this instance owns the address at this moment. To be asked at each use with the time as it is
     * then; guards against a process that was paused beyond its lease and has not noticed.
     */
    public boolean mayAct(long now) {
        return role == Role.LEADER && now < leaseUntil;
    }

    // ------------------------------------------------------------ time

    /**
     * Does what is due; returns when to be called again at the latest.
     *
     * @param now milliseconds of the monotonic clock
     * @param wallMs Unix milliseconds, for terms only
     */
    public long tick(long now, long wallMs) {
        if (ended) {
            return Long.MAX_VALUE;
        }
        if (role == Role.LEADER && now >= leaseUntil) {
            lose(now, EXPIRED, "");
        }
        if (now >= nextTickAt && isCandidate()) {
            advance(now, wallMs);
        }
        if (role == Role.LEADER) {
            return Math.min(nextTickAt, leaseUntil);
        }
        return isCandidate() ? nextTickAt : Long.MAX_VALUE;
    }

    private boolean isCandidate() {
        return rank != NO_CANDIDATE;
    }

    private void advance(long now, long wallMs) {
        switch (role) {
            case LEADER -> requestVotes(now, settings.renewMs());
            case BACKOFF -> {
                role = Role.FOLLOWER;
                nextTickAt = now + delayMs(0);
            }
            case CANDIDATE -> retreat(now); // no majority in time
            case FOLLOWER -> follow(now, wallMs);
        }
    }

    private void follow(long now, long wallMs) {
        boolean ownerAlive = !knownOwner.isEmpty() && now - ownerSeenAt < settings.leaseMs();
        if (!ownerAlive) {
            term = Math.max(highestTerm + 1, wallMs);
            role = Role.CANDIDATE;
            requestVotes(now, settings.leaseMs() / 2);
            return;
        }
        boolean preferred = settings.candidates().indexOf(knownOwner) > rank;
        if (preferred && now - stableSince >= settings.stableMs()) {
            transport.send(
                    knownOwner,
                    new ElectionMessage(Kind.HANDOVER_REQUEST, settings.name(), incarnation, highestTerm, 0, "", 0));
        }
        // Next when the owner's last message is a lease old, the preferred ones first.
        nextTickAt = Math.max(now + 1, ownerSeenAt + settings.leaseMs()) + delayMs(0);
        if (preferred) {
            nextTickAt = Math.min(nextTickAt, now + settings.renewMs());
        }
    }

    /** Longer for less preferred candidates, and random, so that they do not ask at once. */
    private long delayMs(long baseMs) {
        return baseMs + Math.max(0, rank) * settings.staggerMs() + random.nextLong(Math.max(1, settings.staggerMs()));
    }

    private void requestVotes(long now, long nextTickInMs) {
        sequence++;
        requestedAt = now;
        grants.clear();
        refusals.clear();
        nextTickAt = now + nextTickInMs;
        ElectionMessage request =
                new ElectionMessage(Kind.REQUEST, settings.name(), incarnation, term, sequence, "", 0);
        for (String receiver : settings.electors()) {
            if (receiver.equals(settings.name())) {
                vote(now, request);
            } else {
                transport.send(receiver, request);
            }
        }
    }

    // ------------------------------------------------------------ messages

    /** Takes a message of another instance, which is known to have sent it. */
    public void received(long now, ElectionMessage message) {
        if (ended) {
            return;
        }
        switch (message.kind()) {
            case REQUEST -> {
                if (elector) {
                    vote(now, message);
                }
            }
            case GRANT -> granted(now, message);
            case REFUSE -> refused(now, message);
            case RELEASE -> released(now, message);
            case HANDOVER_REQUEST -> handoverRequested(now, message);
        }
    }

    private void handoverRequested(long now, ElectionMessage request) {
        int candidateRank = settings.candidates().indexOf(request.sender());
        boolean preferred = candidateRank >= 0 && candidateRank < rank;
        if (mayAct(now) && preferred && now - acquiredAt >= settings.stableMs()) {
            stepDown(now, request.sender());
        }
    }

    private void vote(long now, ElectionMessage request) {
        // An elector that has just started may have voted before, and does not know for whom.
        boolean inQuarantine = now - startedAt < settings.quarantineMs();
        if (!inQuarantine
                && request.term() >= highestTerm
                && vote.isAvailableTo(request, now)
                && settings.candidates().contains(request.sender())) {
            vote.give(request, now, settings.leaseMs());
            highestTerm = request.term();
            observeOwner(now, request.sender());
            answer(now, request, reply(Kind.GRANT, request, request.term(), "", 0));
        } else {
            highestTerm = Math.max(highestTerm, request.term());
            answer(now, request, reply(Kind.REFUSE, request, highestTerm, vote.holder(now), vote.remainingMs(now)));
        }
    }

    private ElectionMessage reply(Kind kind, ElectionMessage request, long ofTerm, String holder, long remainingMs) {
        return new ElectionMessage(kind, settings.name(), incarnation, ofTerm, request.sequence(), holder, remainingMs);
    }

    private void observeOwner(long now, String owner) {
        if (!owner.equals(settings.name())) {
            knownOwner = owner;
            ownerSeenAt = now;
        }
    }

    private void answer(long now, ElectionMessage request, ElectionMessage answer) {
        if (!request.sender().equals(settings.name())) {
            transport.send(request.sender(), answer);
        } else if (answer.kind() == Kind.GRANT) {
            granted(now, answer);
        }
    }

    private void granted(long now, ElectionMessage grant) {
        boolean asking = role == Role.CANDIDATE || role == Role.LEADER;
        boolean ofRequest = grant.sequence() == sequence && grant.term() == term;
        if (!asking || !ofRequest || !settings.electors().contains(grant.sender())) {
            return;
        }
        if (!grants.add(grant.sender()) || grants.size() < settings.majority()) {
            return;
        }
        long until = requestedAt + settings.ownLeaseMs();
        if (now >= until) {
            return; // the votes came too late to be of use
        }
        leaseUntil = until;
        if (role == Role.CANDIDATE) {
            acquire(now);
        }
    }

    private void acquire(long now) {
        role = Role.LEADER;
        acquiredAt = now;
        knownOwner = settings.name();
        nextTickAt = requestedAt + settings.renewMs();
        transport.event(false, "address.owned", "term", term);
        transport.acquired(term);
    }

    private void refused(long now, ElectionMessage refusal) {
        highestTerm = Math.max(highestTerm, refusal.term());
        if (refusal.sequence() != sequence || role != Role.CANDIDATE) {
            return;
        }
        refusals.add(refusal.sender());
        if (!refusal.holder().isEmpty()) {
            observeOwner(now, refusal.holder());
        }
        if (refusals.size() > settings.electors().size() - settings.majority()) {
            retreat(now);
        }
    }

    /**
     * No majority can be had: the votes that were given are given back, or they would stand in everybody's way for a
     * lease. Grants that are still on their way count for nothing from here on.
     */
    private void retreat(long now) {
        role = Role.FOLLOWER;
        nextTickAt = now + delayMs(settings.renewMs() / 2);
        releaseVotes(now, "");
    }

    /** A candidate or owner has released its votes: the one given here is free, for the successor first. */
    private void released(long now, ElectionMessage release) {
        highestTerm = Math.max(highestTerm, release.term());
        vote.release(release, now, settings.leaseMs() / 2);
        if (knownOwner.equals(release.sender())) {
            knownOwner = "";
            if (role == Role.FOLLOWER && isCandidate()) {
                nextTickAt = firstRequestAfter(release, now);
            }
        }
    }

    private long firstRequestAfter(ElectionMessage release, long now) {
        if (release.holder().equals(settings.name())) {
            return now;
        }
        return now + delayMs(release.holder().isEmpty() ? 0 : settings.leaseMs() / 2);
    }

    // ------------------------------------------------------------ giving up

    /**
     * Gives the lease up, for a successor where one is named. From here on this instance does not act; only then are the
     * electors told.
     */
    public void stepDown(long now, String successor) {
        if (role != Role.LEADER) {
            return;
        }
        lose(now, RELEASED, successor);
        releaseVotes(now, successor);
    }

    private void releaseVotes(long now, String successor) {
        ElectionMessage release =
                new ElectionMessage(Kind.RELEASE, settings.name(), incarnation, term, sequence, successor, 0);
        Set<String> all = new HashSet<>(settings.electors());
        all.addAll(settings.candidates());
        List<String> receivers = new ArrayList<>(all);
        receivers.sort(null);
        for (String receiver : receivers) {
            if (!receiver.equals(settings.name())) {
                transport.send(receiver, release);
            } else if (elector) {
                released(now, release);
            }
        }
    }

    /** Gives up what this instance owns, and neither asks nor votes any more. */
    public void end(long now, String successor) {
        stepDown(now, successor);
        ended = true;
    }

    /** An owner that loses the address soon after it had it is not stable, and backs off longer each time. */
    private void lose(long now, String reason, String successor) {
        boolean soon = now - acquiredAt < settings.stableMs();
        boolean unstable = successor.isEmpty() && soon;
        long doubledMs = Math.max(settings.backoffMs(), backoffMs * 2);
        backoffMs = unstable ? Math.min(settings.maxBackoffMs(), doubledMs) : settings.backoffMs();
        boolean warning = !reason.equals(RELEASED);
        transport.event(warning, "address.lost", "term", term, "why", reason, "rests_ms", backoffMs);
        role = Role.BACKOFF;
        knownOwner = "";
        stableSince = now;
        nextTickAt = now + backoffMs;
        transport.lost(term, successor);
    }
}

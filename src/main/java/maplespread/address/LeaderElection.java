package maplespread.address;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.address.ElectionMessage.Kind;

/**
 * The election of the address owner at one instance, which is an elector, a candidate or both. The owner holds a
 * majority lease in the manner of PaxosLease (Trencseni, Gazso, Reinhardt 2012), with terms as in Raft.
 *
 * <p>An elector grants its vote to one incarnation of one candidate at a time, for one lease on the elector's own clock.
 * A candidate owns the address while a majority has voted for it. It counts its lease from the time of its request,
 * shortened by the drift of both clocks, so its lease expires before any of the votes does. Two candidates therefore
 * never own the address at once. Message delays may be unbounded; clocks only need to run at nearly the same rate.
 *
 * <p>Nothing is persisted. An elector that starts knows neither its votes nor the terms, so it first waits for longer
 * than any lease lasts before it grants a vote. Terms start at Unix time, so that they increase even when all instances
 * restart.
 *
 * <p>The caller passes the time in milliseconds of a monotonic clock and calls from one thread at a time.
 */
public final class LeaderElection {
    /** The role of this instance as a candidate. */
    public enum Role {
        /** Another instance, or none, owns the address. */
        FOLLOWER,
        /** This instance has requested votes. */
        CANDIDATE,
        /** This instance owns the address while {@link #mayAct} returns true. */
        LEADER,
        /** This instance has lost the address and waits before it requests votes again. */
        BACKOFF
    }

    private static final int NOT_A_CANDIDATE = -1;
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
    private final Set<String> rejections = new HashSet<>();
    private long highestTerm;
    private Role role = Role.FOLLOWER;
    private long term;
    private long sequence;
    private long requestedAt;
    private long leaseEndsAt;
    private long nextTickAt;
    private long backoffMs;
    private long stableSince;
    private long acquiredAt;
    private String knownOwner = "";
    private long ownerSeenAt;
    private boolean ended;

    /**
     * Creates an instance that knows neither votes nor terms.
     *
     * @param incarnation start time of this process in Unix milliseconds; distinguishes processes with the same name
     * @param seed the seed of the random source that spreads vote requests
     * @param now the current time, in milliseconds of a monotonic clock
     * @param transport sends messages and reports events; invoked within calls to this object
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

    /** The term of the current lease, or of the last one requested. */
    public long term() {
        return term;
    }

    /** The role of this instance as a candidate. */
    public Role role() {
        return role;
    }

    /** The last known owner of the address; empty if none is known. */
    public String knownOwner() {
        return knownOwner;
    }

    /**
     * Fencing check: whether this instance owns the address at this moment. Callers check it before each use of the
     * address with the current time: after a process pause longer than the lease, the role alone is outdated.
     */
    public boolean mayAct(long now) {
        return role == Role.LEADER && now < leaseEndsAt;
    }

    // ------------------------------------------------------------ time

    /**
     * Runs the steps that are due.
     *
     * @param now the current time, in milliseconds of the monotonic clock
     * @param wallMs Unix milliseconds, for terms only
     * @return the latest time of the next call, in milliseconds of the monotonic clock
     */
    public long tick(long now, long wallMs) {
        if (ended) {
            return Long.MAX_VALUE;
        }
        if (role == Role.LEADER && now >= leaseEndsAt) {
            loseOwnership(now, EXPIRED, "");
        }
        if (now >= nextTickAt && isCandidate()) {
            advance(now, wallMs);
        }
        if (role == Role.LEADER) {
            return Math.min(nextTickAt, leaseEndsAt);
        }
        return isCandidate() ? nextTickAt : Long.MAX_VALUE;
    }

    private boolean isCandidate() {
        return rank != NOT_A_CANDIDATE;
    }

    private void advance(long now, long wallMs) {
        switch (role) {
            case LEADER -> requestVotes(now, settings.renewMs());
            case BACKOFF -> {
                role = Role.FOLLOWER;
                nextTickAt = now + delayMs(0);
            }
            case CANDIDATE -> endCandidacy(now); // no majority within the timeout
            case FOLLOWER -> advanceFollower(now, wallMs);
        }
    }

    private void advanceFollower(long now, long wallMs) {
        boolean ownerLeaseValid = !knownOwner.isEmpty() && now - ownerSeenAt < settings.leaseMs();
        if (!ownerLeaseValid) {
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
        // The next request is due one lease after the owner's last message; preferred candidates ask first.
        nextTickAt = Math.max(now + 1, ownerSeenAt + settings.leaseMs()) + delayMs(0);
        if (preferred) {
            nextTickAt = Math.min(nextTickAt, now + settings.renewMs());
        }
    }

    /** A delay that grows as preference falls, plus a random share, so that candidates do not ask at the same time. */
    private long delayMs(long baseMs) {
        return baseMs + Math.max(0, rank) * settings.staggerMs() + random.nextLong(Math.max(1, settings.staggerMs()));
    }

    private void requestVotes(long now, long nextTickInMs) {
        sequence++;
        requestedAt = now;
        grants.clear();
        rejections.clear();
        nextTickAt = now + nextTickInMs;
        ElectionMessage request =
                new ElectionMessage(Kind.REQUEST, settings.name(), incarnation, term, sequence, "", 0);
        for (String receiver : settings.electors()) {
            if (receiver.equals(settings.name())) {
                handleVoteRequest(now, request);
            } else {
                transport.send(receiver, request);
            }
        }
    }

    // ------------------------------------------------------------ messages

    /** Processes an authenticated message from another instance. */
    public void received(long now, ElectionMessage message) {
        if (ended) {
            return;
        }
        switch (message.kind()) {
            case REQUEST -> {
                if (elector) {
                    handleVoteRequest(now, message);
                }
            }
            case GRANT -> handleGrant(now, message);
            case REFUSE -> handleRejection(now, message);
            case RELEASE -> handleRelease(now, message);
            case HANDOVER_REQUEST -> handleHandoverRequest(now, message);
        }
    }

    private void handleHandoverRequest(long now, ElectionMessage request) {
        int candidateRank = settings.candidates().indexOf(request.sender());
        boolean preferred = candidateRank >= 0 && candidateRank < rank;
        if (mayAct(now) && preferred && now - acquiredAt >= settings.stableMs()) {
            stepDown(now, request.sender());
        }
    }

    private void handleVoteRequest(long now, ElectionMessage request) {
        // An elector that has just started does not know its votes from before the restart.
        boolean inQuarantine = now - startedAt < settings.quarantineMs();
        if (!inQuarantine
                && request.term() >= highestTerm
                && vote.isAvailableTo(request, now)
                && settings.candidates().contains(request.sender())) {
            vote.grant(request, now, settings.leaseMs());
            highestTerm = request.term();
            observeOwner(now, request.sender());
            sendReply(now, request, newReply(Kind.GRANT, request, request.term(), "", 0));
        } else {
            highestTerm = Math.max(highestTerm, request.term());
            sendReply(
                    now, request, newReply(Kind.REFUSE, request, highestTerm, vote.holder(now), vote.remainingMs(now)));
        }
    }

    private ElectionMessage newReply(
            Kind kind, ElectionMessage request, long replyTerm, String holder, long remainingMs) {
        return new ElectionMessage(
                kind, settings.name(), incarnation, replyTerm, request.sequence(), holder, remainingMs);
    }

    private void observeOwner(long now, String owner) {
        if (!owner.equals(settings.name())) {
            knownOwner = owner;
            ownerSeenAt = now;
        }
    }

    private void sendReply(long now, ElectionMessage request, ElectionMessage reply) {
        if (!request.sender().equals(settings.name())) {
            transport.send(request.sender(), reply);
        } else if (reply.kind() == Kind.GRANT) {
            handleGrant(now, reply);
        }
    }

    private void handleGrant(long now, ElectionMessage grant) {
        boolean awaitingGrants = role == Role.CANDIDATE || role == Role.LEADER;
        boolean forCurrentRequest = grant.sequence() == sequence && grant.term() == term;
        if (!awaitingGrants || !forCurrentRequest || !settings.electors().contains(grant.sender())) {
            return;
        }
        if (!grants.add(grant.sender()) || grants.size() < settings.majority()) {
            return;
        }
        long leaseEnd = requestedAt + settings.ownLeaseMs();
        if (now >= leaseEnd) {
            return; // the majority arrived after the lease of this request expired
        }
        leaseEndsAt = leaseEnd;
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

    private void handleRejection(long now, ElectionMessage rejection) {
        highestTerm = Math.max(highestTerm, rejection.term());
        if (rejection.sequence() != sequence || role != Role.CANDIDATE) {
            return;
        }
        rejections.add(rejection.sender());
        if (!rejection.holder().isEmpty()) {
            observeOwner(now, rejection.holder());
        }
        if (rejections.size() > settings.electors().size() - settings.majority()) {
            endCandidacy(now);
        }
    }

    /**
     * Ends a candidacy that cannot reach a majority. Releases the granted votes, which would otherwise block all
     * candidates for one lease. Grants that arrive later are ignored.
     */
    private void endCandidacy(long now) {
        role = Role.FOLLOWER;
        nextTickAt = now + delayMs(settings.renewMs() / 2);
        releaseVotes(now, "");
    }

    /** Frees this elector's vote after a release, with a reservation for the named successor. */
    private void handleRelease(long now, ElectionMessage release) {
        highestTerm = Math.max(highestTerm, release.term());
        vote.release(release, now, settings.leaseMs() / 2);
        if (knownOwner.equals(release.sender())) {
            knownOwner = "";
            if (role == Role.FOLLOWER && isCandidate()) {
                nextTickAt = nextRequestAfter(release, now);
            }
        }
    }

    private long nextRequestAfter(ElectionMessage release, long now) {
        if (release.holder().equals(settings.name())) {
            return now;
        }
        return now + delayMs(release.holder().isEmpty() ? 0 : settings.leaseMs() / 2);
    }

    // ------------------------------------------------------------ giving up

    /**
     * Releases the lease, in favor of a successor if one is named. This instance stops acting as owner before it notifies
     * the electors.
     */
    public void stepDown(long now, String successor) {
        if (role != Role.LEADER) {
            return;
        }
        loseOwnership(now, RELEASED, successor);
        releaseVotes(now, successor);
    }

    private void releaseVotes(long now, String successor) {
        ElectionMessage release =
                new ElectionMessage(Kind.RELEASE, settings.name(), incarnation, term, sequence, successor, 0);
        Set<String> electorsAndCandidates = new HashSet<>(settings.electors());
        electorsAndCandidates.addAll(settings.candidates());
        List<String> receivers = new ArrayList<>(electorsAndCandidates);
        receivers.sort(null);
        for (String receiver : receivers) {
            if (!receiver.equals(settings.name())) {
                transport.send(receiver, release);
            } else if (elector) {
                handleRelease(now, release);
            }
        }
    }

    /** Releases the lease and ends this instance's part as candidate and elector. */
    public void end(long now, String successor) {
        stepDown(now, successor);
        ended = true;
    }

    /**
     * Ends the ownership. The backoff doubles, up to its maximum, when the address is lost soon after it was acquired
     * and no successor is named; otherwise it is reset to its initial value.
     */
    private void loseOwnership(long now, String reason, String successor) {
        boolean lostEarly = now - acquiredAt < settings.stableMs();
        boolean unstable = successor.isEmpty() && lostEarly;
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

package maplespread.address;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import maplespread.address.ClaimMessage.Kind;

/**
 * The claims of one claimant. Before the first byte of a request is sent to a worker, a majority of the electors holds the
 * request's id for this incarnation of this instance. A claim decides whether a request may be sent, not where to.
 */
public final class ClaimClient {
    /** The result of a claim. */
    public sealed interface Verdict {
        /** This instance may send the request immediately, and only once. */
        record Granted() implements Verdict {}

        /**
         * The request was executed before.
         *
         * @param outcome the recorded outcome
         */
        record Known(String outcome) implements Verdict {}

        /** Another claim holds the id, and its request may have been executed: it must not be executed again. */
        record InDoubt() implements Verdict {}

        /** No majority granted the claim in time. This claim did not execute the request, which may be retried. */
        record Unavailable() implements Verdict {}
    }

    /** Sends messages and receives verdicts. */
    public interface Transport {
        /** Sends a message to an elector; it may be lost, delayed, duplicated or reordered. */
        void send(String receiver, ClaimMessage message);

        /** Called when a claim has ended with this verdict. */
        void decided(String id, Verdict verdict);
    }

    /** A claim that waits for a majority. */
    private static final class OpenClaim {
        private final long attempt;
        private final long endsAt;
        private final Set<String> grants = new HashSet<>();
        private final Set<String> repliedElectors = new HashSet<>();
        private boolean heldByAnother;

        OpenClaim(long attempt, long endsAt) {
            this.attempt = attempt;
            this.endsAt = endsAt;
        }

        Verdict verdictWithoutMajority() {
            return heldByAnother ? new Verdict.InDoubt() : new Verdict.Unavailable();
        }
    }

    private final ClaimSettings settings;
    private final long incarnation;
    private final Transport transport;
    private final Map<String, OpenClaim> openClaims = new HashMap<>();
    private final Map<String, Long> grantedAttempts = new HashMap<>();
    private long lastAttempt;

    /**
     * Creates a claimant without claims.
     *
     * @param incarnation distinguishes this process from others with the same name
     */
    public ClaimClient(ClaimSettings settings, long incarnation, Transport transport) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.transport = transport;
    }

    /** Claims an id at the electors under the term of a lease. An id with a claim in progress here is in doubt. */
    public void claim(long now, String id, long term) {
        if (openClaims.containsKey(id) || grantedAttempts.containsKey(id)) {
            transport.decided(id, new Verdict.InDoubt());
            return;
        }
        OpenClaim claim = new OpenClaim(++lastAttempt, now + settings.claimTimeoutMs());
        openClaims.put(id, claim);
        for (String elector : settings.electors()) {
            if (openClaims.get(id) == claim) { // a reply within send() may end the claim
                transport.send(elector, message(Kind.CLAIM, id, claim.attempt, term, null));
            }
        }
    }

    private ClaimMessage message(Kind kind, String id, long attempt, long term, String outcome) {
        return ClaimMessage.of(kind, settings.name(), incarnation, id, attempt, term, outcome);
    }

    /**
     * Processes an elector's reply. A grant that is read after the claim timeout is ignored, even if it arrived earlier:
     * restarted electors rely on that timeout.
     */
    public void received(long now, ClaimMessage reply) {
        tick(now);
        OpenClaim claim = openClaims.get(reply.id());
        if (claim == null || !isReplyTo(claim, reply)) {
            return;
        }
        claim.repliedElectors.add(reply.sender());
        if (reply.kind() == Kind.GRANTED) {
            handleGrant(claim, reply);
        } else if (reply.kind() == Kind.HELD) {
            claim.heldByAnother = true;
            if (reply.outcome() != null) {
                endClaim(reply.id(), claim, new Verdict.Known(reply.outcome()));
            }
        }
        // One elector that holds another claim does not rule out a majority, so the claim waits for all replies.
        boolean allAnswered =
                claim.repliedElectors.size() == settings.electors().size();
        if (openClaims.get(reply.id()) == claim && allAnswered) {
            endClaim(reply.id(), claim, claim.verdictWithoutMajority());
        }
    }

    private boolean isReplyTo(OpenClaim claim, ClaimMessage reply) {
        return claim.attempt == reply.attempt()
                && reply.term() == incarnation
                && settings.electors().contains(reply.sender());
    }

    private void handleGrant(OpenClaim claim, ClaimMessage reply) {
        claim.grants.add(reply.sender());
        if (claim.grants.size() >= settings.majority()) {
            openClaims.remove(reply.id());
            grantedAttempts.put(reply.id(), claim.attempt);
            transport.decided(reply.id(), new Verdict.Granted());
        }
    }

    /** Ends the claims that have timed out. */
    public void tick(long now) {
        for (String requestId : Set.copyOf(openClaims.keySet())) {
            OpenClaim claim = openClaims.get(requestId);
            if (claim != null && now >= claim.endsAt) {
                endClaim(requestId, claim, claim.verdictWithoutMajority());
            }
        }
    }

    private void endClaim(String id, OpenClaim claim, Verdict verdict) {
        openClaims.remove(id);
        sendToElectors(message(Kind.ABANDON, id, claim.attempt, 0, null)); // releases grants that would block the id
        transport.decided(id, verdict);
    }

    /** Records the outcome of a granted request. Must be called before the response to the client is sent. */
    public void record(String id, String outcome) {
        Long attempt = grantedAttempts.remove(id);
        if (attempt != null) {
            sendToElectors(message(Kind.RECORD, id, attempt, 0, outcome));
        }
    }

    /** Releases a granted id whose request was not sent. */
    public void abandon(String id) {
        Long attempt = grantedAttempts.remove(id);
        if (attempt != null) {
            sendToElectors(message(Kind.ABANDON, id, attempt, 0, null));
        }
    }

    private void sendToElectors(ClaimMessage message) {
        settings.electors().forEach(elector -> transport.send(elector, message));
    }
}

package maplespread.address;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import maplespread.address.ClaimMessage.Kind;

/**
 * A claimant's orders: before the first byte of one is sent to a worker, a majority of the electors holds its id for this
 * incarnation of this instance. It decides whether an order may be sent, not where to.
 */
public final class ClaimClient {
    /** What is known of an id. */
    public sealed interface Verdict {
        /** It is this instance's to send, once, at once. */
        record Granted() implements Verdict {}

        /**
         * It ran before.
         *
         * @param outcome what came of it
         */
        record Known(String outcome) implements Verdict {}

        /** Another claim of it is held and may have run: it must not run again. */
        record InDoubt() implements Verdict {}

        /** No majority could be asked: it has not run by this claim, and may be tried again. */
        record Unavailable() implements Verdict {}
    }

    /** Takes messages and verdicts. */
    public interface Transport {
        /** Sends a message to an elector; it may be lost, delayed, repeated or overtaken. */
        void send(String receiver, ClaimMessage message);

        /** A claim has ended with this verdict. */
        void decided(String id, Verdict verdict);
    }

    /** A claim that waits for a majority. */
    private static final class OpenClaim {
        private final long attempt;
        private final long endsAt;
        private final Set<String> grants = new HashSet<>();
        private final Set<String> answered = new HashSet<>();
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
    private final Map<String, OpenClaim> open = new HashMap<>();
    private final Map<String, Long> grantedAttempts = new HashMap<>();
    private long attempts;

    /** {@code incarnation}: tells this process from others of its name. */
    public ClaimClient(ClaimSettings settings, long incarnation, Transport transport) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.transport = transport;
    }

    /** Asks the electors for the id, under the term of a lease. An id that is in work here is in doubt. */
    public void claim(long now, String id, long term) {
        if (open.containsKey(id) || grantedAttempts.containsKey(id)) {
            transport.decided(id, new Verdict.InDoubt());
            return;
        }
        OpenClaim claim = new OpenClaim(++attempts, now + settings.claimTimeoutMs());
        open.put(id, claim);
        for (String elector : settings.electors()) {
            if (open.get(id) == claim) { // an answer may come within the call
                transport.send(elector, message(Kind.CLAIM, id, claim.attempt, term, null));
            }
        }
    }

    private ClaimMessage message(Kind kind, String id, long attempt, long term, String outcome) {
        return ClaimMessage.of(kind, settings.name(), incarnation, id, attempt, term, outcome);
    }

    /**
     * Takes an elector's answer. A grant that is read after the claim's time counts for nothing, even if it came before:
     * electors that have restarted rely on that time.
     */
    public void received(long now, ClaimMessage answer) {
        tick(now);
        OpenClaim claim = open.get(answer.id());
        if (claim == null || !isAnswerTo(claim, answer)) {
            return;
        }
        claim.answered.add(answer.sender());
        if (answer.kind() == Kind.GRANTED) {
            granted(claim, answer);
        } else if (answer.kind() == Kind.HELD) {
            claim.heldByAnother = true;
            if (answer.outcome() != null) {
                end(answer.id(), claim, new Verdict.Known(answer.outcome()));
            }
        }
        // An elector that holds another's claim may be overruled by a majority that does not: all are awaited.
        boolean allAnswered = claim.answered.size() == settings.electors().size();
        if (open.get(answer.id()) == claim && allAnswered) {
            end(answer.id(), claim, claim.verdictWithoutMajority());
        }
    }

    private boolean isAnswerTo(OpenClaim claim, ClaimMessage answer) {
        return claim.attempt == answer.attempt()
                && answer.term() == incarnation
                && settings.electors().contains(answer.sender());
    }

    private void granted(OpenClaim claim, ClaimMessage answer) {
        claim.grants.add(answer.sender());
        if (claim.grants.size() >= settings.majority()) {
            open.remove(answer.id());
            grantedAttempts.put(answer.id(), claim.attempt);
            transport.decided(answer.id(), new Verdict.Granted());
        }
    }

    /** Ends the claims that have waited too long. */
    public void tick(long now) {
        for (String orderId : Set.copyOf(open.keySet())) {
            OpenClaim claim = open.get(orderId);
            if (claim != null && now >= claim.endsAt) {
                end(orderId, claim, claim.verdictWithoutMajority());
            }
        }
    }

    private void end(String id, OpenClaim claim, Verdict verdict) {
        open.remove(id);
        sendToElectors(message(Kind.ABANDON, id, claim.attempt, 0, null)); // its grants would hold the id for nothing
        transport.decided(id, verdict);
    }

    /** Records what came of an order that was granted: to be called before its client is answered. */
    public void record(String id, String outcome) {
        Long attempt = grantedAttempts.remove(id);
        if (attempt != null) {
            sendToElectors(message(Kind.RECORD, id, attempt, 0, outcome));
        }
    }

    /** Gives an id back that was granted and whose order was not sent after all. */
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

package maplespread.caller;

import java.util.List;
import java.util.Map;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.worker.WorkerRequest;

/**
 * Decides when a request may run where requests have an order: it may have to wait for its turn, or be forwarded to another
 * dispatcher. Called on request threads, but for {@link #clientLeft}.
 */
public interface RequestSequencer {
    /** The response header that says why a request had no turn, or that it may have run out of its turn. */
    String ORDER_REASON_HEADER = "X-Order";

    /**
     * The request header of a request forwarded by a dispatcher: its name, and the epoch that it knows. Such a request is
     * not forwarded again. The header takes a right away and gives none, so that who forges it harms itself alone.
     */
    String FORWARDED_BY_HEADER = "X-Handed-By";

    /**
     * A request as its client sent it. {@code tenant}, {@code entity}: null where it has none; {@code fields}: the head's
     * that the protocol knows, but for the id and the time, each a name and a value; {@code forwardedBy}: the value of
     * {@link #FORWARDED_BY_HEADER}, or null; {@code remainingMs}: milliseconds until it must be answered.
     */
    record SequencedRequest(
            WorkerRequest message,
            InFlightRequest request,
            String tenant,
            String entity,
            Map<String, Double> labels,
            List<String[]> fields,
            String forwardedBy,
            long remainingMs) {}

    /** How a request that held a permit ended. */
    enum Completion {
        /** No worker has run it. */
        NEVER_RAN,
        /** It has ended, and what that means for others of its key is settled. */
        ENDED,
        /** It may still run, or what its end means for others of its key could not be made sure of. */
        IN_DOUBT
    }

    /** What becomes of a request that asks for its turn. */
    sealed interface SequencingResult permits Permit, FinalResponse, ClientLeft {}

    /** Its response; {@code idConsumed}: its id may not be used again. */
    record FinalResponse(int status, List<String[]> fields, byte[] body, boolean idConsumed)
            implements SequencingResult {}

    /** Its client has left. */
    record ClientLeft() implements SequencingResult {}

    /** Its turn has come, and lasts until the permit is released or lost. */
    non-sealed interface Permit extends SequencingResult {
        /** Whether it may be sent at this moment. */
        boolean isValid();

        /** An attempt has ended. */
        void attemptCompleted(Outcome outcome);

        /** The request has ended, and is answered next; to be called once. */
        Completion release(boolean served);

        /** The response where the permit was lost and the request never ran. */
        FinalResponse permitLostResponse();
    }

    /** Blocks until the request's turn, or until its time is over. */
    SequencingResult acquire(SequencedRequest request) throws InterruptedException;

    /** Its client has left; a request in flight keeps its permit. Called on the connection's thread. */
    void clientLeft(InFlightRequest request);
}

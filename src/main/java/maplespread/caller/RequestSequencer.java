package maplespread.caller;

import java.util.List;
import java.util.Map;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.http.MemoryBudget;
import maplespread.worker.WorkerRequest;

/**
 * Decides when a request may run where the requests of a key are ordered: a request may have to wait for its permit, or
 * be forwarded to another dispatcher. Called on request threads, except for {@link #clientLeft}.
 */
public interface RequestSequencer {
    /** The response header that states why a request got no permit, or that the request may have run out of order. */
    String ORDER_REASON_HEADER = "X-Order";

    /**
     * The header of a request forwarded by a dispatcher: the dispatcher's name and the epoch known to it. A request
     * with this header is not forwarded again. The header only restricts a request, so a client that forges the header
     * harms only itself.
     */
    String FORWARDED_BY_HEADER = "X-Handed-By";

    /**
     * A request as its client sent it.
     *
     * @param tenant the tenant, or null
     * @param entity the entity, or null
     * @param fields the known header fields except for the id and the remaining time, each a name and a value
     * @param forwardedBy the value of {@link #FORWARDED_BY_HEADER}, or null
     * @param remainingMs the time in milliseconds until the request must be answered
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

    /** What is known, at its end, of a request that held a permit. */
    enum Completion {
        /** No worker has run the request. */
        NEVER_RAN,
        /** The request has ended, and the effect on other requests of its key is known. */
        ENDED,
        /** The request may still run, or the effect of its end on other requests of its key is unknown. */
        IN_DOUBT
    }

    /** The result of a request's wait for a permit. */
    sealed interface SequencingResult permits Permit, FinalResponse, ClientLeft {}

    /**
     * The request ends with this response.
     *
     * @param idConsumed whether the request's id may not be used again
     * @param memory the memory of the body, to be released once the response has been written; null if none is reserved
     */
    record FinalResponse(
            int status, List<String[]> fields, byte[] body, boolean idConsumed, MemoryBudget.Reservation memory)
            implements SequencingResult {}

    /** The client has left. */
    record ClientLeft() implements SequencingResult {}

    /** Allows the request to run, until the permit is released or lost. */
    non-sealed interface Permit extends SequencingResult {
        /** Whether the request may be sent now. */
        boolean isValid();

        /** Reports the end of an attempt. */
        void attemptCompleted(Outcome outcome);

        /** Reports the end of the request, before its response is written. Called once. */
        Completion release(boolean served);

        /** Returns the response for a request that never ran because its permit was lost. */
        FinalResponse permitLostResponse();
    }

    /** Blocks until the request has its permit, or until its deadline. */
    SequencingResult acquire(SequencedRequest request) throws InterruptedException;

    /** Reports that the client has left; a request in flight keeps its permit. Called on the connection's thread. */
    void clientLeft(InFlightRequest request);
}

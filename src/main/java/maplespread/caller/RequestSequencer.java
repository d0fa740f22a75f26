package maplespread.caller;

import java.util.List;
import java.util.Map;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.worker.WorkerRequest;

/** What stands between a job and the module: it may have to wait for its turn, or be another's to send. */
public interface RequestSequencer {
    /** Says in an answer why a job had no turn, or that it may have run out of its turn. */
    String ORDER_REASON_HEADER = "X-Order";

    /**
     * In a request that a dispatcher hands on: its name, and the epoch that it knows. Such a one is not
     * handed on again. It takes a right away and gives none, so that who forges it harms itself alone.
     */
    String FORWARDED_BY_HEADER = "X-Handed-By";

    /**
     * A job as its client sent it. {@code tenant}, {@code entity}: null where it has none; {@code fields}:
     * the head's that the protocol knows, but for the id and the time; {@code handedBy}: the dispatcher that
     * hands it on, and what that one knows, or null; {@code leftMs}: until it must be answered.
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

    /** DOUBT: it may still run, or what its end means for others of its key could not be made sure of. */
    enum Completion {
        NEVER_RAN,
        ENDED,
        IN_DOUBT
    }

    /** What becomes of a job. */
    sealed interface SequencingResult permits Permit, FinalResponse, ClientLeft {}

    /** It is told so; {@code taken}: its id may not be used again. */
    record FinalResponse(int status, List<String[]> fields, byte[] body, boolean idConsumed)
            implements SequencingResult {}

    /** Nobody waits for it any more. */
    record ClientLeft() implements SequencingResult {}

    /** Its turn has come, and lasts until it is over. */
    non-sealed interface Permit extends SequencingResult {
        /** Whether it may be sent at this moment. */
        boolean isValid();

        /** An attempt has ended. */
        void attemptCompleted(Outcome how);

        /** The job has ended, and is answered next; to be called once. */
        Completion release(boolean served);

        /** What is answered where the turn was lost and the job never ran. */
        FinalResponse permitLostResponse();
    }

    /** Waits for the job's turn, until its time is over. */
    SequencingResult acquire(SequencedRequest job) throws InterruptedException;

    /** Nobody waits for the job any more; one that is out still holds what it holds. */
    void clientLeft(InFlightRequest t);
}

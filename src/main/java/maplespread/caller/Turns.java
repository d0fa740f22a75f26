package maplespread.caller;

import java.util.List;
import java.util.Map;
import maplespread.facade.Outcome;
import maplespread.facade.Transaction;
import maplespread.worker.Message;

/** What stands between a job and the module: it may have to wait for its turn, or be another's to send. */
public interface Turns {
    /** Says in an answer why a job had no turn, or that it may have run out of its turn. */
    String REASON = "X-Order";

    /**
     * In a request that a dispatcher hands on: its name, and the epoch that it knows. Such a one is not
     * handed on again. It takes a right away and gives none, so that who forges it harms itself alone.
     */
    String HANDED_BY = "X-Handed-By";

    /**
     * A job as its client sent it. {@code tenant}, {@code entity}: null where it has none; {@code fields}:
     * the head's that the protocol knows, but for the id and the time; {@code handedBy}: the dispatcher that
     * hands it on, and what that one knows, or null; {@code leftMs}: until it must be answered.
     */
    record Job(
            Message message,
            Transaction transaction,
            String tenant,
            String entity,
            Map<String, Double> labels,
            List<String[]> fields,
            String handedBy,
            long leftMs) {}

    /** DOUBT: it may still run, or what its end means for others of its key could not be made sure of. */
    enum End {
        NEVER_RAN,
        ENDED,
        DOUBT
    }

    /** What becomes of a job. */
    sealed interface Turn permits Go, Said, Left {}

    /** It is told so; {@code taken}: its id may not be used again. */
    record Said(int status, List<String[]> fields, byte[] body, boolean taken) implements Turn {}

    /** Nobody waits for it any more. */
    record Left() implements Turn {}

    /** Its turn has come, and lasts until it is over. */
    non-sealed interface Go extends Turn {
        /** Whether it may be sent at this moment. */
        boolean still();

        /** An attempt has ended. */
        void tried(Outcome how);

        /** The job has ended, and is answered next; to be called once. */
        End over(boolean served);

        /** What is answered where the turn was lost and the job never ran. */
        Said lost();
    }

    /** Waits for the job's turn, until its time is over. */
    Turn take(Job job) throws InterruptedException;

    /** Nobody waits for the job any more; one that is out still holds what it holds. */
    void left(Transaction t);
}

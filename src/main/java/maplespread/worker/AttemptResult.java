package maplespread.worker;

import java.io.IOException;
import maplespread.facade.Outcome;
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpParser;
import maplespread.http.MemoryBudget;

/**
 * The result of an attempt. The thread that ran the attempt calls {@link #finish} once the outcome has been reported.
 */
public final class AttemptResult {
    /** Time limit in milliseconds for the final chunk after the final line. */
    private static final long FINAL_CHUNK_MS = 50;

    /** How the attempt ended. */
    public final Outcome outcome;
    /** The worker's result; null unless the request was served. */
    public final byte[] body;
    /** The load report that came with the response, or null. */
    public final WorkerLoad load;

    /** The memory of the result; null if there is none. */
    private final ResponseMemory memory;

    private final ConnectionPool pool;
    private final ConnectionPool.PooledConnection connection;
    private final HttpParser parser;

    private AttemptResult(
            Outcome outcome,
            byte[] body,
            WorkerLoad load,
            ResponseMemory memory,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        this.memory = memory;
        this.outcome = outcome;
        this.body = body;
        this.load = load;
        this.pool = pool;
        this.connection = connection;
        this.parser = parser;
    }

    /** Returns a result whose connection is not used again. */
    static AttemptResult of(Outcome outcome) {
        return new AttemptResult(outcome, null, null, null, null, null, null);
    }

    /** Returns a result whose connection may be used again once its response is complete. */
    static AttemptResult of(
            Outcome outcome,
            WorkerLoad load,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        return new AttemptResult(outcome, null, load, null, pool, connection, parser);
    }

    /** Returns a result, of a final line, whose memory is released by {@link #finish}. */
    static AttemptResult of(
            WorkerStreamReader lines,
            ResponseMemory memory,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        return new AttemptResult(lines.outcome, lines.result, lines.load, memory, pool, connection, parser);
    }

    /** Sets how the wait for the client to read the result is ended early, when others need its memory. */
    public void setRevocation(MemoryBudget.Revocation revocation) {
        if (memory != null) {
            memory.setRevocation(revocation);
        }
    }

    /**
     * Releases the memory of the result. Returns the connection to the pool if the response's final chunk arrives in
     * time, and closes it otherwise.
     */
    public void finish() {
        if (memory != null) {
            memory.release();
        }
        if (connection == null) {
            return;
        }
        if (isResponseComplete()) {
            pool.release(connection);
        } else {
            pool.close(connection);
        }
    }

    private boolean isResponseComplete() {
        try {
            connection.connection.receive(parser, FINAL_CHUNK_MS);
        } catch (IOException e) {
            return false;
        }
        return parser.done()
                && parser.head().keepsAlive()
                && !connection.connection.buffer().hasRemaining();
    }
}

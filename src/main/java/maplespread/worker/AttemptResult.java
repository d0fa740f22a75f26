package maplespread.worker;

import java.io.IOException;
import maplespread.facade.Outcome;
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpParser;

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

    private final ConnectionPool pool;
    private final ConnectionPool.PooledConnection connection;
    private final HttpParser parser;

    private AttemptResult(
            Outcome outcome,
            byte[] body,
            WorkerLoad load,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        this.outcome = outcome;
        this.body = body;
        this.load = load;
        this.pool = pool;
        this.connection = connection;
        this.parser = parser;
    }

    /** Returns a result whose connection is not used again. */
    static AttemptResult of(Outcome outcome) {
        return new AttemptResult(outcome, null, null, null, null, null);
    }

    /** Returns a result whose connection may be used again once its response is complete. */
    static AttemptResult of(
            Outcome outcome,
            byte[] body,
            WorkerLoad load,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        return new AttemptResult(outcome, body, load, pool, connection, parser);
    }

    /** Returns the connection to the pool if the response's final chunk arrives in time, and closes it otherwise. */
    public void finish() {
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
